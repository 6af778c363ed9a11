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
	// Duty is the name under which the feed registers its handler on peer links.
	Duty = "feed"
	// DefaultFanOut is the default of [Feed.FanOut].
	DefaultFanOut = 4
	// relaysPerDomain is the number of hosts in each failure domain that watch
	// the store.
	relaysPerDomain = 2
	// rolePeriod is how often a host checks whether it is a relay.
	rolePeriod = 500 * time.Millisecond
	// callTimeout bounds a call to another host.
	callTimeout = time.Second
	// initialWait is how long a starting relay waits for the settings of other
	// hosts before it reads the store.
	initialWait = time.Second
	// initialRetry is the pause between rounds of initial pulls.
	initialRetry = 200 * time.Millisecond
	// maxPushes is the maximum number of concurrent pushes, and of queued ones.
	// Further pushes are dropped; the receivers pull instead.
	maxPushes = 64
)

// Feed receives the settings on one host and passes them on to others. Its
// exported fields must be set before the first call and not changed afterwards.
type Feed struct {
	// Store is the platform's store, which holds the settings.
	Store coltsfootloft.Store
	// Peers carries requests to the other hosts.
	Peers coltsfootloft.Peers
	// Members lists the live hosts and their failure domains.
	Members coltsfootloft.Members
	// Clock is used for retries; the system clock if nil.
	Clock clockwork.Clock
	// Log gets one line for each revision that is applied.
	Log logr.Logger
	// Prefix is the key prefix of the settings in the store. Snapshot returns
	// keys without it.
	Prefix string
	// HeadKey is a key under Prefix that every change updates. If it is set, relays
	// watch only this key, and list all settings when it has changed and every
	// five minutes.
	HeadKey string
	// FanOut is the number of hosts to which one host forwards a push;
	// DefaultFanOut if 0.
	FanOut int
	// Metrics is the set that the metrics are registered in; a private set if
	// nil.
	Metrics *metrics.Set

	once      sync.Once
	hintAdded chan struct{}
	pushes    chan push
	counts    counters

	mu        sync.Mutex
	table     delta.Table
	entries   map[string][]byte
	changed   chan struct{}
	hints     map[string]uint64
	forwarded map[string]uint64
}

// Run receives and passes on settings until ctx ends. It always returns nil.
func (f *Feed) Run(ctx context.Context) error {
	f.prepare()
	f.Peers.Register(Duty, f.handle)
	var group sync.WaitGroup
	group.Go(func() { f.relayLoop(ctx) })
	group.Go(func() { f.pullLoop(ctx) })
	group.Go(func() { f.pushLoop(ctx) })
	group.Wait()
	return nil
}

// Snapshot returns the newest revision that this host has and its raw values by
// key, without the prefix. The map must not be changed. Revision 0 means that the
// host has no settings yet.
func (f *Feed) Snapshot() (revision uint64, entries map[string][]byte) {
	f.prepare()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Revision(), f.entries
}

// Revision returns the revision of Snapshot.
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

// ObserveRevision records that a host has a revision, as heartbeats report it. If the
// revision is newer than this host's, the host pulls it. ObserveRevision never blocks.
func (f *Feed) ObserveRevision(host string, revision uint64) {
	f.prepare()
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.table.Revision() {
		return
	}
	f.hints[host] = max(f.hints[host], revision)
	select {
	case f.hintAdded <- struct{}{}:
	default:
	}
}

func (f *Feed) prepare() {
	f.once.Do(func() {
		if f.Clock == nil {
			f.Clock = clockwork.NewRealClock()
		}
		if f.FanOut == 0 {
			f.FanOut = DefaultFanOut
		}
		f.counts = newCounters(f.Metrics, f.Revision)
		f.hintAdded = make(chan struct{}, 1)
		f.pushes = make(chan push, maxPushes)
		f.changed = make(chan struct{})
		f.hints = make(map[string]uint64)
		f.forwarded = make(map[string]uint64)
	})
}

// applyList applies a listing of the store and propagates the revision if it is
// new.
func (f *Feed) applyList(list []coltsfootloft.Entry, index uint64) {
	f.mu.Lock()
	before := f.table.Revision()
	advanced, staleKeys := f.table.ApplyList(f.Prefix, list, index)
	if advanced {
		f.publish()
	}
	f.mu.Unlock()
	if index < before {
		f.Log.V(1).Info("store returned an older revision of the settings", "index", index, "revision", before)
	}
	if len(staleKeys) > 0 {
		f.Log.Info("store holds older values than those in force", "keys", staleKeys)
	}
	if advanced {
		f.counts.fromStore.Inc()
		f.Log.Info("settings applied", "revision", index, "from", "store")
		f.propagate(before, "")
	}
}

// applyDelta applies a delta that another host has sent and propagates the
// revision if it is new. It reports a gap, and applies nothing, if the delta starts
// from another revision than this host's.
func (f *Feed) applyDelta(from, root string, d delta.Delta) (gap bool) {
	f.mu.Lock()
	before := f.table.Revision()
	advanced, gap := f.table.ApplyDelta(d)
	if advanced {
		f.publish()
	}
	f.mu.Unlock()
	if advanced {
		f.counts.fromHost.Inc()
		f.Log.Info("settings applied", "revision", d.Revision(), "from", from)
		f.propagate(before, root)
	}
	return gap
}

// publish makes the table's state the snapshot. The caller must hold f.mu.
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
