package member

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"coltsfootloft"
	"coltsfootloft/core/gossip"
)

const (
	// Duty identifies the messages of this package on the links between hosts.
	Duty = "member"
	// DefaultPeriod is the time between heartbeats to a neighbour.
	DefaultPeriod = time.Second
	// DefaultListLag is the maximum lag of the platform's list.
	DefaultListLag = time.Minute
)

// View is this host's view of the fleet. It implements [coltsfootloft.Members].
// The fields are set before Run.
type View struct {
	// Host is this host.
	Host coltsfootloft.HostRecord
	// Peers calls the other hosts.
	Peers coltsfootloft.Peers
	// Store provides the platform's list. If it is nil, no list is read.
	Store coltsfootloft.Store
	// Bootstrap lists hosts to start from while the list can't be read.
	Bootstrap []coltsfootloft.HostRecord
	// Clock times the heartbeats. It is the real clock if nil.
	Clock clockwork.Clock
	// Log receives one line for each host that joins, changes its status or
	// leaves.
	Log logr.Logger
	// Period is the time between heartbeats to a neighbour, DefaultPeriod if 0.
	Period time.Duration
	// ListLag is the maximum lag of the platform's list, DefaultListLag if 0.
	// For this long the announcement that an upstream leaves takes precedence
	// over the list.
	ListLag time.Duration
	// Revision returns the revision of the settings in force on this host. If
	// it is nil, heartbeats carry 0.
	Revision func() uint64
	// OnRevision, if set, is called with the sender and the revision of every
	// heartbeat received that carries one. It must not block.
	OnRevision func(host string, revision uint64)
	// Metrics receives the metrics. If it is nil, they go to a private set.
	Metrics *metrics.Set

	once   sync.Once
	urgent chan struct{}
	counts counters

	mu               sync.Mutex
	table            *gossip.Table
	joined           bool
	listRead         bool
	inFlight         map[string]bool
	digestMismatches map[string]int
}

var _ coltsfootloft.Members = (*View)(nil)

// Run sends heartbeats and polls the list until ctx ends.
func (v *View) Run(ctx context.Context) error {
	v.prepare()
	v.Peers.Register(Duty, v.answer)
	var group sync.WaitGroup
	group.Go(func() { v.runHeartbeats(ctx) })
	if v.Store != nil {
		group.Go(func() { v.runListPolls(ctx) })
	}
	group.Wait()
	return nil
}

// Self returns the record of this host, which shows whether it is leaving.
func (v *View) Self() coltsfootloft.HostRecord {
	v.prepare()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Self().Record()
}

// Alive returns the hosts considered live, by name. This host and leaving hosts
// are included, upstreams are not.
func (v *View) Alive() []coltsfootloft.HostRecord {
	v.prepare()
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Alive()
}

// Leaving reports whether the named upstream is known to be leaving.
func (v *View) Leaving(upstream string) bool {
	v.prepare()
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.table.Find(upstream)
	return ok && m.Record().Upstream() && m.Record().Leaving()
}

// Resolve returns the address of a host for links between hosts.
func (v *View) Resolve(host string) (address string, ok bool) {
	v.prepare()
	v.mu.Lock()
	defer v.mu.Unlock()
	m, ok := v.table.Find(host)
	return m.Record().Address(), ok && !m.Record().Upstream()
}

// Announce tells the fleet that an upstream is leaving, before the platform's
// list shows it.
func (v *View) Announce(upstream coltsfootloft.HostRecord) {
	v.update(func(t *gossip.Table, now time.Time) bool { return t.AnnounceLeaving(upstream, now) })
}

// Leave tells the fleet that this host is leaving.
func (v *View) Leave() {
	v.update(func(t *gossip.Table, now time.Time) bool {
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
		v.counts = newCounters(v.Metrics, v.countHosts)
		now := v.Clock.Now()
		v.urgent = make(chan struct{}, 1)
		v.inFlight = make(map[string]bool)
		v.digestMismatches = make(map[string]int)
		v.table = gossip.New(v.Host, uint64(now.UnixMilli()), v.ListLag, now)
		for _, h := range v.Bootstrap {
			if h.Name() != v.Host.Name() {
				v.table.Merge(gossip.NewMember(h, 0), now)
			}
		}
		v.table.MarkAllSent()
	})
}

// update changes the table with f. If f reports a change, heartbeats pass it on
// at once.
func (v *View) update(f func(t *gossip.Table, now time.Time) bool) bool {
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
