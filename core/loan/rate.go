package loan

import (
	"math"
	"time"

	"coltsfootloft/core/bucket"
)

const (
	// headroom is the factor by which the part that a host tries to hold exceeds its
	// demand.
	headroom = 1.5
	// prefetch is how much demand, as a time, a host requests tokens for in advance.
	prefetch = 100 * time.Millisecond
	// minRateTokens is the smallest demand worth a loan of rate, in tokens over
	// RatePeriod. For less, only tokens are lent.
	minRateTokens = 30
	// RatePeriod is the length of a loan of rate.
	RatePeriod = 2 * time.Second
	// TokenPeriod is the length of a loan of burst without rate. Its tokens are used
	// at once, and the lender's bucket can refill after it.
	TokenPeriod = 120 * time.Millisecond
)

// Rate is one host's part of a client account's rate and burst: a [Book] and the
// token bucket whose rate and burst are the part held. The zero value admits
// nothing. It is not safe for concurrent use.
type Rate struct {
	book   Book
	bucket bucket.Bucket
	meter  meter
}

// Own sets the part that this host owns until its lease ends. The bucket keeps its
// tokens up to the new burst; a larger part adds none.
func (r *Rate) Own(now time.Time, part Part, until time.Time) {
	r.advance(now)
	r.book.Own(part, until)
	r.advance(now)
}

// Fill fills the bucket, for a part that has never been used before.
func (r *Rate) Fill(now time.Time) { r.Credit(now, math.Inf(1)) }

// Credit adds tokens that this host was given, up to the burst held.
func (r *Rate) Credit(now time.Time, n float64) {
	r.advance(now)
	r.bucket.Credit(now, n)
}

// Debit removes up to n tokens that this host gives away and returns how many.
func (r *Rate) Debit(now time.Time, n float64) float64 {
	r.advance(now)
	return r.bucket.Debit(now, n)
}

// Demand records that callers asked for n tokens.
func (r *Rate) Demand(now time.Time, n float64) { r.meter.add(now, n) }

// Take removes n tokens and reports true, or removes none and reports false.
func (r *Rate) Take(now time.Time, n float64) bool {
	if !r.book.IsCurrent(now) {
		r.advance(now)
	}
	return r.bucket.Take(now, n)
}

// Available returns the number of tokens that can be taken now.
func (r *Rate) Available(now time.Time) float64 {
	r.advance(now)
	return r.bucket.Available(now)
}

// Wait returns how long it takes until n tokens are available if nothing changes, or
// [bucket.Never].
func (r *Rate) Wait(now time.Time, n float64) time.Duration {
	r.advance(now)
	return r.bucket.Wait(now, n)
}

// Held returns the part that this host may use now.
func (r *Rate) Held(now time.Time) Part {
	r.advance(now)
	return r.book.Held(now)
}

// Book returns the book of the loans.
func (r *Rate) Book() *Book { return &r.book }

// Wanted returns the part that callers' demand requires, with some headroom. Waiting
// is the cost, in tokens, of the requests that wait for tokens.
func (r *Rate) Wanted(now time.Time, waiting float64) Part {
	demand := r.meter.rate(now)
	if demand*RatePeriod.Seconds() < minRateTokens {
		return NewPart(0, waiting)
	}
	return NewPart(demand*headroom, demand*prefetch.Seconds()*headroom+waiting)
}

// Shortage reports whether there are fewer tokens than waiting requests need, and
// whether the rate held is less than the demand.
func (r *Rate) Shortage(now time.Time, waiting float64) (tokens, rate bool) {
	tokens = r.Available(now) < waiting
	rate = r.Held(now).rate*headroom < r.Wanted(now, 0).rate
	return tokens, rate
}

// advance applies every change of the part held up to now to the bucket, each at its
// own time, so that no rate fills the bucket for longer than it was held.
func (r *Rate) advance(now time.Time) {
	for !r.book.IsCurrent(now) {
		at := now
		if n := r.book.NextChange(); !r.book.dirty && !n.IsZero() && n.Before(now) {
			at = n
		}
		h := r.book.Held(at)
		r.bucket.Resize(at, h.rate, h.burst)
	}
}

// Request opens a request to a lender for the part want, of which tokens are needed at
// once. If the loan shrinks, the request returns the tokens that exceed the burst
// that remains.
func (r *Rate) Request(now time.Time, lender string, want Part, tokens float64) Request {
	r.advance(now)
	have, _ := r.book.Loan(now, lender)
	keep := have.Min(want)
	available := r.bucket.Available(now)
	remainingBurst := r.bucket.Burst() - (have.burst - keep.burst)
	returned := r.bucket.Debit(now, max(available-remainingBurst, 0))
	room := max(min(tokens, remainingBurst-r.bucket.Available(now)), 0)
	a := r.book.Request(now, lender, keep, room)
	a.Want = want
	a.Tokens = tokens
	a.Returned = returned
	r.advance(now)
	return a
}

// RequestTokens opens a request to a lender for tokens only, up to the free room in the
// bucket. The loan stays as it is.
func (r *Rate) RequestTokens(now time.Time, lender string, tokens float64) Request {
	r.advance(now)
	have, _ := r.book.Loan(now, lender)
	room := max(min(tokens, r.bucket.Burst()-r.bucket.Available(now)), 0)
	a := r.book.Request(now, lender, have, room)
	a.Tokens = room
	a.TokensOnly = true
	r.advance(now)
	return a
}

// Accept applies the answer to a request. It reports false if the request is no
// longer open or the loan has already ended.
func (r *Rate) Accept(now time.Time, lender string, a Request, g Grant) bool {
	r.advance(now)
	if !r.book.Accept(now, lender, a.Sequence, g) {
		return false
	}
	r.advance(now)
	r.bucket.Credit(now, g.Tokens)
	return true
}

// Abandon closes a request that got no answer.
func (r *Rate) Abandon(now time.Time, lender string, a Request) {
	r.advance(now)
	r.book.Abandon(now, lender, a.Sequence)
	r.advance(now)
}

// Lend answers a request out of the part that this host owns. If demand exceeds the
// part, each host gets a share in proportion to what it wants. Waiting is the cost,
// in tokens, of this host's own requests that wait for tokens.
func (r *Rate) Lend(now time.Time, borrower string, a Request, waiting float64) Grant {
	r.advance(now)
	if !r.book.Receive(now, borrower, a) {
		return Grant{}
	}
	r.advance(now)
	r.bucket.Credit(now, a.Returned)
	own := r.book.Owned(now)
	if own.IsZero() {
		return Grant{}
	}
	ownDemand := r.Wanted(now, waiting)
	totalDemand := ownDemand.Plus(r.book.Wanted(now, borrower)).Plus(a.Want)
	offer := proportionalPart(own, a.Want, totalDemand)
	tokens := max(r.bucket.Available(now)-ownDemand.burst, 0)
	if tokens < a.Tokens && !a.Partial {
		tokens = math.Floor(tokens)
	}
	tokens = min(tokens, a.Tokens)
	if a.TokensOnly {
		return Grant{
			TokensOnly: true,
			Tokens:     r.bucket.Debit(now, min(tokens, a.Room)),
			Spare:      max(r.bucket.Available(now)-ownDemand.burst, 0),
		}
	}
	offer.burst = max(offer.burst, a.Kept.burst, a.Kept.burst+tokens-a.Room)
	period := RatePeriod
	if offer.rate == 0 {
		period = TokenPeriod
	}
	g, growth := r.book.Lend(now, borrower, offer, period)
	surplus := r.bucket.Available(now) - r.book.Forecast(now).burst
	g.Tokens = r.bucket.Debit(now, min(max(tokens, surplus), a.Room+growth.burst))
	r.advance(now)
	g.Spare = max(r.bucket.Available(now)-ownDemand.burst, 0)
	return g
}

// proportionalPart returns the share of part that one host gets if it wants want and
// all hosts together want total.
func proportionalPart(part, want, total Part) Part {
	p := want
	if total.rate > part.rate {
		p.rate = part.rate * want.rate / total.rate
	}
	if part.rate > 0 {
		p.burst = max(p.burst, part.burst*p.rate/part.rate)
	}
	if total.burst > part.burst {
		p.burst = min(p.burst, part.burst*want.burst/total.burst)
	}
	return p
}
