package watch

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"coltsfootloft/io/watch/watchpb"
)

// feed polls one other host for all groups that this host takes from it.
type feed struct {
	watcher *Watcher
	host    string
	stop    func()

	mu         sync.Mutex
	groups     []*group
	cancelPoll context.CancelFunc
}

// cursor is the position of a feed in the changes of its host. Only run uses
// it.
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

// setGroups sets the groups to poll. A poll in flight for other groups is
// cancelled.
func (f *feed) setGroups(groups []*group) {
	slices.SortFunc(groups, func(a, b *group) int { return strings.Compare(a.settings.Name(), b.settings.Name()) })
	f.mu.Lock()
	defer f.mu.Unlock()
	if slices.Equal(f.groups, groups) {
		return
	}
	f.groups = groups
	if f.cancelPoll != nil {
		f.cancelPoll()
	}
}

func (f *feed) run(ctx context.Context) {
	var position cursor
	for ctx.Err() == nil {
		pollCtx, cancel := context.WithCancel(ctx)
		f.mu.Lock()
		f.cancelPoll = cancel
		groups := f.groups
		f.mu.Unlock()
		if len(groups) == 0 {
			pause(pollCtx, f.watcher.clock(), reconcilePeriod)
			cancel()
			continue
		}
		if !slices.Equal(position.groups, groups) {
			position = newCursor(groups)
		}
		update, err := f.watcher.pollHost(pollCtx, f.host, groups, position.poll())
		cancelled := pollCtx.Err() != nil
		cancel()
		switch {
		case err == nil:
			position.advance(update)
		case !cancelled:
			f.watcher.avoid(f.host, err)
			pause(ctx, f.watcher.clock(), retryDelay)
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
		WaitNanos: int64(pollWait),
	}
	if !c.known {
		for _, g := range c.groups {
			p.Groups = append(p.Groups, g.settings.Name())
		}
	}
	return p
}

// advance moves the cursor past an update.
func (c *cursor) advance(u *watchpb.Update) {
	c.known = !u.GetUnknownSet()
	if c.known {
		c.epoch = u.GetEpoch()
		c.sequence = u.GetSequence()
	}
}
