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

// assessPeriod is the time between assessments of a group whose readings don't
// change.
const assessPeriod = 50 * time.Millisecond

// monitor assesses one group and acts when it needs another primary.
type monitor struct {
	elector  *Elector
	group    coltsfootloft.Group
	names    []string
	electing sync.Mutex
	// confirmedBy is the host that last confirmed that a suspected primary
	// makes progress. Only run uses it.
	confirmedBy string

	mu       sync.Mutex
	progress elect.Progress
	lastView time.Time
	floor    coltsfootloft.Term
}

func newMonitor(d *Elector, g coltsfootloft.Group) *monitor {
	m := &monitor{
		elector: d,
		group:   g,
	}
	for _, u := range g.Upstreams() {
		m.names = append(m.names, u.Name())
	}
	return m
}

// run assesses the group until ctx ends and acts when an action is due.
func (m *monitor) run(ctx context.Context) {
	var suspicion elect.Suspicion
	var last elect.NeedKind
	for ctx.Err() == nil {
		changed := m.elector.Source.Changed(m.group.Name())
		view := m.view()
		need := elect.Assess(view)
		if need.Kind() != last {
			last = need.Kind()
			m.record("group assessed", "need", need.Kind().String(), "primary", need.Primary(), "term", need.Term().String())
		}
		now := m.elector.clock().Now()
		if suspicion.Due(now, need, m.elector.proposers(m.group.Name()).rank) {
			m.act(ctx, need, view, &suspicion)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-m.elector.clock().After(assessPeriod):
		}
	}
}

// act does what the group needs, or postpones it.
func (m *monitor) act(ctx context.Context, need elect.Need, view elect.View, suspicion *elect.Suspicion) {
	switch need.Kind() {
	case elect.SilentPrimary, elect.StalledPrimary:
		if m.confirmedElsewhere(ctx, need) {
			suspicion.Postpone(m.elector.clock().Now())
			return
		}
		fallthrough
	case elect.LeavingPrimary, elect.NoPrimary, elect.ReplicaFencedAbove:
		switch err := m.elect(ctx, need, view); {
		case errors.Is(err, errPreempted):
			suspicion.Postpone(m.elector.clock().Now())
		case err != nil:
			suspicion.BackOff(m.elector.clock().Now())
		}
	case elect.ReplicaNotFollowing:
		m.repointReplicas(ctx, need)
		suspicion.BackOff(m.elector.clock().Now())
	case elect.Nothing, elect.Isolated:
	}
}

// view collects what this host knows about the group.
func (m *monitor) view() elect.View {
	v := elect.View{
		Databases: m.names,
		Readings:  m.elector.Source.Readings(m.group.Name()),
		Silence:   make(map[string]time.Duration, len(m.names)),
		Leaving:   make(map[string]bool),
	}
	for _, n := range m.names {
		if s, ok := m.elector.Source.SilentFor(m.group.Name(), n); ok {
			v.Silence[n] = s
		}
		if m.elector.Members != nil && m.elector.Members.Leaving(n) {
			v.Leaving[n] = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.elector.clock().Now()
	if now.Sub(m.lastView) > 4*assessPeriod {
		// This host was paused, or was not asked to monitor the group: the time
		// without observation must not count against the primary.
		m.progress = elect.Progress{}
	}
	m.lastView = now
	v.Stalled = m.progress.Stalled(now, quorum.Size(len(m.names)), v.Readings)
	return v
}

// handOver moves the primary to another database.
func (m *monitor) handOver(ctx context.Context) error {
	view := m.view()
	name, term, ok := quorum.Size(len(m.names)).Primary(view.Readings)
	if !ok {
		return errors.Errorf("database group %s has no primary", m.group.Name())
	}
	view.Leaving[name] = true
	need := elect.Assess(view)
	if need.Kind() != elect.LeavingPrimary {
		return errors.Errorf("primary %s of term %s can't be handed over now: %s", name, term, need.Kind())
	}
	return m.elect(ctx, need, view)
}

func (m *monitor) record(event string, keyvals ...any) {
	m.elector.record(event, append([]any{"group", m.group.Name()}, keyvals...)...)
}
