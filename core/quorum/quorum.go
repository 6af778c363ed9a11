// Package quorum decides, from the readings of the databases of a group, which
// log records a majority of them holds.
//
// # What counts
//
// A database counts towards the acknowledgement of a write only if one reading
// shows that both its fence term and its log term are the term of the write. Such
// a reading stays valid: until a higher fence term is raised on the database its
// log only grows, and the proposer that raises one reads the position afterwards.
// Counts of one write may therefore come from readings taken at different times;
// a [Ledger] accumulates them.
//
// # Why any majority is enough
//
// A promotion fences a majority, reads the positions after that and takes the
// greatest. A barrier reads a majority too. Any two majorities have a database in
// common, so both include a database of every majority that acknowledged a write.
package quorum

import (
	"coltsfootloft"
)

// Size is the number of databases in a group, reachable or not.
type Size int

// Majority returns the smallest number of databases such that any two sets of
// that size have one in common.
func (s Size) Majority() int { return int(s)/2 + 1 }

// HeldByMajority reports whether the readings show that a majority holds the record at p
// durably, so that the write may be acknowledged.
func (s Size) HeldByMajority(readings map[string]coltsfootloft.Reading, p coltsfootloft.Position) bool {
	n := 0
	for _, r := range readings {
		if r.Acknowledges(p) {
			n++
		}
	}
	return n >= s.Majority()
}

// Barrier returns the greatest received position among the readings. It covers
// every write acknowledged before the first of the readings was taken; ok is
// false if there are fewer readings than a majority. Readings of databases that
// have lost their state, see [HasState], do not count.
func (s Size) Barrier(readings map[string]coltsfootloft.Reading) (p coltsfootloft.Position, ok bool) {
	n := 0
	for _, r := range readings {
		if !HasState(r) {
			continue
		}
		n++
		if !p.Covers(r.Received()) {
			p = r.Received()
		}
	}
	return p, n >= s.Majority()
}

// HasState reports whether the database still has the state of its group. A database
// that has lost its state reports no fence term, and its readings do not show
// what it acknowledged before.
func HasState(r coltsfootloft.Reading) bool { return !r.Fence().IsZero() }

// Primary returns the name and term of the primary that takes writes: the one
// with the highest term that is not fenced itself and that a majority may still
// follow. The result can be out of date at any moment, so use it only to choose
// where to send a request; HeldByMajority decides about acknowledgement.
func (s Size) Primary(readings map[string]coltsfootloft.Reading) (name string, term coltsfootloft.Term, ok bool) {
	for n, r := range readings {
		if !IsActivePrimary(r) {
			continue
		}
		if !ok || r.Fence().Compare(term) > 0 {
			name, term, ok = n, r.Fence(), true
		}
	}
	if !ok || int(s)-countFencedAbove(readings, term) < s.Majority() {
		return "", coltsfootloft.Term{}, false
	}
	return name, term, true
}

// MajorityOffset returns the greatest offset of the term that, by the readings, a
// majority holds; 0 if there is none.
func (s Size) MajorityOffset(readings map[string]coltsfootloft.Reading, term coltsfootloft.Term) uint64 {
	l := NewLedger(s)
	for n, r := range readings {
		l.Note(n, r)
	}
	return l.MajorityOffset(term)
}

// IsActivePrimary reports whether the reading is of a primary in its own term that no
// higher term has fenced.
func IsActivePrimary(r coltsfootloft.Reading) bool {
	return r.Role() == coltsfootloft.Primary && r.Fence() == r.Received().Term() && !r.Fence().IsZero()
}

// countFencedAbove returns the number of readings whose fence term is higher than
// term.
func countFencedAbove(readings map[string]coltsfootloft.Reading, term coltsfootloft.Term) int {
	n := 0
	for _, r := range readings {
		if r.Fence().Compare(term) > 0 {
			n++
		}
	}
	return n
}
