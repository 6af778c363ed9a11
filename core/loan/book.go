package loan

import "time"

// Period is the length of a loan.
type Period = time.Duration

const (
	// driftDivisor extends the lender's view of a loan by 1/50, because the clocks of
	// two hosts may run at different speeds.
	driftDivisor = 50
	// farFuture is later than every event.
	farFuture = 1 << 62
)

// Book keeps one host's balance of one limit: the part it owns, and its loans to and
// from other hosts. The zero value holds nothing. It is not safe for concurrent use.
// Times passed to its methods must not go backwards.
type Book struct {
	own      Part
	until    time.Time
	lent     map[string]*lending
	borrowed map[string]*borrowing
	sequence uint64
	held     Part
	next     time.Time
	dirty    bool
	// overrun is how much longer than the borrower the lender counts a loan, in case
	// the borrower is suspended and can't end its use.
	overrun time.Duration
}

// lending is a loan as its lender counts it: the last grant, and what the borrower
// may still use of the ones before it.
type lending struct {
	sequence  uint64
	kept      Part
	keptUntil time.Time
	part      Part
	until     time.Time
	want      Part
}

// borrowing is a loan as its borrower counts it: the last grant, what is left of the
// ones before it, and the open request, if requestedAt is set.
type borrowing struct {
	part        Part
	period      Period
	until       time.Time
	kept        Part
	keptUntil   time.Time
	sequence    uint64
	requestedAt time.Time
	room        float64
}

// Own sets the part that this host owns until its lease ends.
func (b *Book) Own(part Part, until time.Time) {
	b.own = part
	b.until = until
	b.dirty = true
}

// Owned returns the part that this host owns at now.
func (b *Book) Owned(now time.Time) Part {
	if !now.Before(b.until) {
		return Part{}
	}
	return b.own
}

// IsCurrent reports whether Held is unchanged since it was last computed.
func (b *Book) IsCurrent(now time.Time) bool { return !b.dirty && now.Before(b.next) }

// NextChange returns when Held changes next if nothing but time changes it.
func (b *Book) NextChange() time.Time { return b.next }

// Held returns the part that this host may use at now.
func (b *Book) Held(now time.Time) Part {
	if !b.IsCurrent(now) {
		b.dirty = false
		b.held, b.next = b.compute(now)
	}
	return b.held
}

// Forecast returns the part that this host may use at a later time, if nothing but
// time changes it.
func (b *Book) Forecast(at time.Time) Part {
	p, _ := b.compute(at)
	return p
}

func (b *Book) compute(now time.Time) (held Part, next time.Time) {
	next = now.Add(farFuture)
	event := func(at time.Time) {
		if at.After(now) && at.Before(next) {
			next = at
		}
	}
	held = b.Owned(now).Minus(b.reserved(now, ""))
	event(b.until)
	for _, l := range b.lent {
		event(l.until)
		event(l.keptUntil)
	}
	for _, l := range b.borrowed {
		event(l.until)
		event(l.keptUntil)
		held = held.Plus(l.current(now))
		held.burst = max(held.burst-l.room, 0)
	}
	return held, next
}

// reserved sums the parts that borrowers may still use, except for one borrower.
func (b *Book) reserved(now time.Time, except string) Part {
	var sum Part
	for k, l := range b.lent {
		if k != except {
			sum = sum.Plus(l.reserve(now))
		}
	}
	return sum
}

func (l *lending) reserve(now time.Time) Part {
	var p Part
	if now.Before(l.keptUntil) {
		p = l.kept
	}
	if now.Before(l.until) {
		p = p.Max(l.part)
	}
	return p
}

// current returns the part that may be used now: the larger of the loan and of what
// is left of the one before it.
func (l *borrowing) current(now time.Time) Part {
	var p Part
	if now.Before(l.keptUntil) {
		p = l.kept
	}
	if now.Before(l.until) {
		p = p.Max(l.part)
	}
	return p
}
