// Package mirror keeps a copy of the platform's store on each host.
//
// The copy is updated by a long poll (a watch): a few hosts of each failure domain watch
// the store itself, and the others poll one of those. The copy is published as an
// immutable View at one revision of the store.
//
// A second loop asks the store whether the operators' settings that the host holds are
// still current, at least twice within the time in which a withdrawn key must stop
// working. A positive answer advances the horizon (package horiz). The watch alone does
// not prove that the copy is current: its connection may be silent, and the store may
// have dropped the history that the watch would report.
//
// The quota keeper, the host that holds the quota duty, confirms the settings more often.
// Its answers to the other hosts carry its Freshness, which spares most of them their own
// confirmations. Routes without a key need no confirmation, so that they are served while the
// store can't be reached. They are refused once a Freshness has shown for a while that other hosts have later settings.
//
// If the store comes back from a backup, it loses changes that it had acknowledged, and a
// new era begins. The mirror then lists the store again. Settings that are older than those
// in force are not applied. Records of groups that were not written in the era name no primary,
// and leases and duties of earlier eras end; Past and Recall tell what is needed to write
// new ones.
package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/evac"
	"coltsfootloft/core/horiz"
)

const (
	// watchTimeout is how long the store may hold a long poll before it answers. It
	// bounds how long a silent connection can hide changes.
	watchTimeout = 4 * time.Second
	// batchDelay is the pause after a change, in which further changes accumulate for the
	// next long poll: every answer is a billed call on each host.
	batchDelay = 100 * time.Millisecond
	// minRetryDelay is the delay after a failed call. It doubles up to maxRetryDelay,
	// since refused calls are billed too, and up to keeperMaxRetryDelay on the quota
	// keeper, on whose confirmations other hosts rely. A confirmation that succeeds after
	// failures ends the delay of the watch.
	minRetryDelay       = 150 * time.Millisecond
	maxRetryDelay       = 1200 * time.Millisecond
	keeperMaxRetryDelay = 600 * time.Millisecond
	// retryDelayPerHost raises the maximum delays with the number of hosts, up to
	// maxFleetRetryDelay, so that a fleet makes at most 100 calls a second of each kind
	// while the store is unavailable.
	retryDelayPerHost  = 10 * time.Millisecond
	maxFleetRetryDelay = 3 * time.Second
	// firstListDelay bounds the wait of the first listing for the host's own
	// registration, so that the listing includes it. Registration usually takes two round
	// trips to the store.
	firstListDelay = time.Second
	// confirmFraction is the fraction of Mirror.HorizonLimit after which the host confirms the
	// horizon itself; it leaves time for two attempts. Normally the more frequent
	// confirmations of the quota keeper arrive first and advance the horizon.
	confirmFraction = 0.45
	// keeperConfirmPeriod is how often the quota keeper confirms the settings.
	keeperConfirmPeriod = 700 * time.Millisecond
	// removedRetention is how long a removed database stays in the view, so that its
	// connections can be told from those of others. It is longer than any drain.
	removedRetention = 30 * time.Second
)

// Mirror holds the copy of the store and keeps it current. Its exported fields are set
// before Run.
type Mirror struct {
	// Store is the platform's store.
	Store coltsfootloft.EventStore
	// Clock is monotonic and includes the time in which the host is suspended.
	Clock coltsfootloft.Clock
	// Log receives a line for each change of the settings, databases and group records,
	// and for failed calls.
	Log logr.Logger
	// HorizonLimit is the maximum age of the horizon: no key is served beyond it.
	HorizonLimit time.Duration
	// LeaseTTL is the duration of the hosts' leases, and so how long rights of an earlier
	// era of the store may last.
	LeaseTTL time.Duration
	// Self is the name of this host and Domain its failure domain.
	Self, Domain string
	// Peers calls the hosts that watch the store.
	Peers coltsfootloft.Peers
	// Decode decodes a key of the store and its value.
	Decode func(key string, value []byte, revision uint64, deleted bool) coltsfootloft.Event
	// IsLease reports whether the lease of a registration is the one that the store names for the
	// key.
	IsLease func(session, name string) bool
	// RecentlyReached reports whether the store has answered this host recently.
	RecentlyReached func() bool
	// IsKeeper reports whether this host is the quota keeper, on whose confirmations other
	// hosts rely.
	IsKeeper func() bool
	// EvacuateBound is the time within which nothing more may reach the databases of an
	// evacuated failure domain; 0 if domains can't be evacuated.
	EvacuateBound time.Duration
	// Domains are the failure domains that the process settings name, besides Domain.
	Domains []string

	horizon horiz.Horizon
	era     eraState
	// newestAtPeer is the newest settings that another host holds, with its version and
	// revision only.
	newestAtPeer atomic.Pointer[coltsfootloft.Settings]
	// behindSince is when this host learned of a later version than that in force, or 0.
	behindSince atomic.Int64
	// absence is when domains were last known not to be evacuated, and evacuationsKnown when
	// this host last knew which ones are. Both are guarded by mu.
	absence          evac.Absence
	evacuationsKnown time.Duration
	domains          atomic.Pointer[viewDomains]
	// history is guarded by mu. retryDelay, compactedAt, noSourceSince, avoidUntil,
	// candidates and candidatesVersion are used by the watch loop only.
	history           history
	packed            packedAnswers
	retryDelay        time.Duration // after the latest failed watch
	compactedAt       uint64        // revision of the view at the latest ErrCompacted
	noSourceSince     time.Duration // when the host was left without a source to poll, or 0
	watching          atomic.Bool
	avoidUntil        map[string]time.Duration
	candidates        []string
	candidatesVersion uint64
	view              atomic.Pointer[View]
	mu                sync.Mutex
	changed           chan struct{}
	wake              chan struct{}
	checkingLag       atomic.Bool
	reached           atomic.Bool // the latest call to the store was answered
	once              sync.Once
}

// Horizon returns the horizon, whose age is the age of the host's knowledge of the
// operators' settings.
func (m *Mirror) Horizon() *horiz.Horizon { return &m.horizon }

// View returns the current view; it is never nil.
func (m *Mirror) View() *View {
	m.lazyInit()
	return m.view.Load()
}

// Changed returns a channel that is closed when the view changes next.
func (m *Mirror) Changed() <-chan struct{} {
	m.lazyInit()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// StoreReachable reports whether the most recent call to the store was answered.
func (m *Mirror) StoreReachable() bool { return m.reached.Load() }

// Await waits until the view is at the given revision of the store or a later one. If the
// watch does not deliver it shortly, Await lists the store. It returns an error if ctx
// ends first or the listing fails.
func (m *Mirror) Await(ctx context.Context, revision uint64) error {
	const listDelay = 40 * time.Millisecond // a working watch delivers a change within 10 ms
	timer := time.NewTimer(listDelay)
	defer timer.Stop()
	for {
		changed := m.Changed()
		if m.View().Revision >= revision {
			return nil
		}
		m.wakeWatch()
		select {
		case <-changed:
		case <-timer.C:
			if err := m.Refresh(ctx); err != nil {
				return err
			}
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "view of the store")
		}
	}
}

// Refresh lists the store and replaces the view with the listing.
func (m *Mirror) Refresh(ctx context.Context) error {
	sent := m.Clock.Elapsed()
	events, revision, err := m.Store.Snapshot(ctx)
	m.reached.Store(err == nil)
	if err != nil {
		return errors.Wrap(err, "list the store")
	}
	m.applyListing(sent, events, revision)
	return nil
}

// applyListing applies the answer to a listing of the store.
func (m *Mirror) applyListing(sent time.Duration, events []coltsfootloft.Event, revision uint64) {
	m.ObserveEra(coltsfootloft.EraOf(revision))
	m.noteListing(sent, events)
	m.replaceAll(events, revision)
	for _, e := range events {
		if e.Kind == coltsfootloft.EventSettings {
			m.advanceHorizon(sent, e)
		}
	}
}

// Run keeps the copy current until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	m.lazyInit()
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		m.confirm(ctx)
	}()
	m.watch(ctx)
	wg.Wait()
}

func (m *Mirror) lazyInit() {
	m.once.Do(func() {
		m.changed = make(chan struct{})
		m.wake = make(chan struct{}, 1)
		v := emptyView()
		v.Evacuations.Bound = m.EvacuateBound
		m.view.Store(v)
		m.avoidUntil = make(map[string]time.Duration)
		m.history.items = make(map[string]coltsfootloft.Event)
	})
}

func (m *Mirror) applyAll(events []coltsfootloft.Event, revision uint64) {
	m.update(revision, func(v *View, now time.Duration) []error {
		var problems []error
		var applied []coltsfootloft.Event
		for _, e := range events {
			if e.Revision <= v.Revision {
				m.applyStale(v, e)
				continue // a later listing includes it
			}
			if err := m.apply(v, now, e); err != nil {
				problems = append(problems, errors.Wrap(err, e.Key))
			}
			applied = append(applied, e)
		}
		m.history.add(applied, v.Settings)
		return problems
	})
}

// replaceAll replaces the view with a listing, unless the view is at a later revision
// already.
func (m *Mirror) replaceAll(events []coltsfootloft.Event, revision uint64) {
	m.update(revision, func(v *View, now time.Duration) []error {
		if revision < v.Revision {
			for _, e := range events {
				m.applyStale(v, e)
			}
			return nil
		}
		before := v.hostsBefore()
		problems := v.replace(now, events, revision)
		problems = append(problems, m.replaceHosts(v, now, events, before)...)
		problems = append(problems, m.replaceEvacuations(v, now, events, revision)...)
		m.history.replace(events, revision, v)
		return problems
	})
}

// update publishes a changed copy of the view and wakes those that wait for a change.
func (m *Mirror) update(revision uint64, change func(v *View, now time.Duration) []error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Elapsed()
	before := m.view.Load()
	v := before.clone()
	problems := change(v, now)
	v.Revision = max(v.Revision, revision)
	v.expire(now)
	m.history.dropEnded(before, v)
	m.view.Store(v)
	if v.Settings != nil && v.Settings.Version >= m.LatestVersion() {
		m.behindSince.Store(0)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	for _, p := range problems {
		m.Log.Info("unusable store entry", "reason", p.Error(), "revision", revision)
	}
	m.logChanges(before, v)
}

// expire drops databases that were removed more than removedRetention ago.
func (v *View) expire(now time.Duration) {
	for id, u := range v.Upstreams {
		if u.Removed && now-u.Since > removedRetention {
			delete(v.Upstreams, id)
		}
	}
}

func (m *Mirror) logChanges(before, after *View) {
	m.logEvacuations(before, after)
	if after.Settings != nil && (before.Settings == nil || before.Settings.Revision != after.Settings.Revision) {
		m.Log.Info("settings in force", "version", after.Settings.Version, "revision", after.Settings.Revision,
			"routes", len(after.Settings.Routes), "accounts", len(after.Settings.Accounts), "keys", len(after.Settings.Keys))
	}
	for id, u := range after.Upstreams {
		old, known := before.Upstreams[id]
		if !known || old.Removed != u.Removed || old.Leaving != u.Leaving || old.Role != u.Role || old.Started != u.Started {
			m.Log.Info("database", "database", id, "group", u.Group, "domain", u.Upstream.Domain(), "address", u.Upstream.Address(),
				"role", u.Role.String(), "leaving", u.Leaving, "gone", u.Removed, "born", u.Started, "revision", u.Revision)
		}
	}
	for name, g := range after.Groups {
		if before.Groups[name].Revision != g.Revision {
			m.Log.Info("record of a group", "group", name, "epoch", g.Epoch, "primary", g.Primary, "closing", g.Closing,
				"candidate", g.Candidate, "revision", g.Revision)
		}
	}
}
