package loan

// Part is a part of a limit: a rate and a burst, or a number of rights as the burst.
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

// Rate returns the rate in tokens per second.
func (p Part) Rate() float64 { return p.rate }

// Burst returns the burst in tokens, or the number of rights.
func (p Part) Burst() float64 { return p.burst }

// IsZero reports whether p is empty.
func (p Part) IsZero() bool { return p == Part{} }

// Plus returns the sum of p and o.
func (p Part) Plus(o Part) Part { return NewPart(p.rate+o.rate, p.burst+o.burst) }

// Minus returns p less o, with rate and burst at least zero.
func (p Part) Minus(o Part) Part {
	return NewPart(max(p.rate-o.rate, 0), max(p.burst-o.burst, 0))
}

// Min returns the smaller rate and the smaller burst.
func (p Part) Min(o Part) Part {
	return NewPart(min(p.rate, o.rate), min(p.burst, o.burst))
}

// Max returns the larger rate and the larger burst.
func (p Part) Max(o Part) Part {
	return NewPart(max(p.rate, o.rate), max(p.burst, o.burst))
}

// Scale returns p with rate and burst multiplied by f.
func (p Part) Scale(f float64) Part { return NewPart(p.rate*f, p.burst*f) }

// Request is a borrower's request to a lender.
type Request struct {
	// Sequence grows with every request of one run of the borrower's process.
	Sequence uint64
	// Kept is the part that the borrower still uses of its loan from the lender.
	Kept Part
	// Want is the part that the borrower could use, Kept included.
	Want Part
	// Tokens is the number of tokens that the borrower wants with the grant.
	Tokens float64
	// Room is the burst that the borrower reserves for these tokens until the answer
	// arrives.
	Room float64
	// TokensOnly asks for tokens only and leaves the loan as it is.
	TokensOnly bool
	// Partial accepts a fraction of a token, because other lenders will add to it.
	Partial bool
	// Returned is the number of tokens given back to the lender, with the part by
	// which Kept was lowered.
	Returned float64
}

// Grant is a lender's answer. It replaces the loan, unless TokensOnly is set.
type Grant struct {
	// Part is the part that is lent.
	Part Part
	// TokensOnly leaves the loan as it is; Part and Period are then unused.
	TokensOnly bool
	// Tokens is the number of tokens sent with the grant.
	Tokens float64
	// Spare is the number of tokens that the lender can still spare.
	Spare float64
	// Period is how long the loan lasts, from when the borrower sent the request.
	Period Period
}
