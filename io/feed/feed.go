package feed

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"coltsfootloft"
	"coltsfootloft/core/delta"
)

const (
	// Duty is the name of the duty on peer links.
	Duty = "feed"
	// DefaultFan is the number of hosts that one host passes a push on to.
	DefaultFan = 4
	// relays is the number of hosts of a failure domain that watch the store.
	relays = 2
	// rolePeriod is how often a host checks whether it is a relay.
	rolePeriod = 500 * time.Millisecond
	// callTimeout bounds a call to another host.
	callTimeout = time.Second
	// startWait is how long a starting host asks other hosts before it believes
	// the store.
	startWait = time.Second
	// startRetry is the pause between rounds of asking at the start.
	startRetry = 200 * time.Millisecond
	// maxJobs is the most pushes under way; more are left to pulls.
	maxJobs = 64
)

// Feed is one host's part in distributing the settings. Its fields are set before
// Run.
type Feed struct {
	// Store holds the settings.
	Store coltsfootloft.Store
	// Peers reach the other hosts.
	Peers coltsfootloft.Peers
	// Members lists them.
	Members coltsfootloft.Members
	// Clock times retries; the real one if nil.
	Clock clockwork.Clock
	// Log takes one line for each revision taken.
	Log logr.Logger
	// Prefix opens the store's key of each setting. It is taken off the keys.
	Prefix string
	// Head is a key below the prefix that every change moves. If set, relays
	// watch it alone, and list all settings when it has moved and every five
	// minutes.
	Head string
	// Fan is the number of hosts that one host passes a push on to; DefaultFan
	// if 0.
	Fan int
	// Metrics receives the counters; a private set if nil.
	Metrics *metrics.Set

	once   sync.Once
	hinted chan struct{}
	jobs   chan push
	counts counters

	mu        sync.Mutex
	table     delta.Table
	entries   map[string][]byte
	changed   chan struct{}
	hints     map[string]uint64
	forwarded map[string]uint64
}

// Run takes part until ctx ends.
func (f *Feed) Run(ctx context.Context) error {
	f.prepare()
	f.Peers.Register(Duty, f.answer)
	var group sync.WaitGroup
	group.Go(func() { f.relayDuty(ctx) })
	group.Go(func() { f.pullDuty(ctx) })
	group.Go(func() { f.pushDuty(ctx) })
	group.Wait()
	return nil
}

// Snapshot returns the newest revision and its raw entries by key, with the
// prefix taken off. The map must not be changed. Revision 0 has no entries.
func (f *Feed) Snapshot() (revision uint64, entries map[string][]byte) {
	f.prepare()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Revision(), f.entries
}

// Revision is that of Snapshot.
func (f *Feed) Revision() uint64 {
	f.prepare()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Revision()
}

// Changed returns a channel that is closed at the next revision.
func (f *Feed) Changed() <-chan struct{} {
	f.prepare()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Hear tells that a host has a revision, as a heartbeat does. It never blocks.
func (f *Feed) Hear(host string, revision uint64) {
	f.prepare()
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.table.Revision() {
		return
	}
	f.hints[host] = max(f.hints[host], revision)
	select {
	case f.hinted <- struct{}{}:
	default:
	}
}

func (f *Feed) prepare() {
	f.once.Do(func() {
		if f.Clock == nil {
			f.Clock = clockwork.NewRealClock()
		}
		if f.Fan == 0 {
			f.Fan = DefaultFan
		}
		f.counts = newCounters(f.Metrics, f.Revision)
		f.hinted = make(chan struct{}, 1)
		f.jobs = make(chan push, maxJobs)
		f.changed = make(chan struct{})
		f.hints = make(map[string]uint64)
		f.forwarded = make(map[string]uint64)
	})
}

// takeList takes in a listing of the store.
func (f *Feed) takeList(list []coltsfootloft.Entry, index uint64) {
	f.mu.Lock()
	before := f.table.Revision()
	rose, kept := f.table.ApplyList(f.Prefix, list, index)
	if rose {
		f.publish()
	}
	f.mu.Unlock()
	if index < before {
		f.Log.V(1).Info("store answers old settings", "index", index, "revision", before)
	}
	if len(kept) > 0 {
		f.Log.Info("store holds older values than are in force", "keys", kept)
	}
	if rose {
		f.counts.fromStore.Inc()
		f.Log.Info("settings taken", "revision", index, "from", "store")
		f.spread(before, "")
	}
}

// takeDelta takes in what another host has sent. A gap means that the delta starts
// from another revision than this host's.
func (f *Feed) takeDelta(from, root string, d delta.Delta) (gap bool) {
	f.mu.Lock()
	before := f.table.Revision()
	rose, gap := f.table.ApplyDelta(d)
	if rose {
		f.publish()
	}
	f.mu.Unlock()
	if rose {
		f.counts.fromHost.Inc()
		f.Log.Info("settings taken", "revision", d.Revision(), "from", from)
		f.spread(before, root)
	}
	return gap
}

// publish makes the table's state the snapshot. The caller holds the lock.
func (f *Feed) publish() {
	f.entries = f.table.Entries()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Feed) pause(ctx context.Context, d time.Duration) {
	select {
	case <-f.Clock.After(d):
	case <-ctx.Done():
	}
}
