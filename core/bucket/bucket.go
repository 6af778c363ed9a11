// Package bucket is a token bucket with explicit time.
//
// A bucket fills at a rate up to its burst. Over any window of length w it gives
// out at most burst + rate × w tokens. A limit can be divided into parts, each a
// bucket: as long as rates and bursts of the parts sum to those of the whole,
// and a token leaves one part before it enters another, the bound of the whole
// holds for all parts together.
package bucket

import (
	"math"
	"time"
)

// Never is the Wait for tokens that the bucket will not hold.
const Never = time.Duration(math.MaxInt64)

// slack absorbs the rounding of float64 sums, in tokens.
const slack = 1e-9

// Bucket holds tokens. The zero value holds none and never fills. It is not safe
// for concurrent use. Time that goes backwards counts as standing still.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     time.Time
}

// At returns the moment of a clock that counts from the start of the host, as
// buckets take it.
func At(elapsed time.Duration) time.Time { return time.Unix(0, int64(elapsed)) }

// New returns a full bucket. The rate is in tokens per second, the burst in
// tokens.
func New(rate, burst float64, now time.Time) Bucket {
	return Bucket{
		rate:   rate,
		burst:  burst,
		tokens: burst,
		at:     now,
	}
}

// Rate is in tokens per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Burst is the most tokens that the bucket holds.
func (b *Bucket) Burst() float64 { return b.burst }

// Available returns the tokens that can be taken now. It is never negative.
func (b *Bucket) Available(now time.Time) float64 {
	b.advance(now)
	return b.tokens
}

// Take removes n tokens, or none and reports false if there are fewer.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.advance(now)
	if b.tokens+slack < n {
		return false
	}
	b.tokens = max(b.tokens-n, 0)
	return true
}

// Credit adds n tokens and returns how many the burst left room for.
func (b *Bucket) Credit(now time.Time, n float64) float64 {
	b.advance(now)
	n = max(min(n, b.burst-b.tokens), 0)
	b.tokens += n
	return n
}

// Debit removes n tokens, or as many as there are, and returns how many.
func (b *Bucket) Debit(now time.Time, n float64) float64 {
	b.advance(now)
	n = max(min(n, b.tokens), 0)
	b.tokens -= n
	return n
}

// Resize changes rate and burst from now on. Tokens above the new burst are
// lost; a larger burst brings no tokens by itself.
func (b *Bucket) Resize(now time.Time, rate, burst float64) {
	b.advance(now)
	b.rate = max(rate, 0)
	b.burst = max(burst, 0)
	b.tokens = min(b.tokens, b.burst)
}

// Wait returns how long it takes until n tokens are available, or [Never].
func (b *Bucket) Wait(now time.Time, n float64) time.Duration {
	b.advance(now)
	missing := n - b.tokens - slack
	if missing <= 0 {
		return 0
	}
	if n > b.burst+slack || b.rate <= 0 {
		return Never
	}
	seconds := missing / b.rate
	if seconds > Never.Seconds()/2 {
		return Never
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

func (b *Bucket) advance(now time.Time) {
	d := now.Sub(b.at)
	if d <= 0 {
		return
	}
	b.at = now
	if b.tokens < b.burst {
		b.tokens = min(b.tokens+b.rate*d.Seconds(), b.burst)
	}
}
