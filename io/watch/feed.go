package watch

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"coltsfootloft/io/watch/watchpb"
)

// feed polls one other host for all groups that it observes for this one.
type feed struct {
	watcher *Watcher
	host    string
	stop    func()

	mu     sync.Mutex
	groups []*group
	moved  context.CancelFunc
}

// cursor is what a feed has seen of its host. Only run uses it.
type cursor struct {
	groups   []*group
	set      uint64
	known    bool
	epoch    uint64
	sequence uint64
}

func newFeed(ctx context.Context, w *Watcher, host string) *feed {
	ctx, cancel := context.WithCancel(ctx)
	f := &feed{
		watcher: w,
		host:    host,
	}
	var wait sync.WaitGroup
	wait.Go(func() { f.run(ctx) })
	f.stop = func() {
		cancel()
		wait.Wait()
	}
	return f
}

// poll sets the groups. A poll that is under way for others is given up.
func (f *feed) poll(groups []*group) {
	slices.SortFunc(groups, func(a, b *group) int { return strings.Compare(a.settings.Name(), b.settings.Name()) })
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Equal(f.groups, groups) {
		return
	}
	f.groups = groups
	if f.moved != nil {
		f.moved()
	}
}

func (f *feed) run(ctx context.Context) {
	var at cursor
	for ctx.Err() == nil {
		c, cancel := context.WithCancel(ctx)
		f.mu.Lock()
		f.moved = cancel
		groups := f.groups
		f.mu.Unlock()
		if len(groups) == 0 {
			pause(c, f.watcher.clock(), reconcilePeriod)
			cancel()
			continue
		}
		if !slices.Equal(at.groups, groups) {
			at = newCursor(groups)
		}
		update, err := f.watcher.exchange(c, f.host, groups, at.poll())
		moved := c.Err() != nil
		cancel()
		switch {
		case err == nil:
			at.pass(update)
		case !moved:
			f.watcher.blame(f.host, err)
			pause(ctx, f.watcher.clock(), retryPause)
		}
	}
}

func newCursor(groups []*group) cursor {
	h := xxhash.New()
	for _, g := range groups {
		_, _ = h.WriteString(g.settings.Name())
		_, _ = h.Write([]byte{0})
	}
	return cursor{
		groups: groups,
		set:    h.Sum64(),
	}
}

func (c *cursor) poll() *watchpb.Poll {
	p := &watchpb.Poll{
		Epoch:     c.epoch,
		Sequence:  c.sequence,
		Set:       c.set,
		WaitNanos: int64(relayWait),
	}
	if !c.known {
		for _, g := range c.groups {
			p.Groups = append(p.Groups, g.settings.Name())
		}
	}
	return p
}

// pass moves the cursor behind an update.
func (c *cursor) pass(u *watchpb.Update) {
	c.known = !u.GetUnknownSet()
	if c.known {
		c.epoch = u.GetEpoch()
		c.sequence = u.GetSequence()
	}
}
