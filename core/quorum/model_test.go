package quorum

import (
	"math/rand/v2"

	"coltsfootloft"
)

// model is a random history of one group. Commits, replication of single records,
// proposers that fence, promote and rebuild, hosts that acknowledge by a rule,
// and barriers are interleaved at random. Terms are numbers, unique to a
// proposal.
type model struct {
	random    *rand.Rand
	size      Size
	rule      func(coltsfootloft.Reading, coltsfootloft.Position) bool
	ledger    *Ledger
	databases []node
	writes    []write
	acked     []int
	proposals []proposal
	barrier   round
	highest   int
	current   int
	lost      int
	uncovered int
	stale     int
	steps     int
}

type entry struct {
	term  int
	write int
}

type node struct {
	primary bool
	fence   int
	term    int
	source  int
	synced  int
	log     []entry
}

type write struct {
	position coltsfootloft.Position
	counted  uint
	acked    bool
}

type proposal struct {
	term     int
	read     map[int]coltsfootloft.Position
	promoted int
}

type round struct {
	acked int
	need  int
	read  map[int]coltsfootloft.Reading
}

var terms = func() []coltsfootloft.Term {
	t := make([]coltsfootloft.Term, 512)
	for i := 1; i < len(t); i++ {
		t[i] = coltsfootloft.NewTerm(uint64(i), "p")
	}
	return t
}()

func newModel(seed uint64, size Size, rule func(coltsfootloft.Reading, coltsfootloft.Position) bool) *model {
	m := &model{
		random:    rand.New(rand.NewPCG(seed, 20261204)),
		size:      size,
		rule:      rule,
		ledger:    NewLedger(size),
		databases: make([]node, size),
		current:   -1,
		barrier: round{
			need: size.Majority(),
		},
	}
	for i := range m.databases {
		m.databases[i].source = -1
	}
	return m
}

func (m *model) run(steps int) {
	for range steps {
		m.steps++
		m.step()
	}
	m.check()
}

func (m *model) step() {
	i := m.random.IntN(len(m.databases))
	switch k := m.random.IntN(100); {
	case k < 12:
		m.commit(i)
	case k < 36:
		m.receive(i)
	case k < 56:
		m.observe(i)
	case k < 62:
		m.readBarrier(i)
	case k < 64:
		m.propose()
	case k < 80:
		m.fence(i)
	case k < 90:
		m.promote()
	default:
		m.follow(i)
	}
}

func (m *model) position(log []entry) coltsfootloft.Position {
	if len(log) == 0 {
		return coltsfootloft.Position{}
	}
	return coltsfootloft.NewPosition(terms[log[len(log)-1].term], uint64(len(log)))
}

func (m *model) reading(i int) coltsfootloft.Reading {
	d := &m.databases[i]
	role := coltsfootloft.Replica
	if d.primary {
		role = coltsfootloft.Primary
	}
	p := m.position(d.log)
	return coltsfootloft.NewReading(role, terms[d.fence], p, p)
}

func (m *model) commit(i int) {
	d := &m.databases[i]
	if !d.primary || d.term != d.fence {
		return
	}
	m.writes = append(m.writes, write{})
	d.log = append(d.log, entry{
		term:  d.term,
		write: len(m.writes),
	})
	m.writes[len(m.writes)-1].position = m.position(d.log)
}

func (m *model) receive(i int) {
	d := &m.databases[i]
	if d.primary || d.source < 0 {
		return
	}
	s := &m.databases[d.source]
	if !s.primary || s.term != d.fence {
		return
	}
	if d.synced != s.term {
		n := 0
		for n < len(d.log) && n < len(s.log) && d.log[n] == s.log[n] {
			n++
		}
		d.log = append([]entry(nil), d.log[:n]...)
		d.synced = s.term
		return
	}
	if len(d.log) < len(s.log) {
		d.log = append(d.log, s.log[len(d.log)])
	}
}

// observe passes a reading to the host that acknowledges writes.
func (m *model) observe(i int) {
	r := m.reading(i)
	m.ledger.Note(name(i), r)
	for k := range m.writes {
		w := &m.writes[k]
		if w.acked {
			continue
		}
		if m.rule != nil && m.rule(r, w.position) {
			w.counted |= 1 << i
		}
		if m.held(w) {
			w.acked = true
			m.acked = append(m.acked, k)
		}
	}
}

func (m *model) held(w *write) bool {
	if m.rule == nil {
		return m.ledger.HeldByMajority(w.position)
	}
	n := 0
	for i := range m.databases {
		n += int(w.counted >> i & 1)
	}
	return n >= m.size.Majority()
}

func (m *model) propose() {
	m.highest++
	m.proposals = append(m.proposals, proposal{
		term:     m.highest,
		read:     make(map[int]coltsfootloft.Position, m.size),
		promoted: -1,
	})
	if len(m.proposals) > 2 {
		m.proposals = m.proposals[1:]
	}
}

func (m *model) fence(i int) {
	p := m.anyProposal()
	d := &m.databases[i]
	if p == nil || p.promoted >= 0 || d.fence > p.term {
		return
	}
	d.fence = p.term
	p.read[i] = m.position(d.log)
}

func (m *model) promote() {
	p := m.anyProposal()
	if p == nil || p.promoted >= 0 || len(p.read) < m.size.Majority() {
		return
	}
	best := -1
	for i := range m.databases {
		q, ok := p.read[i]
		if ok && (best < 0 || q.Compare(p.read[best]) > 0) {
			best = i
		}
	}
	d := &m.databases[best]
	if d.fence > p.term {
		return
	}
	p.promoted = best
	d.primary = true
	d.term = p.term
	d.log = append(d.log, entry{
		term: p.term,
	})
	if m.current < 0 || p.term > m.databases[m.current].term {
		m.current = best
	}
}

func (m *model) follow(i int) {
	p := m.anyProposal()
	d := &m.databases[i]
	if p == nil || p.promoted < 0 || p.promoted == i || d.fence > p.term {
		return
	}
	d.fence = p.term
	d.primary = false
	d.source = p.promoted
	d.synced = 0
}

func (m *model) anyProposal() *proposal {
	if len(m.proposals) == 0 {
		return nil
	}
	return &m.proposals[m.random.IntN(len(m.proposals))]
}

// readBarrier adds one reading to the barrier in progress. The barrier completes
// with the last reading that it needs.
func (m *model) readBarrier(i int) {
	b := &m.barrier
	if b.read == nil {
		b.read = make(map[int]coltsfootloft.Reading, m.size)
		b.acked = len(m.acked)
	}
	b.read[i] = m.reading(i)
	if len(b.read) < b.need {
		return
	}
	named := make(map[string]coltsfootloft.Reading, m.size)
	for k, r := range b.read {
		named[name(k)] = r
	}
	p, _ := m.size.Barrier(named)
	for _, k := range m.acked[:b.acked] {
		if !p.Covers(m.writes[k].position) {
			m.uncovered++
			break
		}
	}
	b.read = nil
}

// check counts acknowledged writes that the latest primary does not have, and
// logs whose position satisfies the token of a write although they lack the
// write.
func (m *model) check() {
	for _, k := range m.acked {
		if !holds(m.databases[m.current].log, k+1) {
			m.lost++
		}
		for i := range m.databases {
			if m.satisfiedWithout(i, k) {
				m.stale++
			}
		}
	}
}

// satisfiedWithout reports whether some prefix of the log covers the position of
// write k without containing the write, so that a read with the token of the
// write would miss it.
func (m *model) satisfiedWithout(i, k int) bool {
	log := m.databases[i].log
	for n := range log {
		prefix := log[:n+1]
		if m.position(prefix).Covers(m.writes[k].position) && !holds(prefix, k+1) {
			return true
		}
	}
	return false
}

func holds(log []entry, write int) bool {
	for _, e := range log {
		if e.write == write {
			return true
		}
	}
	return false
}

func name(i int) string { return string(rune('a' + i)) }
