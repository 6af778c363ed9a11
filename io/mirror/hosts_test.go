package mirror

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootloft"
	"coltsfootloft/platform"
)

// oddRegistrations are values under the key of a host that are no registrations.
var oddRegistrations = []string{
	"", "null", "{", "[]", "{}", `"x"`, "\x00\xff", `{"domain":7}`,
	`{"domain":"a","lease":"1.7"}`,
	`{"address":"here","domain":"a","lease":"1.7"}`,
	`{"address":"127.0.0.1","domain":"a","lease":"1.7"}`,
	`{"address":"127.0.0.1:99999","domain":"a","lease":"1.7"}`,
	`{"address":"127.0.0.1:1","lease":"1.7"}`,
	`{"address":"127.0.0.1:1","domain":"a"}`,
	`{"address":"127.0.0.1:1","domain":"a","lease":"1.8"}`,
	`{"address":"127.0.0.1:1","domain":"a","lease":"x"}`,
	`{"address":"127.0.0.1:1","domain":"a","lease":"1.7","size":-1}`,
	`{"address":"127.0.0.1:1","domain":"a","lease":"1.7","size":1e300}`,
}

// TestOddRegistrationsNameNoHost guards against an entry of another writer that is taken for a host.
func TestOddRegistrationsNameNoHost(t *testing.T) {
	for _, value := range oddRegistrations {
		m := newMirror(t)
		m.IsLease = platform.IsLease
		e := registered("x", 5)
		e.Created = 5
		e.Value = []byte(value)
		e.Lease = "7"
		m.applyAll([]coltsfootloft.Event{e}, 5)
		assert.DeepEqual(t, m.View().HostNames(), []string(nil))
		assert.Assert(t, m.View().Odd["x"].Known, value)
		e.Value = []byte(`{"address":"127.0.0.1:1","domain":"a","lease":"1.7"}`)
		e.Revision++
		m.applyAll([]coltsfootloft.Event{e}, 6)
		assert.DeepEqual(t, m.View().HostNames(), []string{"x"})
	}
}

// storedHost is what the model's store holds under the key of a host.
type storedHost struct {
	value             string
	lease             string
	revision, created uint64
}

// hostsModel is a store in which hosts register, lose their leases and register again, while
// another writer overwrites their keys, and a mirror that follows it.
type hostsModel struct {
	mirror  *Mirror
	clock   *manualClock
	old     bool // the mirror follows a host that does not tell leases and creations
	stored  map[string]storedHost
	events  []coltsfootloft.Event
	holders map[string]string // lease under which each host has rights
	leases  int
}

func (h *hostsModel) revision() uint64 {
	return coltsfootloft.RevisionAt(1, uint64(len(h.events)+1))
}

func (h *hostsModel) eventOf(name string, s storedHost, deleted bool) coltsfootloft.Event {
	e := registered(name, s.revision)
	e.Value = []byte(s.value)
	e.Deleted = deleted
	if !h.old && !deleted {
		e.Created = s.created
		e.Lease = s.lease
	}
	return e
}

func (h *hostsModel) put(name, value, lease string) {
	s := storedHost{
		value:    value,
		lease:    lease,
		revision: h.revision() + 1,
		created:  h.revision() + 1,
	}
	if before, ok := h.stored[name]; ok {
		s.created = before.created
	}
	h.stored[name] = s
	h.events = append(h.events, h.eventOf(name, s, false))
}

func (h *hostsModel) remove(name string) {
	if _, ok := h.stored[name]; ok {
		delete(h.stored, name)
		h.events = append(h.events, h.eventOf(name, storedHost{revision: h.revision() + 1}, true))
	}
}

// register lets a host give up its lease and register again.
func (h *hostsModel) register(name string) {
	delete(h.holders, name)
	h.remove(name)
	h.leases++
	number := fmt.Sprint(h.leases)
	h.put(name, fmt.Sprintf(`{"address":"127.0.0.1:1","domain":"a","lease":"1.%s"}`, number), number)
	h.holders[name] = "1." + number
}

// endLease ends the rights of a host, and its registration if that is still there.
func (h *hostsModel) endLease(name string) {
	lease, ok := h.holders[name]
	delete(h.holders, name)
	if ok && lease == "1."+h.stored[name].lease {
		h.remove(name)
	}
}

// clear lets another writer remove what is under the key of a host without rights.
func (h *hostsModel) clear(name string) {
	if _, alive := h.holders[name]; !alive {
		h.remove(name)
	}
}

// list gives the mirror a listing.
func (h *hostsModel) list() {
	var events []coltsfootloft.Event
	for name, s := range h.stored {
		events = append(events, h.eventOf(name, s, false))
	}
	h.mirror.replaceAll(events, h.revision())
}

// watch gives the mirror the next n events, or all.
func (h *hostsModel) watch(n int) {
	from := coltsfootloft.NumberOf(h.mirror.View().Revision)
	if from == 0 {
		h.list()
		return
	}
	next := slices.Clone(h.events[from-1:])
	next = next[:min(n, len(next))]
	h.mirror.applyAll(next, coltsfootloft.RevisionAt(1, from+uint64(len(next))))
}

func (h *hostsModel) start() {
	h.mirror = &Mirror{
		Clock:   h.clock,
		Log:     logr.Discard(),
		IsLease: platform.IsLease,
	}
	h.mirror.lazyInit()
	h.list()
}

// check checks that the view of the mirror shows each host with rights in one way or another.
func (h *hostsModel) check(t *rapid.T) {
	v := h.mirror.View()
	if v.Revision != h.revision() {
		return
	}
	for name, lease := range h.holders {
		_, displaced := v.Displaced[lease]
		odd, isOdd := v.Odd[name]
		assert.Assert(t, v.Hosts[name].Lease == lease || displaced || isOdd && !odd.Known,
			"host %s with lease %s: %+v, displaced %+v, odd %+v", name, lease, v.Hosts, v.Displaced, v.Odd)
	}
	for name, s := range h.stored {
		_, isOdd := v.Odd[name]
		assert.Equal(t, isOdd, s.value == "{}")
	}
}

// TestOverwrittenHostsAtRandom guards against a host with rights that no view shows, because another
// writer has overwritten its registration, at any point between watches, listings and restarts.
func TestOverwrittenHostsAtRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := &hostsModel{
			clock:   &manualClock{now: time.Hour},
			old:     rapid.Bool().Draw(rt, "old"),
			stored:  make(map[string]storedHost),
			holders: make(map[string]string),
		}
		h.start()
		name := func(t *rapid.T) string { return rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "name") }
		rt.Repeat(map[string]func(*rapid.T){
			"register":  func(t *rapid.T) { h.register(name(t)) },
			"end":       func(t *rapid.T) { h.endLease(name(t)) },
			"overwrite": func(t *rapid.T) { h.put(name(t), "{}", "") },
			"clear":     func(t *rapid.T) { h.clear(name(t)) },
			"watch":     func(t *rapid.T) { h.watch(rapid.IntRange(1, 9).Draw(t, "events")) },
			"list":      func(*rapid.T) { h.list() },
			"restart":   func(*rapid.T) { h.start() },
			"":          func(t *rapid.T) { h.check(t) },
		})
	})
}

// TestOverwrittenHostIsToldToFollowers guards against hosts that follow another one and can't tell
// what an entry has displaced.
func TestOverwrittenHostIsToldToFollowers(t *testing.T) {
	m := newMirror(t)
	m.IsLease = platform.IsLease
	m.RecentlyReached = func() bool { return true }
	m.watching.Store(true)
	e := registered("x", coltsfootloft.RevisionAt(1, 5))
	e.Created = coltsfootloft.RevisionAt(1, 4)
	e.Lease = "7"
	m.replaceAll([]coltsfootloft.Event{e}, e.Revision)
	c := m.awaitChanges(context.Background(), 0, 0)
	assert.Equal(t, len(c.GetItems()), 1)
	assert.Equal(t, c.GetItems()[0].GetCreated(), uint64(4))
	assert.Equal(t, c.GetItems()[0].GetLease(), "7")
}
