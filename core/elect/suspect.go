package elect

import (
	"time"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
)

const (
	// rankDelay separates the hosts that may propose. It is above the time from a
	// suspicion to the fencing that the next host sees, so that duels are rare.
	rankDelay = 300 * time.Millisecond
	// firstCooling is waited after a failed election; it doubles up to
	// longestCooling while the need lasts.
	firstCooling   = 200 * time.Millisecond
	longestCooling = 5 * time.Second
	// holdPeriod is waited while another host vouches for the primary.
	holdPeriod = 100 * time.Millisecond
)

// delays is how long a need must last before the first host in rank acts. The
// needs that are seen while another host's election runs get time for it to end.
var delays = map[NeedKind]time.Duration{
	SilentPrimary:  0,
	StalledPrimary: 0,
	LeavingPrimary: 0,
	NoPrimary:      300 * time.Millisecond,
	Outrun:         600 * time.Millisecond,
	Astray:         100 * time.Millisecond,
}

// Suspicion remembers how long a need has lasted. The zero value is ready.
type Suspicion struct {
	need    Need
	since   time.Time
	cooling time.Duration
	until   time.Time
}

// Due reports whether a host of this rank, 0 being the first, should act on the
// need now.
func (s *Suspicion) Due(now time.Time, need Need, rank int) bool {
	if !need.same(s.need) {
		s.need = need
		s.since = now
		s.until = time.Time{}
		if need.kind == Nothing {
			s.cooling = 0
		}
	}
	delay, act := delays[need.kind]
	if !act || now.Before(s.until) {
		return false
	}
	return now.Sub(s.since) >= delay+time.Duration(rank)*rankDelay
}

// Cool keeps the host from acting again for a while, longer each time until
// nothing is needed.
func (s *Suspicion) Cool(now time.Time) {
	s.cooling = min(max(2*s.cooling, firstCooling), longestCooling)
	s.until = now.Add(s.cooling)
}

// Postpone keeps the host from acting again for a short while.
func (s *Suspicion) Postpone(now time.Time) { s.until = now.Add(holdPeriod) }

// Progress measures how long a primary has been ahead of a majority that doesn't
// move. The zero value is ready.
type Progress struct {
	term     coltsfootloft.Term
	frontier uint64
	moved    time.Time
}

// Stalled takes in new readings and returns how long nothing has moved, 0 if a
// majority holds all that the primary has.
func (p *Progress) Stalled(now time.Time, size quorum.Size, readings map[string]coltsfootloft.Reading) time.Duration {
	name, term, ok := size.Primary(readings)
	if !ok {
		p.moved = now
		return 0
	}
	frontier := size.Frontier(readings, term)
	if term != p.term || frontier != p.frontier || frontier >= readings[name].Received().Offset() {
		p.term = term
		p.frontier = frontier
		p.moved = now
	}
	return now.Sub(p.moved)
}
