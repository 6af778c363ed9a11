package seat

import (
	"time"

	"coltsfootloft"
)

// StepApplied records that the store has applied a step, at this index. For a Drain, which
// changes nothing in the store, the index is ignored.
func (t *Table) StepApplied(now time.Time, step Step, index uint64) {
	if step.kind == ChangeLayout {
		t.observed = false
		return
	}
	s := t.seat(step.seat)
	switch step.kind {
	case Take:
		t.recordTake(now, s, step, index)
	case Relock:
		t.recordLock(s, step, index)
	case Drain:
		if s.held() {
			s.state = draining
		}
	case ChangeLayout:
	}
	t.recordCoverage()
}

// recordTake records that this host has taken a seat, unless a later acquisition is
// already known.
func (t *Table) recordTake(now time.Time, s *seat, step Step, index uint64) {
	if s.version > index {
		return
	}
	s.acquired = index
	s.version = index
	s.known = true
	s.record = Record{
		host:         t.Host,
		run:          t.Run,
		takeoverWait: TakeoverWait,
	}
	s.state = unlocked
	s.startWait(now, step.takeoverWait)
	t.recordLock(s, step, index)
}

// recordLock records that this host has locked a seat, if the session that owns the
// lock is still current.
func (t *Table) recordLock(s *seat, step Step, index uint64) {
	if s.state != unlocked || step.session != t.session || step.acquisition(s) != s.acquired {
		return
	}
	s.state = locked
	s.session = t.session
	s.lockVersion = index
	s.reassignedSince = time.Time{}
}

// acquisition returns the version of the acquisition that the step locks.
func (s Step) acquisition(target *seat) uint64 {
	if s.kind == Relock {
		return s.version
	}
	return target.acquired
}

// Draining returns the seats to release once no part of their limits is in use.
func (t *Table) Draining() []int {
	var r []int
	for n, s := range t.seats {
		if s.state == draining || s.state == releasing {
			r = append(r, n)
		}
	}
	return r
}

// Release returns the changes that hand a draining seat back. TakeoverWait is how
// long the last loan made from it still lasts; tokens are left to its next holder,
// by client account. Call it again after an unknown outcome: the versions that the
// changes require stay the same until [Table.SeatReleased] is called.
func (t *Table) Release(now time.Time, n int, takeoverWait time.Duration, tokens map[string]float64) []coltsfootloft.Change {
	s := t.seat(n)
	s.state = releasing
	if !s.usable {
		takeoverWait = max(takeoverWait, s.takeoverWait, s.usableFrom.Sub(now))
	}
	r := Record{
		takeoverWait: takeoverWait,
		tokens:       tokens,
	}
	return []coltsfootloft.Change{
		coltsfootloft.Put(t.key(n), encode(r), s.acquired),
		coltsfootloft.Remove(t.lockKey(n), s.lockVersion),
	}
}

// SeatReleased records that a seat was handed back, or that the release found a newer
// version of it in the store.
func (t *Table) SeatReleased(now time.Time, n int) {
	s := t.seat(n)
	s.state = notHeld
	s.session = ""
	s.freeSince = now
	t.observed = false
}

// DrainAll makes Decide drain all seats and take no more, before the host shuts down.
func (t *Table) DrainAll() { t.leaving = true }
