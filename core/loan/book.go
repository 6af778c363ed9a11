package loan

import "time"

// Period is the length of a loan.
type Period = time.Duration

const (
	// driftDivisor stretches the lender's view of a loan by 1/50 for clocks that
	// run at different speeds.
	driftDivisor = 50
	// never is later than every event.
	never = 1 << 62
)

// Book is one host's account of one limit. The zero value holds nothing. It is
// not safe for concurrent use. Times must not go backwards.
type Book struct {
	own      Part
	until    time.Time
	lent     map[string]*lending
	borrowed map[string]*borrowing
	sequence uint64
	held     Part
	next     time.Time
	dirty    bool
}

// lending is a loan as its lender counts it.
type lending struct {
	sequence  uint64
	kept      Part
	keptUntil time.Time
	part      Part
	until     time.Time
	want      Part
}

// borrowing is a loan as its borrower counts it.
type borrowing struct {
	part      Part
	period    Period
	until     time.Time
	kept      Part
	keptUntil time.Time
	sequence  uint64
	asked     time.Time
	room      float64
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

// Settled reports whether Held is still what it was when last computed.
func (b *Book) Settled(now time.Time) bool { return !b.dirty && now.Before(b.next) }

// Next is when Held changes if nothing else happens.
func (b *Book) Next() time.Time { return b.next }

// Held returns the part that this host may use at now.
func (b *Book) Held(now time.Time) Part {
	if !b.Settled(now) {
		b.dirty = false
		b.held, b.next = b.compute(now)
	}
	return b.held
}

// Forecast returns the part that this host may use at a later time, if nothing
// but the passing of time changes it.
func (b *Book) Forecast(at time.Time) Part {
	p, _ := b.compute(at)
	return p
}

func (b *Book) compute(now time.Time) (held Part, next time.Time) {
	next = now.Add(never)
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

// reserved is what all borrowers but one may still use.
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

// current is the larger of the loan and of what the one before it still allows.
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
