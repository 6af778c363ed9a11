package quorum

import (
	"maps"
	"slices"

	"coltsfootloft"
)

// termsKept bounds the terms that a Ledger remembers counts of. Writes of older
// ones are reported as lost, which means unknown and is always safe.
const termsKept = 4

// Ledger remembers, for each term, how far each database of a group was ever seen
// to hold the log for good. It isn't safe for concurrent use.
type Ledger struct {
	size   Size
	counts map[coltsfootloft.Term]map[string]uint64
	fences map[string]coltsfootloft.Term
}

// NewLedger returns an empty ledger of a group.
func NewLedger(size Size) *Ledger {
	return &Ledger{
		size:   size,
		counts: make(map[coltsfootloft.Term]map[string]uint64, termsKept),
		fences: make(map[string]coltsfootloft.Term, size),
	}
}

// Note takes in a reading of the named database. Readings may come in any order.
func (l *Ledger) Note(database string, r coltsfootloft.Reading) {
	if r.Fence().Compare(l.fences[database]) > 0 {
		l.fences[database] = r.Fence()
	}
	if r.Fence() != r.Received().Term() {
		return
	}
	m := l.counts[r.Fence()]
	if m == nil {
		m = make(map[string]uint64, l.size)
		l.counts[r.Fence()] = m
		l.forget()
	}
	m[database] = max(m[database], r.Received().Offset())
}

// HeldByMajority reports whether a majority has been seen to hold the record at p for good.
func (l *Ledger) HeldByMajority(p coltsfootloft.Position) bool {
	return l.counted(p) >= l.size.Majority()
}

// Undecidable reports that no further reading can show p as held, because too many
// databases are fenced by a later term. The write may still have survived.
func (l *Ledger) Undecidable(p coltsfootloft.Position) bool {
	open := int(l.size)
	for n, f := range l.fences {
		if f.Compare(p.Term()) > 0 && !l.holds(n, p) {
			open--
		}
	}
	return open < l.size.Majority()
}

// Frontier returns the greatest offset of the term that a majority is known to
// hold, 0 if none.
func (l *Ledger) Frontier(term coltsfootloft.Term) uint64 {
	m := l.counts[term]
	if len(m) < l.size.Majority() {
		return 0
	}
	offsets := slices.Sorted(maps.Values(m))
	return offsets[len(offsets)-l.size.Majority()]
}

func (l *Ledger) counted(p coltsfootloft.Position) int {
	n := 0
	for d := range l.counts[p.Term()] {
		if l.holds(d, p) {
			n++
		}
	}
	return n
}

func (l *Ledger) holds(database string, p coltsfootloft.Position) bool {
	o, ok := l.counts[p.Term()][database]
	return ok && o >= p.Offset()
}

func (l *Ledger) forget() {
	if len(l.counts) <= termsKept {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(l.counts)), coltsfootloft.Term.Compare)
	delete(l.counts, oldest)
}
