package leader

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft"
)

// settleTime is the time, in steps, after which the model's stewards take an earlier promotion for settled. No
// promotion of the model takes longer.
const settleTime = 50

// model plays changes of a primary whose stewards are replaced at any step. Promotions take lengths that are
// drawn, databases crash and return, and stewards fail to reach them.
type model struct {
	t       *testing.T
	random  *rand.Rand
	now     int
	stored  Record // in the store
	terms   map[string]uint64
	primary string
	down    map[string]int // until when
	calls   []call
	opened  int

	// What a steward knows.
	record Record
	failed map[string]bool
	called map[string]int // when the last call for a database was made, at the latest
	cut    map[string]bool
	waits  int // until when the candidate is awaited
}

// call is a promotion that takes effect at a time.
type call struct {
	id string
	at int
}

var ids = []string{"a", "b", "c"}

func newModel(t *testing.T, seed uint64) *model {
	t.Helper()
	m := &model{
		t:       t,
		random:  rand.New(rand.NewPCG(seed, 0)),
		primary: "a",
		terms:   make(map[string]uint64),
		down:    make(map[string]int),
		stored: Record{
			Epoch:   1,
			Primary: "a",
			Term:    1,
		},
	}
	for _, id := range ids {
		m.terms[id] = 1
	}
	return m
}

// step passes one unit of time.
func (m *model) step() {
	m.now++
	var left []call
	for _, c := range m.calls {
		switch {
		case c.at > m.now:
			left = append(left, c)
		case m.down[c.id] <= m.now:
			m.promote(c.id)
		}
	}
	m.calls = left
	if m.random.IntN(40) == 0 {
		m.down[ids[m.random.IntN(len(ids))]] = m.now + m.random.IntN(2*settleTime)
	}
}

// promote has a database lead the next term. For the primary, it may change nothing.
func (m *model) promote(id string) {
	if m.primary == id && m.random.IntN(2) == 0 {
		return
	}
	if m.stored.IsOpen() && m.stored.Primary != id {
		m.t.Fatalf("%s takes the lead at %d, but the record is open for %s: %+v", id, m.now, m.stored.Primary, m.stored)
	}
	m.primary = id
	next := uint64(0)
	for _, term := range m.terms {
		next = max(next, term+1)
	}
	m.terms[id] = next
}

// take has a new steward go on from the record in the store.
func (m *model) take() {
	m.record = m.stored
	m.failed = make(map[string]bool)
	m.called = make(map[string]int)
	m.cut = make(map[string]bool)
	m.waits = 0
	for _, id := range ids {
		m.cut[id] = m.random.IntN(12) == 0
	}
	for _, id := range m.record.Pending {
		m.called[id] = m.now
	}
}

func (m *model) isSettled(id string) bool {
	called, ok := m.called[id]
	return ok && m.now-called >= settleTime
}

func (m *model) statuses() []Status {
	var all []Status
	for _, id := range ids {
		s := status(id, coltsfootloft.Replica, m.terms[id], uint64(m.random.IntN(3)))
		if m.primary == id || m.terms[id] > m.terms[m.primary] {
			s.Health.Role = coltsfootloft.Primary
		}
		s.Answered = m.down[id] <= m.now && !m.cut[id]
		all = append(all, s)
	}
	return all
}

// act does one step of the steward.
func (m *model) act() {
	all := m.statuses()
	if m.now < m.waits {
		if primary, ok := m.record.Leader(all); !ok || primary.ID != m.record.Candidate {
			return
		}
	}
	m.waits = 0
	switch s := m.record.Next(all, 0, m.failed, m.isSettled); s.Action {
	case Open:
		m.stored = m.record.Opened(s.Database)
		m.opened++
	case Order:
		m.order(s.Database.ID)
	case Wait:
		if _, ok := m.record.Leader(all); !ok {
			clear(m.failed)
		}
	}
}

func (m *model) order(id string) {
	before := m.record
	m.record = before.Ordered(id, false)
	m.stored = m.record
	if m.random.IntN(5) == 0 { // it ends before its call
		m.take()
		return
	}
	if m.down[id] > m.now {
		m.record = before
		m.failed[id] = true
		return
	}
	m.called[id] = m.now
	if m.primary != id {
		m.calls = append(m.calls, call{
			id: id,
			at: m.now + 1 + m.random.IntN(settleTime-1),
		})
	}
	m.waits = m.now + m.random.IntN(settleTime)
	m.failed[id] = m.cut[id] && m.random.IntN(2) == 0
	if m.random.IntN(3) == 0 { // it ends after its call
		m.take()
	}
}

// TestOnlyTheLastPromotionOpensTheRecord guards against a record that is open for a database while a promotion of
// another one can still take effect: stewards end before and after their calls, promotions overtake each other, and
// databases crash, return, or can't be reached.
func TestOnlyTheLastPromotionOpensTheRecord(t *testing.T) {
	const histories, changes, limit = 3000, 4, 20 * settleTime
	unfinished := 0
	for seed := range uint64(histories) {
		m := newModel(t, seed)
		for range changes {
			since := m.now
			for range m.random.IntN(2 * settleTime) {
				m.step()
			}
			m.stored = m.stored.Closed(m.now-since >= settleTime)
			m.take()
			end := m.now + limit
			for m.stored.Closing && m.now < end {
				m.step()
				m.act()
				if m.random.IntN(30) == 0 {
					m.take()
				}
			}
			if m.stored.Closing {
				unfinished++
				break
			}
		}
		for range 2 * settleTime {
			m.step()
		}
	}
	t.Logf("%d of %d changes not finished", unfinished, histories*changes)
	assert.Assert(t, unfinished < histories*changes/100, "%d changes not finished", unfinished)
}

// TestRefusedPromotionLeavesNoDoubt guards against a wait for a promotion that the platform has refused, in the
// common case of a replica that is lost together with the primary.
func TestRefusedPromotionLeavesNoDoubt(t *testing.T) {
	r := Record{Epoch: 1, Primary: "a", Term: 1}.Closed(true)
	all := []Status{{ID: "a"}, status("b", coltsfootloft.Replica, 1, 5), status("c", coltsfootloft.Replica, 1, 4)}
	never := func(string) bool { return false }
	s := r.Next(all, 0, nil, never)
	assert.Equal(t, s.Action, Order)
	assert.Equal(t, s.Database.ID, "b")
	s = r.Next(all, 0, map[string]bool{"b": true}, never)
	assert.Equal(t, s.Database.ID, "c")
	r = r.Ordered("c", false)
	all[2] = status("c", coltsfootloft.Primary, 2, 4)
	s = r.Next(all, 0, map[string]bool{"b": true}, never)
	assert.Equal(t, s.Action, Open)
	next := r.Opened(s.Database)
	assert.DeepEqual(t, next, Record{Epoch: 2, Primary: "c", Term: 2, Start: 4})
}

// TestRecordOfAnEarlierVersionKeepsItsCandidate guards against a promotion that an earlier version of the program
// has ordered, which counts no calls.
func TestRecordOfAnEarlierVersionKeepsItsCandidate(t *testing.T) {
	r := Record{Epoch: 1, Primary: "a", Term: 1, Closing: true, Candidate: "b"}
	all := []Status{{ID: "a"}, status("b", coltsfootloft.Replica, 1, 4), status("c", coltsfootloft.Replica, 1, 5)}
	s := r.Next(all, 0, nil, func(string) bool { return true })
	assert.Equal(t, s.Action, Order)
	assert.Equal(t, s.Database.ID, "b")
	assert.Equal(t, r.Ordered("c", false).Calls, uint64(2))
	assert.DeepEqual(t, r.Ordered("c", false).Pending, []string{"b", "c"})
}
