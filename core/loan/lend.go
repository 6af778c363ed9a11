package loan

import "time"

// Receive records a request of one run of a borrower's process, before Lend answers
// it. It reports false for one that is out of order, which must not be answered. The
// returned tokens of an accepted request belong to this host, as far as its burst
// has room.
func (b *Book) Receive(now time.Time, borrower string, a Request) bool {
	l, ok := b.lent[borrower]
	if !ok {
		l = &lending{}
		if b.lent == nil {
			b.lent = make(map[string]*lending)
		}
		b.lent[borrower] = l
	}
	if a.Sequence <= l.sequence {
		return false
	}
	if a.TokensOnly {
		l.sequence = a.Sequence
		return true
	}
	l.kept = l.reserve(now).Min(a.Kept)
	l.keptUntil = later(l.keptUntil, l.until)
	l.part = Part{}
	l.sequence = a.Sequence
	l.want = a.Want
	b.dirty = true
	b.sweep(now, borrower)
	return true
}

// Lendable returns the largest part that can be lent to a borrower: the part owned,
// less the loans to others.
func (b *Book) Lendable(now time.Time, borrower string) Part {
	return b.Owned(now).Minus(b.reserved(now, borrower))
}

// Wanted sums the parts wanted in the last requests of all borrowers whose loans
// have not ended, except for one borrower.
func (b *Book) Wanted(now time.Time, except string) Part {
	var sum Part
	for k, l := range b.lent {
		if k != except && now.Before(later(l.until, l.keptUntil)) {
			sum = sum.Plus(l.want)
		}
	}
	return sum
}

// Borrowers returns the parts that borrowers may still use, by borrower.
func (b *Book) Borrowers(now time.Time) map[string]Part {
	r := make(map[string]Part)
	for k, l := range b.lent {
		if p := l.reserve(now); !p.IsZero() {
			r[k] = p
		}
	}
	return r
}

// Lend answers the last request received from a borrower with a part of at most
// Lendable and reports how much the loan has grown. The period is limited to the
// rest of the lease.
func (b *Book) Lend(now time.Time, borrower string, part Part, period Period) (g Grant, growth Part) {
	l := b.lent[borrower]
	left := b.until.Sub(now)
	left -= left / driftDivisor
	period = min(period, left)
	if period <= 0 {
		return Grant{}, Part{}
	}
	part = part.Min(b.Lendable(now, borrower))
	before := l.reserve(now)
	l.part = part
	l.until = now.Add(period + period/driftDivisor + b.overrun)
	b.dirty = true
	g = Grant{
		Part:   part,
		Period: period,
	}
	return g, part.Minus(before)
}

// LongestLoan returns when the last of the current loans ends for its borrower, or the
// zero time if there are none.
func (b *Book) LongestLoan(now time.Time) time.Time {
	var t time.Time
	for _, l := range b.lent {
		if !l.reserve(now).IsZero() {
			t = later(t, later(l.until, l.keptUntil).Add(-b.overrun))
		}
	}
	return t
}

// Recalled records a borrower's answer to a recall: it keeps at most kept of its
// loan. The answer is ignored unless it carries the sequence number of the loan.
func (b *Book) Recalled(now time.Time, borrower string, sequence uint64, kept Part) {
	l, ok := b.lent[borrower]
	if !ok || l.sequence != sequence {
		return
	}
	l.kept = l.reserve(now).Min(kept)
	l.keptUntil = later(l.keptUntil, l.until)
	l.part = l.kept
	b.dirty = true
}

// LoanSequence returns the sequence number of a borrower's last request, or 0.
func (b *Book) LoanSequence(borrower string) uint64 {
	if l, ok := b.lent[borrower]; ok {
		return l.sequence
	}
	return 0
}

// sweepAfter is how long the sequence number of a borrower is kept after its loan
// ended, so that delayed requests are recognized.
const sweepAfter = time.Minute

func (b *Book) sweep(now time.Time, except string) {
	for k, l := range b.lent {
		end := later(l.until, l.keptUntil)
		if k != except && !end.IsZero() && now.Sub(end) > sweepAfter {
			delete(b.lent, k)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
