package seat

import "time"

// lease is how long a host may use its seats. Locked seats are covered by the
// platform session and by confirmations, others by confirmations alone. Covered
// is until when every seat held has been usable without a gap.
type lease struct {
	leased    time.Time
	covered   time.Time
	confirmed time.Time
	chained   time.Time
	resume    time.Time
}

func (l *lease) renewed(sent time.Time) { l.leased = later(l.leased, sent.Add(LeaseTime)) }

func (l *lease) ended() { l.leased = time.Time{} }

func (l *lease) until() time.Time { return later(l.leased, l.confirmed) }

// confirm extends the seats by the answers of mates to a question asked at this
// time. Confirmations that begin after a lapse must go on unbroken for the time
// of a lease before they count.
func (l *lease) confirm(asked time.Time) {
	gap := !asked.Before(later(l.covered, l.confirmed))
	if gap && !asked.Before(l.chained) {
		l.resume = asked.Add(LeaseTime + Settle)
	}
	l.chained = later(l.chained, asked.Add(ConfirmTime))
	if gap && asked.Before(l.resume) {
		return
	}
	l.confirmed = later(l.confirmed, asked.Add(ConfirmTime))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
