package seat

import (
	"time"

	"coltsfootloft"
)

// Done records that a step was applied, at this index of the store.
func (t *Table) Done(now time.Time, step Step, index uint64) {
	if step.kind == ChangeLayout {
		t.observed = false
		return
	}
	s := t.seat(step.seat)
	switch step.kind {
	case Take:
		s.state = locked
		s.taken = index
		s.version = index
		s.record = Record{
			host:   t.Host,
			run:    t.Run,
			settle: Settle,
		}
		s.from = now.Add(step.settle)
	case Relock:
		s.state = locked
	case Drain:
		s.state = draining
		return
	case ChangeLayout:
	}
	s.session = t.session
	s.lockVersion = index
	s.movedSince = time.Time{}
	t.cover()
}

// Draining returns the seats that are to be released once nothing of them is in
// use.
func (t *Table) Draining() []int {
	var r []int
	for n, s := range t.seats {
		if s.state == draining || s.state == releasing {
			r = append(r, n)
		}
	}
	return r
}

// Release returns the changes that hand a draining seat back. Settle is how long
// the last loan still lasts that was made from it; tokens are left to its next
// holder. After an unknown outcome it is to be called again: the changes stay the
// same until the outcome is known.
func (t *Table) Release(n int, settle time.Duration, tokens map[string]float64) []coltsfootloft.Change {
	s := t.seat(n)
	s.state = releasing
	r := Record{
		settle: settle,
		tokens: tokens,
	}
	return []coltsfootloft.Change{
		coltsfootloft.Put(t.key(n), encode(r), s.taken),
		coltsfootloft.Remove(t.lockKey(n), s.lockVersion),
	}
}

// Released records that a seat was handed back, or that another version of it was
// found.
func (t *Table) Released(now time.Time, n int) {
	s := t.seat(n)
	s.state = others
	s.session = ""
	s.freeSince = now
	t.observed = false
}

// Leave makes Decide drain all seats and take none.
func (t *Table) Leave() { t.leaving = true }
