package elect

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/elect"
	"coltsfootloft/core/quorum"
)

// assessPeriod is how often a group is assessed if no reading changes.
const assessPeriod = 50 * time.Millisecond

// keeper looks after one group.
type keeper struct {
	duty     *Elector
	group    coltsfootloft.Group
	names    []string
	electing sync.Mutex
	// voucher is the host that last vouched for a suspected primary. Only run uses it.
	voucher string

	mu       sync.Mutex
	progress elect.Progress
	watched  time.Time
	floor    coltsfootloft.Term
}

func newKeeper(d *Elector, g coltsfootloft.Group) *keeper {
	k := &keeper{
		duty:  d,
		group: g,
	}
	for _, u := range g.Upstreams() {
		k.names = append(k.names, u.Name())
	}
	return k
}

// run assesses the group until ctx ends and acts when that is due.
func (k *keeper) run(ctx context.Context) {
	var suspicion elect.Suspicion
	var last elect.NeedKind
	for ctx.Err() == nil {
		changed := k.duty.Source.Changed(k.group.Name())
		view := k.view()
		need := elect.Assess(view)
		if need.Kind() != last {
			last = need.Kind()
			k.record("group assessed", "need", need.Kind().String(), "primary", need.Primary(), "term", need.Term().String())
		}
		now := k.duty.clock().Now()
		if suspicion.Due(now, need, k.duty.proposers(k.group.Name()).rank) {
			k.act(ctx, need, view, &suspicion)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-k.duty.clock().After(assessPeriod):
		}
	}
}

// act meets the need, or holds back.
func (k *keeper) act(ctx context.Context, need elect.Need, view elect.View, suspicion *elect.Suspicion) {
	switch need.Kind() {
	case elect.SilentPrimary, elect.StalledPrimary:
		if k.vouched(ctx, need) {
			suspicion.Hold(k.duty.clock().Now())
			return
		}
		fallthrough
	case elect.LeavingPrimary, elect.NoPrimary, elect.Outrun:
		switch err := k.elect(ctx, need, view); {
		case errors.Is(err, errOutbid):
			suspicion.Hold(k.duty.clock().Now())
		case err != nil:
			suspicion.Cool(k.duty.clock().Now())
		}
	case elect.Astray:
		k.lead(ctx, need)
		suspicion.Cool(k.duty.clock().Now())
	case elect.Nothing, elect.Isolated:
	}
}

// view collects what this host knows of the group.
func (k *keeper) view() elect.View {
	v := elect.View{
		Databases: k.names,
		Readings:  k.duty.Source.Readings(k.group.Name()),
		Silence:   make(map[string]time.Duration, len(k.names)),
		Leaving:   make(map[string]bool),
	}
	for _, n := range k.names {
		if s, ok := k.duty.Source.Silent(k.group.Name(), n); ok {
			v.Silence[n] = s
		}
		if k.duty.Members != nil && k.duty.Members.Leaving(n) {
			v.Leaving[n] = true
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.duty.clock().Now()
	if now.Sub(k.watched) > 4*assessPeriod {
		// This host was paused, or not asked to look: time in which it saw nothing
		// doesn't count against the primary.
		k.progress = elect.Progress{}
	}
	k.watched = now
	v.Stalled = k.progress.Stalled(now, quorum.Size(len(k.names)), v.Readings)
	return v
}

// handOver moves the primary to another database.
func (k *keeper) handOver(ctx context.Context) error {
	view := k.view()
	name, term, ok := quorum.Size(len(k.names)).Primary(view.Readings)
	if !ok {
		return errors.Errorf("database group %s has no primary", k.group.Name())
	}
	view.Leaving[name] = true
	need := elect.Assess(view)
	if need.Kind() != elect.LeavingPrimary {
		return errors.Errorf("primary %s of term %s can't be handed over now: %s", name, term, need.Kind())
	}
	return k.elect(ctx, need, view)
}

func (k *keeper) record(event string, keyvals ...any) {
	k.duty.record(event, append([]any{"group", k.group.Name()}, keyvals...)...)
}
