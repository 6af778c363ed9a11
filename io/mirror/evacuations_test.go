package mirror

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootloft"
	"coltsfootloft/core/evac"
	"coltsfootloft/platform"
)

const modelBound = 5 * time.Second

// evacuationModel is three hosts and a store whose operators evacuate domains at random. Answers arrive
// late and in any order.
type evacuationModel struct {
	restoreModel
	hosts   [3]*Mirror
	clients [3]*platform.Client
	began   map[string]time.Duration // when each evacuation that is in force was acknowledged
	told    [3]map[string]bool       // evacuations after whose beginning a call was sent that was answered
	runs    [3]int
	bad     map[string]bool // domains whose key can't be read
}

func (e *evacuationModel) start(host int) {
	c := &platform.Client{
		Store: e.store.Listener.Addr().String(),
		Dial:  (&net.Dialer{}).DialContext,
	}
	c.Start()
	e.clients[host] = c
	e.hosts[host] = &Mirror{
		Store:         c,
		Clock:         e.clock,
		Log:           logr.Discard(),
		LeaseTTL:      time.Minute,
		IsLease:       platform.IsLease,
		EvacuateBound: modelBound,
		Domains:       []string{"a", "b"},
	}
	e.hosts[host].lazyInit()
	e.told[host] = make(map[string]bool)
	e.runs[host]++
}

// answerOf defers the use of an answer to a call that is sent now.
func (e *evacuationModel) answerOf(host int, use func()) {
	run := e.runs[host]
	shown := maps.Clone(e.began) // by the answer
	maps.DeleteFunc(shown, func(domain string, _ time.Duration) bool { return e.bad[domain] })
	e.pending = append(e.pending, func() {
		if run != e.runs[host] {
			return
		}
		use()
		for domain, began := range shown {
			e.told[host][domain] = e.told[host][domain] || e.began[domain] == began
		}
	})
}

func (e *evacuationModel) confirm(t *rapid.T, host int) {
	m := e.hosts[host]
	v := m.View()
	if v.Settings == nil {
		return
	}
	sent := e.clock.now
	conditions := m.evacuationConditions(v)
	c, err := m.Store.Confirm(t.Context(), v.Settings.Revision, conditions)
	assert.NilError(t, err)
	e.answerOf(host, func() { m.noteConfirmation(sent, conditions, c) })
}

func (e *evacuationModel) list(t *rapid.T, host int) {
	m := e.hosts[host]
	sent := e.clock.now
	events, revision, err := m.Store.Snapshot(t.Context())
	assert.NilError(t, err)
	e.answerOf(host, func() { m.applyListing(sent, events, revision) })
}

// exchange lets a host report to another one, as to the keeper of rates.
func (e *evacuationModel) exchange(host, keeper int) {
	m, k := e.hosts[host], e.hosts[keeper]
	sent := e.clock.now
	k.observeEvacuations(0, m.Freshness())
	f := k.Freshness()
	run := e.runs[host]
	e.pending = append(e.pending, func() {
		if run == e.runs[host] {
			m.observeEvacuations(sent, f)
		}
	})
}

func (e *evacuationModel) write(domain string, kind int) {
	key := "op/evacuate/" + domain
	switch kind {
	case 0:
		e.store.Remove(key)
		delete(e.began, domain)
		for host := range e.told {
			delete(e.told[host], domain)
		}
	case 1:
		e.store.Put(key, json.RawMessage(`{"why":1}`))
		if _, ok := e.began[domain]; !ok {
			e.began[domain] = e.clock.now
		}
	case 2:
		e.store.Put(key, []byte("[]"))
	}
}

// check compares what the hosts know with what the operators have written.
func (e *evacuationModel) check(t *rapid.T) {
	for host, m := range e.hosts {
		v := m.View()
		for domain, began := range e.began {
			if e.told[host][domain] && e.clock.now-began >= modelBound-500*time.Millisecond {
				assert.Equal(t, v.Evacuations.State(domain, e.clock.now), evac.Closed, "host %d, domain %s, since %s", host, domain, began)
			}
		}
	}
}

// TestEvacuationsAreInEffectInTime guards against a host that has received an answer of the store since an evacuation
// was acknowledged and yet uses the domain after the bound, and against evacuations that stay after the
// operators have cancelled them, with answers that arrive in any order and keys that can't be read.
func TestEvacuationsAreInEffectInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &evacuationModel{
			began: make(map[string]time.Duration),
			bad:   make(map[string]bool),
		}
		e.clock = &manualClock{now: time.Hour}
		e.store = startModelStore(t)
		e.store.Put("op/config", map[string]any{"ConfigVersion": 1})
		for host := range e.hosts {
			e.start(host)
			assert.NilError(t, e.hosts[host].Refresh(t.Context()))
		}
		bad := e.bad
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			host := rapid.IntRange(0, 2).Draw(t, "host")
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0, 1:
				domain := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
				kind := rapid.IntRange(0, 2).Draw(t, "write")
				if bad[domain] && kind == 1 {
					kind = 0 // whether a host knew the evacuation before is not modelled
				}
				bad[domain] = kind == 2
				e.write(domain, kind)
			case 2:
				e.clock.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
			case 3, 4:
				e.confirm(t, host)
			case 5:
				e.list(t, host)
			case 6:
				e.exchange(host, (host+1)%3)
			case 7:
				if !bad["a"] && !bad["b"] {
					e.start(host)
					assert.NilError(t, e.hosts[host].Refresh(t.Context()))
				}
			default:
				if len(e.pending) > 0 {
					i := rapid.IntRange(0, len(e.pending)-1).Draw(t, "answer")
					use := e.pending[i]
					e.pending = append(e.pending[:i], e.pending[i+1:]...)
					use()
				}
			}
			e.check(t)
		}
		for _, began := range slices.Sorted(maps.Values(e.began)) {
			e.clock.now = max(e.clock.now, began+modelBound-500*time.Millisecond)
			e.check(t)
		}
		e.write("a", 0)
		e.write("b", 0)
		for host := range e.hosts {
			assert.NilError(t, e.hosts[host].Refresh(t.Context()))
			assert.Equal(t, len(e.hosts[host].EvacuatedDomains()), 0)
		}
	})
}

// TestEvacuationSurvivesRestore guards against an evacuation that a host forgets, or another one never
// knows of, because the store came back from a backup without the key.
func TestEvacuationSurvivesRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &evacuationModel{
			began: make(map[string]time.Duration),
			bad:   make(map[string]bool),
		}
		e.clock = &manualClock{now: time.Hour}
		e.store = startModelStore(t)
		e.store.Put("op/config", map[string]any{"ConfigVersion": 1})
		e.start(0)
		assert.NilError(t, e.hosts[0].Refresh(t.Context()))
		backup := e.store.Backup()
		e.write("a", 1)
		assert.NilError(t, e.hosts[0].Refresh(t.Context()))
		e.store.Restore(backup)
		for i := range rapid.IntRange(0, 5).Draw(t, "later") {
			e.store.Put(fmt.Sprintf("status/%d", i), i)
		}
		assert.NilError(t, e.hosts[0].Refresh(t.Context()))
		e.start(1)
		assert.NilError(t, e.hosts[1].Refresh(t.Context()))
		e.exchange(1, 0)
		e.pending[0]()
		e.clock.now += modelBound
		for host := range 2 {
			e.confirm(t, host)
			e.pending[len(e.pending)-1]()
			assert.Equal(t, e.hosts[host].View().Evacuations.State("a", e.clock.now), evac.Closed, "host %d", host)
		}
		e.write("a", 1)
		if rapid.Bool().Draw(t, "listed") {
			assert.NilError(t, e.hosts[0].Refresh(t.Context()))
		}
		e.write("a", 0)
		events, revision, err := e.clients[0].Events(t.Context(), coltsfootloft.RevisionAt(2, 2), time.Second)
		if err == nil {
			e.hosts[0].applyAll(events, revision)
		}
		assert.NilError(t, e.hosts[1].Refresh(t.Context()))
		e.exchange(1, 0)
		e.pending[len(e.pending)-1]()
		for host := range 2 {
			assert.Equal(t, e.hosts[host].View().Evacuations.State("a", e.clock.now), evac.None, "host %d", host)
		}
	})
}
