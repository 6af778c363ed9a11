package mirror

import (
	"context"
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

// restoreModel is a mirror of a store that is restored at random, whose answers arrive late
// and in any order.
type restoreModel struct {
	store     *keyval.Server
	client    *platform.Client
	mirror    *Mirror
	clock     *manualClock
	backup    keyval.Backup
	version   uint64
	confirmed map[uint64]time.Duration // when each version was acknowledged
	pending   []func()                 // answers that have not arrived yet
	highest   uint64                   // the highest version that was in force
}

func startModelStore(t *testing.T) (*keyval.Server, *platform.Client) {
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
	c := &platform.Client{
		Store: l.Addr().String(),
		Dial:  (&net.Dialer{}).DialContext,
	}
	c.Start()
	return s, c
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

func (r *restoreModel) putHost(n int) {
	key := fmt.Sprintf("coltsfootloft/host/h%d", n)
	if _, ok := r.store.Get(key); ok {
		r.store.Remove(key)
		return
	}
	r.store.Put(key, map[string]any{"domain": "a"})
}

// restore returns the store to the backup. The operator writes the settings again before
// it answers, at another revision than before.
func (r *restoreModel) restore(others int) {
	r.store.Restore(r.backup)
	for n := range others {
		r.store.Put(fmt.Sprintf("other/%d", n), []byte("x"))
	}
	r.putSettings(false)
}

func (r *restoreModel) list(t *rapid.T) {
	sent := r.clock.now
	events, revision, err := r.client.Snapshot(context.Background())
	assert.NilError(t, err)
	r.pending = append(r.pending, func() {
		r.mirror.applyListing(sent, events, revision)
	})
}

func (r *restoreModel) watch(t *rapid.T) {
	events, revision, err := r.client.Events(context.Background(), r.mirror.View().Revision, time.Millisecond)
	if err != nil {
		assert.ErrorIs(t, err, coltsfootloft.ErrCompacted)
		r.list(t)
		return
	}
	r.pending = append(r.pending, func() { r.mirror.applyAll(events, revision) })
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
	s := r.mirror.View().Settings
	if s == nil {
		return
	}
	assert.Assert(t, s.Version >= r.highest, "version %d after %d", s.Version, r.highest)
	r.highest = s.Version
	age, ok := r.mirror.Horizon().Age(r.clock.now)
	if !ok {
		return
	}
	for version, at := range r.confirmed {
		assert.Assert(t, version <= s.Version || at >= r.clock.now-age,
			"version %d, acknowledged at %s, is not in force, horizon %s", version, at, r.clock.now-age)
	}
}

// TestRestoredStoreAtRandom guards against settings that go back, a horizon that covers settings
// which are not in force, and a view that never agrees with the store again, when the store is
// restored any number of times and its answers arrive late.
func TestRestoredStoreAtRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := &restoreModel{
			clock:     &manualClock{now: time.Hour},
			confirmed: make(map[uint64]time.Duration),
		}
		r.store, r.client = startModelStore(t)
		r.mirror = &Mirror{
			Store: r.client,
			Clock: r.clock,
			Log:   logr.Discard(),
		}
		r.mirror.lazyInit()
		r.putSettings(true)
		r.backup = r.store.Backup()
		rt.Repeat(map[string]func(*rapid.T){
			"settings": func(*rapid.T) { r.putSettings(true) },
			"host":     func(t *rapid.T) { r.putHost(rapid.IntRange(0, 3).Draw(t, "host")) },
			"backup":   func(*rapid.T) { r.backup = r.store.Backup() },
			"restore":  func(t *rapid.T) { r.restore(rapid.IntRange(0, 3).Draw(t, "others")) },
			"list":     r.list,
			"watch":    r.watch,
			"confirm":  func(*rapid.T) { r.mirror.confirmOnce(context.Background()) },
			"arrive":   func(t *rapid.T) { r.arrive(rapid.IntRange(0, 100).Draw(t, "answer")) },
			"": func(t *rapid.T) {
				r.clock.now += time.Millisecond
				r.check(t)
			},
		})
		for len(r.pending) > 0 {
			r.arrive(0)
		}
		r.watch(rt)
		r.arrive(0)
		assert.Equal(rt, r.mirror.View().Settings.Version, r.version)
		for n := range 4 {
			name := fmt.Sprintf("h%d", n)
			_, stored := r.store.Get("coltsfootloft/host/" + name)
			assert.Equal(rt, slices.Contains(r.mirror.View().HostNames(), name), stored, strings.Join(r.mirror.View().HostNames(), " "))
		}
	})
}
