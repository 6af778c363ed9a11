package quorum

import (
	"maps"
	"slices"

	"coltsfootloft"
)

// maxTerms bounds the terms for which a Ledger stores counts. Writes of older
// terms are reported as lost, that is with an unknown outcome, which is always
// safe.
const maxTerms = 4

// Ledger records, for each term, the greatest offset up to which each database of
// a group has been observed to hold the log durably. It is not safe for
// concurrent use.
type Ledger struct {
	size   Size
	counts map[coltsfootloft.Term]map[string]uint64
	fences map[string]coltsfootloft.Term
}

// NewLedger returns an empty ledger for a group of the given size.
func NewLedger(size Size) *Ledger {
	return &Ledger{
		size:   size,
		counts: make(map[coltsfootloft.Term]map[string]uint64, maxTerms),
		fences: make(map[string]coltsfootloft.Term, size),
	}
}

// Note records a reading of the named database. Readings may be noted in any
// order.
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
		l.evictOldestTerm()
	}
	m[database] = max(m[database], r.Received().Offset())
}

// HeldByMajority reports whether a majority has been observed to hold the record at p
// durably.
func (l *Ledger) HeldByMajority(p coltsfootloft.Position) bool {
	return l.countHolders(p) >= l.size.Majority()
}

// Undecidable reports whether no further reading can make HeldByMajority true for p, because too
// many databases are fenced by a later term. The write may still have survived:
// its outcome is unknown.
func (l *Ledger) Undecidable(p coltsfootloft.Position) bool {
	possible := int(l.size)
	for n, f := range l.fences {
		if f.Compare(p.Term()) > 0 && !l.holds(n, p) {
			possible--
		}
	}
	return possible < l.size.Majority()
}

// MajorityOffset returns the greatest offset of the term that a majority is known to
// hold, 0 if there is none.
func (l *Ledger) MajorityOffset(term coltsfootloft.Term) uint64 {
	m := l.counts[term]
	if len(m) < l.size.Majority() {
		return 0
	}
	offsets := slices.Sorted(maps.Values(m))
	return offsets[len(offsets)-l.size.Majority()]
}

func (l *Ledger) countHolders(p coltsfootloft.Position) int {
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

func (l *Ledger) evictOldestTerm() {
	if len(l.counts) <= maxTerms {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(l.counts)), coltsfootloft.Term.Compare)
	delete(l.counts, oldest)
}
