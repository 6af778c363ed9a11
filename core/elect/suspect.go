package elect

import (
	"time"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
)

const (
	// rankDelay is the additional delay for each rank of the hosts that may
	// propose. It is longer than the time from a suspicion until the next host
	// can see the fencing, so that competing campaigns are rare.
	rankDelay = 300 * time.Millisecond
	// minBackoff is the delay after a failed election. It doubles up to
	// maxBackoff while the need lasts.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// holdDelay is the delay while another host confirms that the primary is
	// working.
	holdDelay = 100 * time.Millisecond
)

// delays is how long a need must last before the host of the first rank acts. The
// needs that appear while another host runs an election get a delay in which that
// election can end.
var delays = map[NeedKind]time.Duration{
	SilentPrimary:       0,
	StalledPrimary:      0,
	LeavingPrimary:      0,
	NoPrimary:           300 * time.Millisecond,
	ReplicaFencedAbove:  600 * time.Millisecond,
	ReplicaNotFollowing: 100 * time.Millisecond,
}

// Suspicion tracks how long a need has lasted and the backoff after failed
// elections. The zero value is ready to use.
type Suspicion struct {
	need      Need
	since     time.Time
	backoff   time.Duration
	notBefore time.Time
}

// Due reports whether a host of this rank should act on the need now; rank 0 is
// the first.
func (s *Suspicion) Due(now time.Time, need Need, rank int) bool {
	if !need.same(s.need) {
		s.need = need
		s.since = now
		s.notBefore = time.Time{}
		if need.kind == Nothing {
			s.backoff = 0
		}
	}
	delay, actionable := delays[need.kind]
	if !actionable || now.Before(s.notBefore) {
		return false
	}
	return now.Sub(s.since) >= delay+time.Duration(rank)*rankDelay
}

// BackOff starts the backoff after a failed election. It doubles each time, until
// nothing is needed.
func (s *Suspicion) BackOff(now time.Time) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.notBefore = now.Add(s.backoff)
}

// Postpone postpones the next action by a short delay.
func (s *Suspicion) Postpone(now time.Time) { s.notBefore = now.Add(holdDelay) }

// Progress measures how long a primary has been ahead of a majority that makes no
// progress. The zero value is ready to use.
type Progress struct {
	term           coltsfootloft.Term
	majorityOffset uint64
	changedAt      time.Time
}

// Stalled updates p with new readings and returns the time without progress, 0 if
// a majority holds everything that the primary has.
func (p *Progress) Stalled(now time.Time, size quorum.Size, readings map[string]coltsfootloft.Reading) time.Duration {
	name, term, ok := size.Primary(readings)
	if !ok {
		p.changedAt = now
		return 0
	}
	majorityOffset := size.MajorityOffset(readings, term)
	if term != p.term || majorityOffset != p.majorityOffset || majorityOffset >= readings[name].Received().Offset() {
		p.term = term
		p.majorityOffset = majorityOffset
		p.changedAt = now
	}
	return now.Sub(p.changedAt)
}
