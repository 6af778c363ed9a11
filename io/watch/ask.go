package watch

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/io/watch/watchpb"
)

// errUnheard says that the observer heard no majority.
var errUnheard = errors.New("observer heard no majority")

// exchange polls a host once and takes in its answer about the groups.
func (w *Watcher) exchange(ctx context.Context, host string, groups []*group, poll *watchpb.Poll) (*watchpb.Update, error) {
	request := &watchpb.Request{
		Kind: &watchpb.Request_Poll{
			Poll: poll,
		},
	}
	sent := w.clock().Now()
	update := &watchpb.Update{}
	if err := w.call(ctx, host, time.Duration(poll.GetWaitNanos()), request, update); err != nil {
		return nil, err
	}
	if update.GetUnknownSet() {
		return update, nil
	}
	// The answer was sent no earlier than this, whatever the way took.
	base := sent.Add(time.Duration(update.GetHeldNanos()))
	news := make(map[string]*watchpb.Group, len(update.GetGroups()))
	for _, m := range update.GetGroups() {
		news[m.GetName()] = m
	}
	for _, g := range groups {
		if m := news[g.settings.Name()]; m != nil {
			if err := g.learn(host, base, update.GetEpoch(), m); err != nil {
				return nil, err
			}
			continue
		}
		g.refresh(host, base.Add(-time.Duration(update.GetQuietNanos())), update.GetEpoch())
	}
	return update, nil
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
	return decodePosition(answer)
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

// learn takes in what an observer says of the group. Its times count back from
// base.
func (g *group) learn(host string, base time.Time, epoch uint64, m *watchpb.Group) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	same := epoch == g.relay.epoch
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
	g.relay.epoch = epoch
	g.relay.sequence = m.GetSequence()
	return nil
}

// refresh notes that the observer's databases still give the same readings, and
// did so at the given time or later.
func (g *group) refresh(host string, at time.Time, epoch uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.relay.host != host || g.relay.epoch != epoch {
		return
	}
	for n, r := range g.readings {
		g.take(n, at, at, r)
	}
}
