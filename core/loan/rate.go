package loan

import (
	"math"
	"time"

	"coltsfootloft/core/bucket"
)

const (
	// headroom is how much more than its demand a host tries to hold.
	headroom = 1.5
	// prefetch is the demand that a host wants tokens for at once.
	prefetch = 100 * time.Millisecond
	// least is the smallest demand worth a loan of rate, in tokens over Period;
	// below it single tokens are lent.
	least = 30
	// RatePeriod is the length of a loan of rate.
	RatePeriod = 2 * time.Second
	// TokenPeriod is the length of a loan of tokens alone, which are used at once;
	// the lender's bucket fills again after it.
	TokenPeriod = 120 * time.Millisecond
)

// Rate is one host's part of a client account's rate and burst: a book of the
// parts and the bucket that they fill. The zero value admits nothing. It is not
// safe for concurrent use.
type Rate struct {
	book   Book
	bucket bucket.Bucket
	meter  meter
}

// Own sets the part that this host owns until its lease ends. The bucket keeps
// its tokens as far as there is still room; a larger part brings none.
func (r *Rate) Own(now time.Time, part Part, until time.Time) {
	r.settle(now)
	r.book.Own(part, until)
	r.settle(now)
}

// Fill fills the bucket, for parts that have never been used before.
func (r *Rate) Fill(now time.Time) { r.Credit(now, math.Inf(1)) }

// Credit adds tokens that this host was given, as far as there is room.
func (r *Rate) Credit(now time.Time, n float64) {
	r.settle(now)
	r.bucket.Credit(now, n)
}

// Debit removes tokens that this host gives away and returns how many.
func (r *Rate) Debit(now time.Time, n float64) float64 {
	r.settle(now)
	return r.bucket.Debit(now, n)
}

// Demand counts n tokens asked for by callers.
func (r *Rate) Demand(now time.Time, n float64) { r.meter.add(now, n) }

// Take removes n tokens, or none and reports false.
func (r *Rate) Take(now time.Time, n float64) bool {
	if !r.book.Settled(now) {
		r.settle(now)
	}
	return r.bucket.Take(now, n)
}

// Available returns the tokens that can be taken now.
func (r *Rate) Available(now time.Time) float64 {
	r.settle(now)
	return r.bucket.Available(now)
}

// Wait is how long n tokens take if nothing changes, or [bucket.Never].
func (r *Rate) Wait(now time.Time, n float64) time.Duration {
	r.settle(now)
	return r.bucket.Wait(now, n)
}

// Held is the part that this host may use now.
func (r *Rate) Held(now time.Time) Part {
	r.settle(now)
	return r.book.Held(now)
}

// Book gives access to the loans.
func (r *Rate) Book() *Book { return &r.book }

// Wanted is the part that callers' demand asks for, with some headroom; waiting
// is the cost of the requests that wait for tokens.
func (r *Rate) Wanted(now time.Time, waiting float64) Part {
	d := r.meter.rate(now)
	if d*RatePeriod.Seconds() < least {
		return NewPart(0, waiting)
	}
	return NewPart(d*headroom, d*prefetch.Seconds()*headroom+waiting)
}

// Shortage reports whether tokens are missing that requests wait for, and whether
// the rate held is less than the demand.
func (r *Rate) Shortage(now time.Time, waiting float64) (tokens, rate bool) {
	tokens = r.Available(now) < waiting
	rate = r.Held(now).rate*headroom < r.Wanted(now, 0).rate
	return tokens, rate
}

// settle moves the bucket through every change of the held part up to now, so
// that no rate counts for longer than it was held.
func (r *Rate) settle(now time.Time) {
	for !r.book.Settled(now) {
		at := now
		if n := r.book.Next(); !r.book.dirty && !n.IsZero() && n.Before(now) {
			at = n
		}
		h := r.book.Held(at)
		r.bucket.Resize(at, h.rate, h.burst)
	}
}

// Request opens a request to a lender for want, of which tokens are needed at once.
// Tokens beyond what the wanted part holds go back with it.
func (r *Rate) Request(now time.Time, lender string, want Part, tokens float64) Request {
	r.settle(now)
	have, _ := r.book.Loan(now, lender)
	keep := have.Min(want)
	available := r.bucket.Available(now)
	left := r.bucket.Burst() - (have.burst - keep.burst)
	back := r.bucket.Debit(now, max(available-left, 0))
	room := max(min(tokens, left-r.bucket.Available(now)), 0)
	a := r.book.Request(now, lender, keep, room)
	a.Want = want
	a.Tokens = tokens
	a.Returned = back
	r.settle(now)
	return a
}

// RequestTokens opens a request to a lender for tokens only, within the room that the
// bucket has. The loan stays as it is.
func (r *Rate) RequestTokens(now time.Time, lender string, tokens float64) Request {
	r.settle(now)
	have, _ := r.book.Loan(now, lender)
	room := max(min(tokens, r.bucket.Burst()-r.bucket.Available(now)), 0)
	a := r.book.Request(now, lender, have, room)
	a.Tokens = room
	a.TokensOnly = true
	r.settle(now)
	return a
}

// Accept takes the answer to an ask in.
func (r *Rate) Accept(now time.Time, lender string, a Request, g Grant) bool {
	r.settle(now)
	if !r.book.Accept(now, lender, a.Sequence, g) {
		return false
	}
	r.settle(now)
	r.bucket.Credit(now, g.Tokens)
	return true
}

// Abandon gives up an ask whose answer did not come.
func (r *Rate) Abandon(now time.Time, lender string, a Request) {
	r.settle(now)
	r.book.Abandon(now, lender, a.Sequence)
	r.settle(now)
}

// Lend answers an ask out of what this host owns. Where demand exceeds the part,
// it is divided in proportion to what each asks for; waiting is the cost of this
// host's own requests that wait for tokens.
func (r *Rate) Lend(now time.Time, borrower string, a Request, waiting float64) Grant {
	r.settle(now)
	if !r.book.Receive(now, borrower, a) {
		return Grant{}
	}
	r.settle(now)
	r.bucket.Credit(now, a.Returned)
	own := r.book.Owned(now)
	if own.IsZero() {
		return Grant{}
	}
	mine := r.Wanted(now, waiting)
	all := mine.Plus(r.book.Wanted(now, borrower)).Plus(a.Want)
	offer := divide(own, a.Want, all)
	tokens := max(r.bucket.Available(now)-mine.burst, 0)
	if tokens < a.Tokens && !a.Partial {
		tokens = math.Floor(tokens)
	}
	tokens = min(tokens, a.Tokens)
	if a.TokensOnly {
		return Grant{
			TokensOnly: true,
			Tokens:     r.bucket.Debit(now, min(tokens, a.Room)),
			Spare:      max(r.bucket.Available(now)-mine.burst, 0),
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
	r.settle(now)
	g.Spare = max(r.bucket.Available(now)-mine.burst, 0)
	return g
}

// divide returns what a wish gets of a part when all wishes together are this.
func divide(part, want, all Part) Part {
	p := want
	if all.rate > part.rate {
		p.rate = part.rate * want.rate / all.rate
	}
	if part.rate > 0 {
		p.burst = max(p.burst, part.burst*p.rate/part.rate)
	}
	if all.burst > part.burst {
		p.burst = min(p.burst, part.burst*want.burst/all.burst)
	}
	return p
}
