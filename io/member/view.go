package member

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"coltsfootloft"
	"coltsfootloft/core/beat"
)

const (
	// Duty is the name of the duty on peer links.
	Duty = "member"
	// DefaultPeriod is the time between heartbeats to one neighbour.
	DefaultPeriod = time.Second
	// DefaultListLag is how far the platform's list may be behind.
	DefaultListLag = time.Minute
)

// View is a coltsfootloft.Members. Its fields are set before Run.
type View struct {
	// Host is this host.
	Host coltsfootloft.HostRecord
	// Peers reach the other hosts.
	Peers coltsfootloft.Peers
	// Store has the platform's list; none is read if nil.
	Store coltsfootloft.Store
	// Bootstrap are hosts to start from when the list can't be read.
	Bootstrap []coltsfootloft.HostRecord
	// Clock times heartbeats; the real one if nil.
	Clock clockwork.Clock
	// Log takes one line for each host that comes, goes or leaves.
	Log logr.Logger
	// Period is the time between heartbeats to one neighbour; DefaultPeriod if
	// 0.
	Period time.Duration
	// ListLag is how far the platform's list may be behind. An announcement that
	// an upstream leaves is believed over the list for this long; DefaultListLag
	// if 0.
	ListLag time.Duration
	// Revision returns the revision of the settings in force on this host; 0 is
	// told if nil.
	Revision func() uint64
	// OnRevision is called with the revision in every heartbeat that comes in;
	// it must not block.
	OnRevision func(host string, revision uint64)
	// Metrics receives the counters; a private set if nil.
	Metrics *metrics.Set

	once   sync.Once
	urgent chan struct{}
	counts counters

	mu       sync.Mutex
	table    *beat.Table
	joined   bool
	listed   bool
	calling  map[string]bool
	differed map[string]int
}

var _ coltsfootloft.Members = (*View)(nil)

// Run takes part until ctx ends.
func (v *View) Run(ctx context.Context) error {
	v.prepare()
	v.Peers.Register(Duty, v.answer)
	var group sync.WaitGroup
	group.Go(func() { v.beatDuty(ctx) })
	if v.Store != nil {
		group.Go(func() { v.listDuty(ctx) })
	}
	group.Wait()
	return nil
}

// Self is this host, with whether it leaves.
func (v *View) Self() coltsfootloft.HostRecord {
	v.prepare()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Self().Record()
}

// Alive returns the entry hosts held to be live, self and those that leave
// included, by name.
func (v *View) Alive() []coltsfootloft.HostRecord {
	v.prepare()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Alive()
}

// Leaving reports whether the named upstream is announced to leave.
func (v *View) Leaving(upstream string) bool {
	v.prepare()
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.table.Find(upstream)
	return ok && m.Record().Upstream() && m.Record().Leaving()
}

// Resolve returns the peer address of a host, for peer links.
func (v *View) Resolve(host string) (address string, ok bool) {
	v.prepare()
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.table.Find(host)
	return m.Record().Address(), ok && !m.Record().Upstream()
}

// Announce tells the fleet that an upstream leaves, ahead of the platform's list.
func (v *View) Announce(upstream coltsfootloft.HostRecord) {
	v.change(func(t *beat.Table, now time.Time) bool { return t.AnnounceLeaving(upstream, now) })
}

// Leave tells the fleet that this host leaves.
func (v *View) Leave() {
	v.change(func(t *beat.Table, now time.Time) bool {
		t.Leave(now)
		return true
	})
}

func (v *View) prepare() {
	v.once.Do(func() {
		if v.Clock == nil {
			v.Clock = clockwork.NewRealClock()
		}
		if v.Period == 0 {
			v.Period = DefaultPeriod
		}
		if v.ListLag == 0 {
			v.ListLag = DefaultListLag
		}
		v.counts = newCounters(v.Metrics, v.count)
		now := v.Clock.Now()
		v.urgent = make(chan struct{}, 1)
		v.calling = make(map[string]bool)
		v.differed = make(map[string]int)
		v.table = beat.New(v.Host, uint64(now.UnixMilli()), v.ListLag, now)
		for _, h := range v.Bootstrap {
			if h.Name() != v.Host.Name() {
				v.table.Merge(beat.NewMember(h, 0), now)
			}
		}
		v.table.Quiet()
	})
}

// change lets f change the table, and has news passed on at once.
func (v *View) change(f func(t *beat.Table, now time.Time) bool) bool {
	v.prepare()
	v.mu.Lock()
	changed := f(v.table, v.Clock.Now())
	v.mu.Unlock()
	if changed {
		select {
		case v.urgent <- struct{}{}:
		default:
		}
	}
	return changed
}

func (v *View) revision() uint64 {
	if v.Revision == nil {
		return 0
	}
	return v.Revision()
}
