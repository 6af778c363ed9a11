package mirror

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootloft"
	"coltsfootloft/platform"
	"coltsfootloft/stand/keyval"
	_ "coltsfootloft/stand/seed"
)

// restoreModel is two hosts and a store that is restored at random, whose answers arrive late
// and in any order. At most one host at a time is new and knows nothing of the past.
type restoreModel struct {
	store     *keyval.Server
	clients   [2]*platform.Client
	mirrors   [2]*Mirror
	clock     *manualClock
	backup    keyval.Backup
	version   uint64
	confirmed map[uint64]time.Duration // when each version was acknowledged
	pending   []func()                 // answers that have not arrived yet
	highest   [2]uint64                // the highest version that was in force on each host
}

func startModelStore(t *rapid.T) *keyval.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &keyval.Server{Listener: l}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

// start starts a host, or starts it again.
func (r *restoreModel) start(host int) {
	c := &platform.Client{
		Store: r.store.Listener.Addr().String(),
		Dial:  (&net.Dialer{}).DialContext,
	}
	c.Start()
	r.clients[host] = c
	r.mirrors[host] = &Mirror{
		Store:    c,
		Clock:    r.clock,
		Log:      logr.Discard(),
		LeaseTTL: time.Minute,
		IsLease:  platform.IsLease,
	}
	r.mirrors[host].lazyInit()
	r.highest[host] = 0
}

// restart starts a host again if the other one has confirmed settings.
func (r *restoreModel) restart(host int) {
	if r.mirrors[1-host].Freshness().SettingsVersion > 0 {
		r.start(host)
	}
}

// exchange lets a host report to the other one, which answers as the keeper of rates does.
func (r *restoreModel) exchange(host int) {
	sent := r.clock.now
	r.mirrors[1-host].ObserveReport(r.mirrors[host].Freshness())
	f := r.mirrors[1-host].Freshness()
	f.Sent = sent
	f.Revision = coltsfootloft.RevisionAt(coltsfootloft.EraOf(f.Revision), 0) // no listing in the background
	r.pending = append(r.pending, func() { r.mirrors[host].ObservePeer(f) })
}

// putSettings writes the next version, or the latest one again.
func (r *restoreModel) putSettings(next bool) {
	if next {
		r.version++
	}
	r.store.Put("op/config", map[string]any{"ConfigVersion": r.version})
	if next {
		r.confirmed[r.version] = r.clock.now
	}
}

func (r *restoreModel) putHost(t *rapid.T, n int) {
	key := fmt.Sprintf("coltsfootloft/host/h%d", n)
	if _, ok := r.store.Get(key); ok {
		r.store.Remove(key)
		return
	}
	lease, err := r.clients[0].OpenSession(t.Context(), "", time.Hour)
	assert.NilError(t, err)
	b, err := json.Marshal(Registration{
		Address: "127.0.0.1:1",
		Domain:  "a",
		Lease:   lease,
	})
	assert.NilError(t, err)
	_, err = r.clients[0].Apply(t.Context(), []coltsfootloft.Change{coltsfootloft.Put(HostKey(fmt.Sprintf("h%d", n)), b, 0).WithLock(lease)})
	assert.NilError(t, err)
}

// restore returns the store to the backup. The operator writes the settings again before
// it answers, at another revision than before, or later if both hosts have them.
func (r *restoreModel) restore(others int, late bool) {
	late = late && r.highest[0] == r.version && r.highest[1] == r.version
	r.store.Restore(r.backup)
	for n := range others {
		r.store.Put(fmt.Sprintf("other/%d", n), []byte("x"))
	}
	if !late {
		r.putSettings(false)
	}
}

func (r *restoreModel) list(t *rapid.T, host int) {
	m := r.mirrors[host]
	sent := r.clock.now
	events, revision, err := r.clients[host].Snapshot(context.Background())
	assert.NilError(t, err)
	r.pending = append(r.pending, func() { m.applyListing(sent, events, revision) })
}

func (r *restoreModel) watch(t *rapid.T, host int) {
	m := r.mirrors[host]
	if m.View().Revision == 0 {
		r.list(t, host)
		return
	}
	events, revision, err := r.clients[host].Events(context.Background(), m.View().Revision, time.Millisecond)
	if err != nil {
		assert.ErrorIs(t, err, coltsfootloft.ErrCompacted)
		r.list(t, host)
		return
	}
	r.pending = append(r.pending, func() { m.applyAll(events, revision) })
}

func (r *restoreModel) arrive(n int) {
	if len(r.pending) == 0 {
		return
	}
	n %= len(r.pending)
	answer := r.pending[n]
	r.pending = slices.Delete(r.pending, n, n+1)
	answer()
}

// check checks that settings do not go back, and that the horizon covers no version that is
// not in force.
func (r *restoreModel) check(t *rapid.T) {
	for host, m := range r.mirrors {
		s := m.View().Settings
		if s == nil {
			continue
		}
		assert.Assert(t, s.Version >= r.highest[host], "version %d after %d", s.Version, r.highest[host])
		r.highest[host] = s.Version
		age, ok := m.Horizon().Age(r.clock.now)
		for version, at := range r.confirmed {
			assert.Assert(t, !ok || version <= s.Version || at >= r.clock.now-age,
				"host %d: version %d, acknowledged at %s, is not in force, horizon %s", host, version, at, r.clock.now-age)
		}
	}
}

// TestRestoredStoreAtRandom guards against settings that go back, a horizon that covers settings
// which are not in force, and a view that never agrees with the store again, when the store is
// restored any number of times, its answers arrive late and hosts start anew.
func TestRestoredStoreAtRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &restoreModel{
			store:     startModelStore(rt),
			clock:     &manualClock{now: time.Hour},
			confirmed: make(map[uint64]time.Duration),
		}
		r.start(0)
		r.start(1)
		r.putSettings(true)
		r.backup = r.store.Backup()
		host := func(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "host") }
		rt.Repeat(map[string]func(*rapid.T){
			"settings": func(*rapid.T) { r.putSettings(true) },
			"again":    func(*rapid.T) { r.putSettings(false) },
			"host":     func(t *rapid.T) { r.putHost(t, rapid.IntRange(0, 3).Draw(t, "registered")) },
			"backup":   func(*rapid.T) { r.backup = r.store.Backup() },
			"restore": func(t *rapid.T) {
				r.restore(rapid.IntRange(0, 3).Draw(t, "others"), rapid.Bool().Draw(t, "late"))
			},
			"list":     func(t *rapid.T) { r.list(t, host(t)) },
			"watch":    func(t *rapid.T) { r.watch(t, host(t)) },
			"confirm":  func(t *rapid.T) { r.mirrors[host(t)].confirmOnce(context.Background()) },
			"exchange": func(t *rapid.T) { r.exchange(host(t)) },
			"restart":  func(t *rapid.T) { r.restart(host(t)) },
			"arrive":   func(t *rapid.T) { r.arrive(rapid.IntRange(0, 100).Draw(t, "answer")) },
			"": func(t *rapid.T) {
				r.clock.now += time.Millisecond
				r.check(t)
			},
		})
		r.putSettings(false)
		for len(r.pending) > 0 {
			r.arrive(0)
		}
		for host, m := range r.mirrors {
			r.watch(rt, host)
			r.arrive(0)
			assert.Equal(rt, m.View().Settings.Version, r.version)
			for n := range 4 {
				name := fmt.Sprintf("h%d", n)
				_, stored := r.store.Get("coltsfootloft/host/" + name)
				assert.Equal(rt, slices.Contains(m.View().HostNames(), name), stored, strings.Join(m.View().HostNames(), " "))
			}
		}
	})
}
