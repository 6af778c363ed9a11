package seat

import (
	"fmt"
	"slices"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootloft"
	_ "coltsfootloft/stand/seed"
)

var epoch = time.Unix(1_800_000_000, 0)

const prefix = "seats/d1/"

// model simulates the hosts of one failure domain and a store whose answers may be
// delayed or lost. Hosts pause for any time, and lose and regain the store.
type model struct {
	t        *rapid.T
	now      time.Time
	hosts    []*modelHost
	entries  map[string]coltsfootloft.Entry
	sessions map[string]time.Time
	index    uint64
	runs     int
	// endedLoans is until when loans made by ended runs may last, by seat.
	endedLoans map[int]time.Time
}

type modelHost struct {
	table          Table
	paused         bool
	storeReachable bool
	delayed        []func()
	// lentUntil is until when loans from each seat may last.
	lentUntil map[int]time.Time
}

func newModel(t *rapid.T) *model {
	m := &model{
		t:          t,
		now:        epoch,
		entries:    map[string]coltsfootloft.Entry{},
		sessions:   map[string]time.Time{},
		endedLoans: map[int]time.Time{},
	}
	for range rapid.IntRange(1, 4).Draw(t, "hosts") {
		h := &modelHost{storeReachable: true}
		m.hosts = append(m.hosts, h)
		m.reset(h, len(m.hosts))
	}
	return m
}

// reset starts a new run of a host's process.
func (m *model) reset(h *modelHost, n int) {
	m.runs++
	h.delayed = nil
	for n, end := range h.lentUntil {
		m.endedLoans[n] = later(m.endedLoans[n], end)
	}
	h.lentUntil = map[int]time.Time{}
	h.table = Table{
		Host:   fmt.Sprint("h", n),
		Run:    fmt.Sprint(m.runs),
		Domain: "d1",
		Prefix: prefix,
		Layout: Layout{
			Seats:   3,
			Domains: 1,
		},
	}
}

func (m *model) alive() []string {
	var r []string
	for _, h := range m.hosts {
		r = append(r, h.table.Host)
	}
	return r
}

func (m *model) expire() {
	for id, end := range m.sessions {
		if m.now.Before(end) {
			continue
		}
		delete(m.sessions, id)
		for k, e := range m.entries {
			if e.Session() == id {
				m.index++
				m.entries[k] = coltsfootloft.NewEntry(k, e.Value(), m.index, "")
			}
		}
	}
}

func (m *model) list() []coltsfootloft.Entry {
	var r []coltsfootloft.Entry
	for _, e := range m.entries {
		r = append(r, e)
	}
	sort.Slice(r, func(i, j int) bool { return r[i].Key() < r[j].Key() })
	return r
}

func (m *model) apply(changes []coltsfootloft.Change) bool {
	for _, c := range changes {
		e := m.entries[c.Key()]
		_, live := m.sessions[c.Session()]
		held := e.Session() != "" && e.Session() != c.Session()
		if e.Version() != c.Version() || (c.Session() != "" && (held || !live)) {
			return false
		}
	}
	m.index++
	for _, c := range changes {
		switch c.Kind() {
		case coltsfootloft.ChangePut:
			m.entries[c.Key()] = coltsfootloft.NewEntry(c.Key(), c.Value(), m.index, c.Session())
		case coltsfootloft.ChangeRemove:
			delete(m.entries, c.Key())
		case coltsfootloft.ChangeRequire:
		}
	}
	return true
}

// answer delivers an answer of the store at once, later, or never.
func (m *model) answer(h *modelHost, f func()) {
	switch rapid.IntRange(0, 15).Draw(m.t, "answer") {
	case 0:
	case 1, 2:
		h.delayed = append(h.delayed, f)
	default:
		f()
	}
}

func (m *model) step() {
	m.expire()
	n := rapid.IntRange(1, len(m.hosts)).Draw(m.t, "host")
	h := m.hosts[n-1]
	switch kind := rapid.IntRange(0, 39).Draw(m.t, "kind"); {
	case kind < 12:
		for range rapid.IntRange(1, 8).Draw(m.t, "ticks") {
			m.pass()
		}
	case kind == 12:
		h.paused = !h.paused
	case kind == 13:
		h.storeReachable = !h.storeReachable
	case kind == 14 && rapid.IntRange(0, 3).Draw(m.t, "replace") == 0:
		h.paused = false
		m.reset(h, n)
	case kind == 15:
		for _, o := range m.hosts {
			o.storeReachable = !o.storeReachable
		}
	case h.paused:
	case len(h.delayed) > 0:
		h.delayed[0]()
		h.delayed = h.delayed[1:]
	case !h.storeReachable:
	default:
		m.renew(h)
		h.table.Observe(m.now, m.list())
		m.decide(h)
	}
}

// pass advances the clock; hosts that are not paused tick and may ask for
// confirmation.
func (m *model) pass() {
	m.now = m.now.Add(time.Duration(rapid.IntRange(50, 200).Draw(m.t, "ms")) * time.Millisecond)
	m.expire()
	for _, h := range m.hosts {
		if h.paused {
			continue
		}
		h.table.Tick(m.now)
		if rapid.IntRange(0, 4).Draw(m.t, "confirms") == 0 {
			m.confirm(h)
		}
	}
	m.check()
}

func (m *model) renew(h *modelHost) {
	sent := m.now
	id := h.table.Session()
	if id == "" {
		m.index++
		id = fmt.Sprint("s", m.index)
		m.sessions[id] = m.now.Add(SessionTTL)
		m.answer(h, func() { h.table.SessionOpened(id, sent) })
		return
	}
	if _, ok := m.sessions[id]; !ok {
		m.answer(h, func() { h.table.SessionEnded(id) })
		return
	}
	m.sessions[id] = m.now.Add(SessionTTL)
	m.answer(h, func() { h.table.SessionRenewed(id, sent) })
}

func (m *model) decide(h *modelHost) {
	for _, n := range h.table.Draining() {
		changes := h.table.Release(m.now, n, max(h.lentUntil[n].Sub(m.now), 0), nil)
		m.apply(changes)
		m.answer(h, func() { h.table.SeatReleased(m.now, n) })
	}
	for _, s := range h.table.Decide(m.now, m.alive()) {
		if s.Kind() == Drain {
			h.table.StepApplied(m.now, s, 0)
			continue
		}
		if !m.apply(s.Changes()) {
			h.table.MarkStale()
			return
		}
		index := m.index
		h.table.MarkStale()
		m.answer(h, func() { h.table.StepApplied(m.now, s, index) })
	}
}

func (m *model) confirm(h *modelHost) {
	if !h.table.NeedsConfirm(m.now) {
		return
	}
	id := h.table.Session()
	for _, o := range m.hosts {
		if o == h || o.paused {
			continue
		}
		for n, v := range h.table.HeldVersions() {
			if o.table.HasNewerVersion(n, v) {
				h.table.SeatLost(n, v)
				return
			}
		}
		if !o.storeReachable {
			continue
		}
		if _, ok := m.sessions[id]; !ok {
			h.table.SessionEnded(id)
			return
		}
		m.sessions[id] = m.now.Add(SessionTTL)
		h.table.SessionRenewed(id, m.now)
		return
	}
	h.table.PeersConfirmed(m.now)
}

// check fails if a host uses a seat while another host uses it or a loan made from
// it by another host may still last.
func (m *model) check() (used int) {
	for _, h := range m.hosts {
		if h.paused {
			continue
		}
		numbers, until := h.table.Held(m.now)
		for _, n := range numbers {
			used++
			assert.Assert(m.t, m.now.Before(until))
			assert.Assert(m.t, !m.now.Before(m.endedLoans[n]), "seat %d is used by %s during a loan of an ended run", n, h.table.Host)
			for _, o := range m.hosts {
				assert.Assert(m.t, o == h || !m.now.Before(o.lentUntil[n]), "seat %d is used by %s and %s", n, h.table.Host, o.table.Host)
			}
			h.lentUntil[n] = later(h.lentUntil[n], until)
		}
	}
	return used
}

// TestOneHostUsesASeat guards against a seat in use by two hosts. After every step
// of a random schedule of pauses, restarts, store outages and lost answers, no
// running host may use a seat that another one uses or has lent from.
func TestOneHostUsesASeat(t *testing.T) {
	used := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(100, 900).Draw(t, "steps") {
			m.step()
			used += m.check()
		}
	})
	t.Logf("seats in use, summed over all steps: %d", used)
	assert.Assert(t, used > 20000)
}

func TestAssignIsEqualAndStable(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	before := Assign("d1", 5, hosts)
	load := map[string]int{}
	for n := 1; n <= 5; n++ {
		load[before[n]]++
	}
	assert.Equal(t, len(load), 5)
	after := Assign("d1", 5, slices.Delete(slices.Clone(hosts), 2, 3))
	moved := 0
	for n := 1; n <= 5; n++ {
		if before[n] != "c" && before[n] != after[n] {
			moved++
		}
	}
	assert.Assert(t, moved <= 2, "%d seats of others moved", moved)
	assert.Equal(t, len(Assign("d1", 5, []string{"a", "b"})), 5)
	assert.Equal(t, len(Assign("d1", 5, nil)), 0)
}
