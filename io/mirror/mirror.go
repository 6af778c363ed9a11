// Package mirror keeps a copy of the platform's store on each host.
//
// One duty waits on the store's watch and applies what it tells. Another asks the
// store, twice within the time in which a withdrawn key must stop working, whether
// the operators' settings are still the ones that the host has; the answer moves
// the horizon. A watch alone proves nothing: its connection may have gone silent,
// and the store may have lost the history that it would tell.
package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/horiz"
)

const (
	// watchWait is how long the store may hold a watch. A silent connection hides
	// changes for no longer.
	watchWait = 4 * time.Second
	// gather is how long changes are left to gather before the next watch: each
	// answer is a priced call of every host.
	gather = 100 * time.Millisecond
	// retryPause is the wait after a failed call, doubled up to retryMost: refused
	// calls are priced too. The keeper of rates, by whose confirmations the others
	// go, waits leadMost at the most. A confirmation that succeeds ends the wait of
	// the watch.
	retryPause = 150 * time.Millisecond
	retryMost  = 1200 * time.Millisecond
	leadMost   = 600 * time.Millisecond
	// perHost lengthens the longest waits with the fleet, up to spreadMost: all its
	// hosts together ask for no more than a hundred calls a second of each kind of a
	// store that is away.
	perHost    = 10 * time.Millisecond
	spreadMost = 3 * time.Second
	// firstList is how long the first listing waits for the host's own
	// registration, which it then shows: the usual is two answers of the store.
	firstList = time.Second
	// confirmShare is the part of the limit on the horizon after which this host
	// confirms it itself: two tries then fit into the limit. The keeper of rates
	// does so far sooner, and its answers to the others move theirs.
	confirmShare = 0.45
	// leadEvery is how often the keeper of rates confirms.
	leadEvery = 700 * time.Millisecond
	// keepGone is how long a database that has left stays in the view, so that
	// its connections can be told apart: longer than any draining.
	keepGone = 30 * time.Second
)

// Mirror copies the store. Its fields are set before Run.
type Mirror struct {
	// Store is the platform's.
	Store coltsfootloft.EventStore
	// Clock counts suspensions.
	Clock coltsfootloft.Clock
	// Log takes a line for each change of what is believed.
	Log logr.Logger
	// HorizonLimit is the age of the horizon past which no key is served.
	HorizonLimit time.Duration
	// Self is this host's name and Domain its failure domain.
	Self, Domain string
	// Peers calls the hosts that watch the store.
	Peers coltsfootloft.Peers
	// Decode returns what a key of the store means.
	Decode func(key string, value []byte, revision uint64, gone bool) coltsfootloft.Event
	// Reaching tells whether the store has answered this host of late.
	Reaching func() bool
	// Leads tells whether other hosts go by this host's confirmations.
	Leads func() bool

	horizon horiz.Horizon
	// record is guarded by mu; avoided, order, alone and retry belong to the
	// watching duty.
	record       record
	retry        time.Duration // the wait after the last failed watch
	alone        time.Duration // since when there is no host to follow, or 0
	watches      atomic.Bool
	avoided      map[string]time.Duration
	order        []string
	orderVersion uint64
	view         atomic.Pointer[View]
	mu           sync.Mutex
	changed      chan struct{}
	hurry        chan struct{}
	doubting     atomic.Bool
	reached      atomic.Bool // whether the newest call to the store was answered
	once         sync.Once
}

// Horizon tells how old the knowledge of the operators' settings is.
func (m *Mirror) Horizon() *horiz.Horizon { return &m.horizon }

// View returns the newest view; it is never nil.
func (m *Mirror) View() *View {
	m.prepare()
	return m.view.Load()
}

// Changed returns a channel that is closed at the next change of the view.
func (m *Mirror) Changed() <-chan struct{} {
	m.prepare()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Reaches reports whether the newest call to the store was answered.
func (m *Mirror) Reaches() bool { return m.reached.Load() }

// Await waits until the view is at a revision of the store or later. After a short
// wait it has the store listed, in case the watch is deaf.
func (m *Mirror) Await(ctx context.Context, revision uint64) error {
	const patience = 40 * time.Millisecond // a watch tells a change within 10 ms
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		changed := m.Changed()
		if m.View().Revision >= revision {
			return nil
		}
		m.hasten()
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

// Refresh lists the store now.
func (m *Mirror) Refresh(ctx context.Context) error {
	sent := m.Clock.Elapsed()
	all, revision, err := m.Store.Snapshot(ctx)
	m.reached.Store(err == nil)
	if err != nil {
		return errors.Wrap(err, "list the store")
	}
	m.replaceAll(all, revision)
	if m.View().Catalog != nil {
		m.horizon.Advance(sent)
	}
	return nil
}

// Run copies until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	m.prepare()
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		m.confirm(ctx)
	}()
	m.watch(ctx)
	group.Wait()
}

func (m *Mirror) prepare() {
	m.once.Do(func() {
		m.changed = make(chan struct{})
		m.hurry = make(chan struct{}, 1)
		m.view.Store(emptyView())
		m.avoided = make(map[string]time.Duration)
		m.record.items = make(map[string]coltsfootloft.Event)
	})
}

func (m *Mirror) applyAll(events []coltsfootloft.Event, revision uint64) {
	m.update(revision, func(v *View, now time.Duration) []error {
		m.record.add(events)
		var problems []error
		for _, e := range events {
			if err := v.apply(now, e); err != nil {
				problems = append(problems, errors.Wrap(err, e.Key))
			}
		}
		return problems
	})
}

// replaceAll takes a listing, unless more is known already.
func (m *Mirror) replaceAll(all []coltsfootloft.Event, revision uint64) {
	m.update(revision, func(v *View, now time.Duration) []error {
		if revision < v.Revision {
			return nil
		}
		m.record.replace(all, revision)
		return v.replace(now, all)
	})
}

// update publishes a changed copy of the view.
func (m *Mirror) update(revision uint64, change func(v *View, now time.Duration) []error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Elapsed()
	before := m.view.Load()
	v := before.clone()
	problems := change(v, now)
	v.Revision = max(v.Revision, revision)
	v.forget(now)
	m.view.Store(v)
	close(m.changed)
	m.changed = make(chan struct{})
	for _, p := range problems {
		m.Log.Info("entry of the store not usable", "reason", p.Error(), "revision", revision)
	}
	m.report(before, v)
}

// forget drops databases that left long ago.
func (v *View) forget(now time.Duration) {
	for id, u := range v.Upstreams {
		if u.Gone && now-u.Since > keepGone {
			delete(v.Upstreams, id)
		}
	}
}

// report logs what has changed for requests.
func (m *Mirror) report(before, after *View) {
	if after.Catalog != nil && (before.Catalog == nil || before.Catalog.Revision != after.Catalog.Revision) {
		m.Log.Info("settings in force", "version", after.Catalog.Version, "revision", after.Catalog.Revision,
			"routes", len(after.Catalog.Routes), "accounts", len(after.Catalog.Accounts), "keys", len(after.Catalog.Keys))
	}
	for id, u := range after.Upstreams {
		old, known := before.Upstreams[id]
		if !known || old.Gone != u.Gone || old.Leaving != u.Leaving || old.Role != u.Role || old.Born != u.Born {
			m.Log.Info("database", "database", id, "group", u.Group, "domain", u.Upstream.Domain(), "address", u.Upstream.Address(),
				"role", u.Role.String(), "leaving", u.Leaving, "gone", u.Gone, "born", u.Born, "revision", u.Revision)
		}
	}
	for name, g := range after.Groups {
		if before.Groups[name].Revision != g.Revision {
			m.Log.Info("record of a group", "group", name, "epoch", g.Epoch, "primary", g.Primary, "closing", g.Closing,
				"candidate", g.Candidate, "revision", g.Revision)
		}
	}
}
