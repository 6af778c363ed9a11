// Package quorum decides from the readings of a database group's members what a
// majority of them holds.
//
// # What counts
//
// A database counts towards an acknowledgement of a write only if one reading
// shows that its fence term and its log term are both the term of the write. Such
// a reading stays true: until a higher fence term is raised on the database its
// log only grows, and whoever raises one reads its position afterwards. Counts of
// one write may therefore come from readings taken at different times, which is
// what a [Ledger] keeps.
//
// # Why any majority will do
//
// A promotion fences a majority, reads positions after that and takes the
// greatest. A barrier reads a majority too. Both share a database with every
// majority that an acknowledgement came from.
package quorum

import (
	"coltsfootloft"
)

// Size is the number of databases in a group, whether they can be reached or not.
type Size int

// Majority is the smallest number of databases that any two sets of it share one
// of.
func (s Size) Majority() int { return int(s)/2 + 1 }

// HeldByMajority reports whether the readings show that a majority holds the record at p
// for good.
func (s Size) HeldByMajority(readings map[string]coltsfootloft.Reading, p coltsfootloft.Position) bool {
	n := 0
	for _, r := range readings {
		if r.Counts(p) {
			n++
		}
	}
	return n >= s.Majority()
}

// Barrier returns the greatest position that the readings show as received. It
// covers every write acknowledged before the first of the readings was taken; ok
// is false if there are fewer than a majority. Readings that aren't [HasState] don't
// count.
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

// HasState reports whether the database has state of its group. One that has lost its
// state reports no fence term; what it acknowledged before can't be read from it.
func HasState(r coltsfootloft.Reading) bool { return !r.Fence().IsZero() }

// Primary returns the name and term of the primary that takes writes: the one of
// the highest term, if it isn't fenced itself and a majority may still follow it.
// Knowledge of this kind can be out of date at any moment, so it only tells where
// to try; Held decides.
func (s Size) Primary(readings map[string]coltsfootloft.Reading) (name string, term coltsfootloft.Term, ok bool) {
	for n, r := range readings {
		if !Reigns(r) {
			continue
		}
		if !ok || r.Fence().Compare(term) > 0 {
			name, term, ok = n, r.Fence(), true
		}
	}
	if !ok || int(s)-above(readings, term) < s.Majority() {
		return "", coltsfootloft.Term{}, false
	}
	return name, term, true
}

// Frontier returns the greatest offset of the term that the readings show a
// majority to hold, 0 if none.
func (s Size) Frontier(readings map[string]coltsfootloft.Reading, term coltsfootloft.Term) uint64 {
	l := NewLedger(s)
	for n, r := range readings {
		l.Note(n, r)
	}
	return l.Frontier(term)
}

// Reigns reports whether the reading is of a primary in its own term, not fenced
// by a higher one.
func Reigns(r coltsfootloft.Reading) bool {
	return r.Role() == coltsfootloft.Primary && r.Fence() == r.Received().Term() && !r.Fence().IsZero()
}

// above counts the readings whose fence term is higher than term.
func above(readings map[string]coltsfootloft.Reading, term coltsfootloft.Term) int {
	n := 0
	for _, r := range readings {
		if r.Fence().Compare(term) > 0 {
			n++
		}
	}
	return n
}
