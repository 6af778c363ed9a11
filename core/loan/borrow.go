package loan

import "time"

// Request opens a request to a lender. The borrower keeps at most keep of the loan
// from now on and sets room aside for tokens. The caller fills in Want, Tokens
// and Returned. An ask that is still open is given up: its answer will not
// be accepted.
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
	l.lower(keep)
	l.sequence = b.sequence
	l.asked = now
	l.room = room
	b.dirty = true
	return Request{
		Sequence: b.sequence,
		Kept:     l.current(now),
		Room:     room,
	}
}

// Accept replaces the loan by the answer to an ask, and reports false, changing
// nothing, if that ask is no longer open. The tokens of an accepted grant belong
// to this host.
func (b *Book) Accept(now time.Time, lender string, sequence uint64, g Grant) bool {
	l, ok := b.borrowed[lender]
	if !ok || l.sequence != sequence || l.asked.IsZero() {
		return false
	}
	asked := l.asked
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

// replace begins a new loan; the one before it may be used until its own end,
// because the lender counts the larger of both.
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

// lower caps what is used of the loan.
func (l *borrowing) lower(keep Part) {
	l.part = l.part.Min(keep)
	l.kept = l.kept.Min(keep)
}

// Abandon gives up an open ask.
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
	l.asked = time.Time{}
	b.dirty = true
}

// Loan returns what is borrowed from a lender, and until when.
func (b *Book) Loan(now time.Time, lender string) (part Part, until time.Time) {
	l, ok := b.borrowed[lender]
	if !ok {
		return Part{}, time.Time{}
	}
	return l.current(now), l.until
}

// Due reports whether a loan is in the second half of its period.
func (b *Book) Due(now time.Time, lender string) bool {
	l, ok := b.borrowed[lender]
	return ok && l.until.Sub(now) < l.period/2
}

// Lenders returns the lenders of loans in force.
func (b *Book) Lenders(now time.Time) []string {
	var r []string
	for k, l := range b.borrowed {
		if !l.current(now).IsZero() {
			r = append(r, k)
		}
	}
	return r
}

// Yield lowers the loan from a lender to keep, on the lender's order, and returns
// the sequence number of the loan and what is kept. Nothing is yielded while an
// ask to that lender is open.
func (b *Book) Yield(now time.Time, lender string, keep Part) (sequence uint64, kept Part, ok bool) {
	l, found := b.borrowed[lender]
	if !found || !l.asked.IsZero() {
		return 0, Part{}, false
	}
	l.lower(keep)
	b.dirty = true
	return l.sequence, l.current(now), true
}
