package loan

// Part is a part of a limit.
type Part struct {
	rate  float64
	burst float64
}

// NewPart returns a part with a rate in tokens per second and a burst in tokens.
func NewPart(rate, burst float64) Part {
	return Part{
		rate:  rate,
		burst: burst,
	}
}

// Rate is in tokens per second.
func (p Part) Rate() float64 { return p.rate }

// Burst is in tokens.
func (p Part) Burst() float64 { return p.burst }

// IsZero reports whether p is empty.
func (p Part) IsZero() bool { return p == Part{} }

// Plus returns the sum.
func (p Part) Plus(o Part) Part { return NewPart(p.rate+o.rate, p.burst+o.burst) }

// Minus returns what is left of p, at least zero in each respect.
func (p Part) Minus(o Part) Part {
	return NewPart(max(p.rate-o.rate, 0), max(p.burst-o.burst, 0))
}

// Min returns the smaller of each.
func (p Part) Min(o Part) Part {
	return NewPart(min(p.rate, o.rate), min(p.burst, o.burst))
}

// Max returns the larger of each.
func (p Part) Max(o Part) Part {
	return NewPart(max(p.rate, o.rate), max(p.burst, o.burst))
}

// Scale returns p times f.
func (p Part) Scale(f float64) Part { return NewPart(p.rate*f, p.burst*f) }

// Request is a borrower's request to a lender.
type Request struct {
	// Sequence grows with every ask of one run of the borrower's process.
	Sequence uint64
	// Kept is what the borrower still uses of the loan it has from the lender.
	Kept Part
	// Want is the part that the borrower could use, Kept included.
	Want Part
	// Tokens is how many tokens it wants to have sent.
	Tokens float64
	// Room is the burst that it sets aside for tokens until the answer comes.
	Room float64
	// TokensOnly asks for tokens only and leaves the loan as it is.
	TokensOnly bool
	// Partial accepts less than a whole token, because others will add to it.
	Partial bool
	// Returned are tokens that it hands back; it has lowered Kept by as much.
	Returned float64
}

// Grant is a lender's answer. It replaces the loan.
type Grant struct {
	// Part is lent.
	Part Part
	// TokensOnly leaves the loan as it is; Part and Period mean nothing then.
	TokensOnly bool
	// Tokens come with it.
	Tokens float64
	// Spare are the tokens that the lender still has.
	Spare float64
	// Period is how long the loan lasts, from when the borrower asked.
	Period Period
}
