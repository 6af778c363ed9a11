package seat

import "time"

// lease is how long a host may use its seats. Locked seats are covered by the
// platform session and by confirmations, unlocked ones by confirmations alone.
type lease struct {
	// sessionUntil is the end of the lease from the platform session.
	sessionUntil time.Time
	// coveredUntil is until when the session has covered every seat held, without
	// a gap.
	coveredUntil time.Time
	// confirmedUntil is the end of the last confirmation that counted.
	confirmedUntil time.Time
	// chainUntil is the end of the unbroken series of confirmations, including
	// those that did not count yet.
	chainUntil time.Time
	// resumeAt is when confirmations that began after a lapse start to count.
	resumeAt time.Time
}

func (l *lease) renew(sent time.Time) { l.sessionUntil = later(l.sessionUntil, sent.Add(LeaseTime)) }

func (l *lease) endSession() { l.sessionUntil = time.Time{} }

func (l *lease) until() time.Time { return later(l.sessionUntil, l.confirmedUntil) }

// confirm extends the use of the seats after peers confirmed a request sent at
// this time. Confirmations that begin after a lapse count only once they have
// continued without a gap for LeaseTime and TakeoverWait.
func (l *lease) confirm(asked time.Time) {
	gap := !asked.Before(later(l.coveredUntil, l.confirmedUntil))
	if gap && !asked.Before(l.chainUntil) {
		l.resumeAt = asked.Add(LeaseTime + TakeoverWait)
	}
	l.chainUntil = later(l.chainUntil, asked.Add(ConfirmTime))
	if gap && asked.Before(l.resumeAt) {
		return
	}
	l.confirmedUntil = later(l.confirmedUntil, asked.Add(ConfirmTime))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
