package seat

import (
	"time"

	"coltsfootloft"
)

// StepApplied records that a step was applied, at this index of the store.
func (t *Table) StepApplied(now time.Time, step Step, index uint64) {
	if step.kind == ChangeLayout {
		t.observed = false
		return
	}
	s := t.seat(step.seat)
	switch step.kind {
	case Take:
		t.took(now, s, step, index)
	case Relock:
		t.relocked(s, step, index)
	case Drain:
		if s.held() {
			s.state = draining
		}
	case ChangeLayout:
	}
	t.cover()
}

// took records a taking, unless a later one is known already.
func (t *Table) took(now time.Time, s *seat, step Step, index uint64) {
	if s.version > index {
		return
	}
	s.taken = index
	s.version = index
	s.record = Record{
		host:   t.Host,
		run:    t.Run,
		settle: Settle,
	}
	s.state = unlocked
	s.wait(now, step.settle)
	t.relocked(s, step, index)
}

// relocked records a lock, if the session that took it still lives.
func (t *Table) relocked(s *seat, step Step, index uint64) {
	if s.state != unlocked || step.session != t.session || step.taken(s) != s.taken {
		return
	}
	s.state = locked
	s.session = t.session
	s.lockVersion = index
	s.movedSince = time.Time{}
}

// taken is the taking that the step locks.
func (s Step) taken(of *seat) uint64 {
	if s.kind == Relock {
		return s.version
	}
	return of.taken
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
func (t *Table) Release(now time.Time, n int, settle time.Duration, tokens map[string]float64) []coltsfootloft.Change {
	s := t.seat(n)
	s.state = releasing
	if !s.usable {
		settle = max(settle, s.settle, s.from.Sub(now))
	}
	r := Record{
		settle: settle,
		tokens: tokens,
	}
	return []coltsfootloft.Change{
		coltsfootloft.Put(t.key(n), encode(r), s.taken),
		coltsfootloft.Remove(t.lockKey(n), s.lockVersion),
	}
}

// SeatReleased records that a seat was handed back, or that another version of it was
// found.
func (t *Table) SeatReleased(now time.Time, n int) {
	s := t.seat(n)
	s.state = others
	s.session = ""
	s.freeSince = now
	t.observed = false
}

// DrainAll makes Decide drain all seats and take none.
func (t *Table) DrainAll() { t.leaving = true }
