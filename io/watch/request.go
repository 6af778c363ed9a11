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

var errNoMajority = errors.New("observer reached no majority")

// pollHost polls a host once and applies its answer to the groups.
func (w *Watcher) pollHost(ctx context.Context, host string, groups []*group, poll *watchpb.Poll) (*watchpb.Update, error) {
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
	// The answer was sent no earlier than this, however long the network took.
	base := sent.Add(time.Duration(update.GetHeldNanos()))
	changed := make(map[string]*watchpb.Group, len(update.GetGroups()))
	for _, m := range update.GetGroups() {
		changed[m.GetName()] = m
	}
	for _, g := range groups {
		if m := changed[g.settings.Name()]; m != nil {
			if err := g.applyUpdate(host, base, update.GetEpoch(), m); err != nil {
				return nil, err
			}
			continue
		}
		g.refresh(host, base.Add(-time.Duration(update.GetQuietNanos())), update.GetEpoch())
	}
	return update, nil
}

// requestBarrier gets a barrier from the observer.
func (w *Watcher) requestBarrier(ctx context.Context, host string, g *group) (coltsfootloft.Position, error) {
	request := &watchpb.Request{
		Kind: &watchpb.Request_Barrier{
			Barrier: &watchpb.Barrier{
				Group:     g.settings.Name(),
				WaitNanos: int64(urgentWait),
			},
		},
	}
	answer := &watchpb.Position{}
	if err := w.call(ctx, host, urgentWait, request, answer); err != nil {
		if ctx.Err() == nil {
			w.avoid(host, err)
		}
		return coltsfootloft.Position{}, err
	}
	if answer.GetUnheard() {
		return coltsfootloft.Position{}, errNoMajority
	}
	return decodePosition(answer)
}

// call sends one request to a host, which may hold it for the given time before
// it answers.
func (w *Watcher) call(ctx context.Context, host string, hold time.Duration, request, answer proto.Message) error {
	ctx, cancel := clockwork.WithTimeout(ctx, w.clock(), hold+answerSlack)
	defer cancel()
	body, err := proto.Marshal(request)
	if err != nil { // a term or name that a database reported is not UTF-8
		return errors.Wrap(err, "request to "+host)
	}
	body, err = w.Peers.Call(ctx, host, dutyName, body)
	if err != nil {
		return err
	}
	return proto.Unmarshal(body, answer)
}

// applyUpdate applies what an observer reports about the group. Times in the
// message are relative to base.
func (g *group) applyUpdate(host string, base time.Time, epoch uint64, m *watchpb.Group) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	sameEpoch := epoch == g.observer.epoch
	if g.observer.host != host || sameEpoch && m.GetSequence() < g.observer.sequence {
		return nil
	}
	for _, d := range m.GetDatabases() {
		if g.probeSignals[d.GetName()] == nil {
			continue
		}
		r, known := g.readings[d.GetName()]
		if d.GetReading() != nil {
			var err error
			if r, err = decodeReading(d.GetReading()); err != nil {
				return err
			}
		} else if !known || !sameEpoch {
			continue
		}
		g.applyLocked(d.GetName(), base.Add(-time.Duration(d.GetAskedNanos())), base.Add(-time.Duration(d.GetAnsweredNanos())), r)
	}
	g.observer.epoch = epoch
	g.observer.sequence = m.GetSequence()
	return nil
}

// refresh records that the databases gave the same readings to the observer
// again, at the given time or later.
func (g *group) refresh(host string, at time.Time, epoch uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.observer.host != host || g.observer.epoch != epoch {
		return
	}
	for n, r := range g.readings {
		g.applyLocked(n, at, at, r)
	}
}
