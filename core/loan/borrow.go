package loan

import "time"

// Request opens a request to a lender. From now on the borrower uses at most keep of the
// loan, and room is reserved for tokens in flight. The caller sets Want, Tokens and
// Returned. A request to the lender that is still open is abandoned: its answer will
// not be accepted.
func (b *Book) Request(now time.Time, lender string, keep Part, room float64) Request {
	l, ok := b.borrowed[lender]
	if !ok {
		l = &borrowing{}
		if b.borrowed == nil {
			b.borrowed = make(map[string]*borrowing)
		}
		b.borrowed[lender] = l
	}
	b.sequence++
	l.limitTo(keep)
	l.sequence = b.sequence
	l.requestedAt = now
	l.room = room
	b.dirty = true
	return Request{
		Sequence: b.sequence,
		Kept:     l.current(now),
		Room:     room,
	}
}

// Accept replaces the loan by the answer to a request. It reports false, and changes
// nothing, if the request is no longer open; it also reports false if the new loan
// has already ended. The tokens of an accepted grant belong to this host.
func (b *Book) Accept(now time.Time, lender string, sequence uint64, g Grant) bool {
	l, ok := b.borrowed[lender]
	if !ok || l.sequence != sequence || l.requestedAt.IsZero() {
		return false
	}
	asked := l.requestedAt
	b.close(l)
	if g.TokensOnly {
		return true
	}
	l.replace(now, g.Part, g.Period, asked)
	if l.current(now).IsZero() {
		delete(b.borrowed, lender)
	}
	return now.Before(l.until)
}

// replace starts a new loan. The one before it may be used until its own end,
// because the lender reserves the larger of the two.
func (l *borrowing) replace(now time.Time, part Part, period Period, asked time.Time) {
	end := l.until
	if now.Before(l.keptUntil) && l.keptUntil.Before(end) {
		end = l.keptUntil
	}
	l.kept = l.current(now)
	l.keptUntil = end
	l.part = part
	l.period = period
	l.until = asked.Add(period)
}

// limitTo limits the part of the loan that is used.
func (l *borrowing) limitTo(keep Part) {
	l.part = l.part.Min(keep)
	l.kept = l.kept.Min(keep)
}

// Abandon closes an open request without an answer.
func (b *Book) Abandon(now time.Time, lender string, sequence uint64) {
	l, ok := b.borrowed[lender]
	if !ok || l.sequence != sequence {
		return
	}
	b.close(l)
	if l.current(now).IsZero() {
		delete(b.borrowed, lender)
	}
}

func (b *Book) close(l *borrowing) {
	l.room = 0
	l.requestedAt = time.Time{}
	b.dirty = true
}

// Loan returns the part borrowed from a lender, and when the loan ends.
func (b *Book) Loan(now time.Time, lender string) (part Part, until time.Time) {
	l, ok := b.borrowed[lender]
	if !ok {
		return Part{}, time.Time{}
	}
	return l.current(now), l.until
}

// Due reports whether a loan should be renewed: it is in the second half of its
// period, or has ended.
func (b *Book) Due(now time.Time, lender string) bool {
	l, ok := b.borrowed[lender]
	return ok && l.until.Sub(now) < l.period/2
}

// Lenders returns the lenders of all current loans, in no particular order.
func (b *Book) Lenders(now time.Time) []string {
	var r []string
	for k, l := range b.borrowed {
		if !l.current(now).IsZero() {
			r = append(r, k)
		}
	}
	return r
}

// Yield lowers the loan from a lender to keep, after a recall by the lender, and
// returns the sequence number of the loan and the part kept. It reports false, and
// changes nothing, without a loan or while a request to that lender is open.
func (b *Book) Yield(now time.Time, lender string, keep Part) (sequence uint64, kept Part, ok bool) {
	l, found := b.borrowed[lender]
	if !found || !l.requestedAt.IsZero() {
		return 0, Part{}, false
	}
	l.limitTo(keep)
	b.dirty = true
	return l.sequence, l.current(now), true
}
