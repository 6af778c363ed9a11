package watch

import (
	"context"
	"slices"
	"sync"
	"time"

	"coltsfootloft"
	"coltsfootloft/io/watch/watchpb"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// errUnheard says that the observer heard no majority.
var errUnheard = errors.New("observer heard no majority")

// feed polls one other host for all groups that it observes for this one.
type feed struct {
	watcher *Watcher
	host    string
	stop    func()

	mu     sync.Mutex
	groups []*group
	moved  context.CancelFunc
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
	slices.SortFunc(groups, func(a, b *group) int { return int(a.epoch>>1) - int(b.epoch>>1) })
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
		err := f.watcher.exchange(c, f.host, groups, false, relayWait)
		moved := c.Err() != nil
		cancel()
		if err != nil && !moved {
			f.watcher.blame(f.host, err)
			pause(ctx, f.watcher.clock(), retryPause)
		}
	}
}

// exchange polls a host once and takes in its answer.
func (w *Watcher) exchange(ctx context.Context, host string, groups []*group, hurry bool, wait time.Duration) error {
	poll := &watchpb.Poll{
		Hurry:     hurry,
		WaitNanos: int64(wait),
	}
	for _, g := range groups {
		poll.Groups = append(poll.Groups, g.seen())
	}
	request := &watchpb.Request{
		Kind: &watchpb.Request_Poll{
			Poll: poll,
		},
	}
	sent := w.clock().Now()
	update := &watchpb.Update{}
	if err := w.call(ctx, host, wait, request, update); err != nil {
		return err
	}
	base := sent.Add(time.Duration(update.GetHeldNanos()))
	for _, m := range update.GetGroups() {
		i := slices.IndexFunc(groups, func(g *group) bool { return g.settings.Name() == m.GetName() })
		if i < 0 {
			return errors.Errorf("answer about group %q, which was not asked for", m.GetName())
		}
		if err := groups[i].learn(host, base, m); err != nil {
			return err
		}
	}
	return nil
}

// ask gets a barrier from the observer.
func (w *Watcher) ask(ctx context.Context, host string, g *group) (coltsfootloft.Position, error) {
	request := &watchpb.Request{
		Kind: &watchpb.Request_Barrier{
			Barrier: &watchpb.Barrier{
				Group:     g.settings.Name(),
				WaitNanos: int64(rushWait),
			},
		},
	}
	answer := &watchpb.Position{}
	if err := w.call(ctx, host, rushWait, request, answer); err != nil {
		if ctx.Err() == nil {
			w.blame(host, err)
		}
		return coltsfootloft.Position{}, err
	}
	if answer.GetUnheard() {
		return coltsfootloft.Position{}, errUnheard
	}
	term, err := coltsfootloft.ParseTerm(answer.GetTerm())
	return coltsfootloft.NewPosition(term, answer.GetOffset()), err
}

// call carries one request to a host that may hold it for the time given.
func (w *Watcher) call(ctx context.Context, host string, hold time.Duration, request, answer proto.Message) error {
	ctx, cancel := clockwork.WithTimeout(ctx, w.clock(), hold+relaySlack)
	defer cancel()
	body, err := proto.Marshal(request)
	if err != nil {
		panic(err)
	}
	body, err = w.Peers.Call(ctx, host, dutyName, body)
	if err != nil {
		return err
	}
	return proto.Unmarshal(body, answer)
}

func (g *group) seen() *watchpb.Seen {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &watchpb.Seen{
		Group:    g.settings.Name(),
		Epoch:    g.relay.epoch,
		Sequence: g.relay.sequence,
	}
}

// learn takes in what an observer says of the group. Its times count back from
// base, which is no later than the answer.
func (g *group) learn(host string, base time.Time, m *watchpb.Group) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	same := m.GetEpoch() == g.relay.epoch
	if g.relay.host != host || same && m.GetSequence() < g.relay.sequence {
		return nil
	}
	for _, d := range m.GetDatabases() {
		if g.probes[d.GetName()] == nil {
			continue
		}
		r, known := g.readings[d.GetName()]
		if d.GetReading() != nil {
			var err error
			if r, err = decode(d.GetReading()); err != nil {
				return err
			}
		} else if !known || !same {
			continue
		}
		g.take(d.GetName(), base.Add(-time.Duration(d.GetAskedNanos())), base.Add(-time.Duration(d.GetAnsweredNanos())), r)
	}
	g.relay.epoch = m.GetEpoch()
	g.relay.sequence = m.GetSequence()
	return nil
}
