// Package bucket is a token bucket with explicit time.
//
// A bucket fills at a rate up to its burst. In any window of length w it gives
// out at most burst + rate × w tokens. A limit can be divided into several
// buckets: as long as their rates and bursts sum to those of the limit, and a
// token leaves one bucket before it enters another, the bound of the limit holds
// for all buckets together.
package bucket

import (
	"math"
	"time"
)

// Never is the result of Wait if the bucket will never hold the tokens.
const Never = time.Duration(math.MaxInt64)

// slack tolerates rounding errors of float64 sums, in tokens.
const slack = 1e-9

// Bucket holds tokens. The zero value holds none and never fills. It is not safe
// for concurrent use. A time before the last one is treated as the last one.
type Bucket struct {
	rate   float64
	burst  float64
	tokens float64
	held   float64
	at     time.Time
}

// At converts a clock reading, counted from the start of the host, to the time
// that the methods of a Bucket take.
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

// Rate is the fill rate in tokens per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Burst is the greatest number of tokens that the bucket holds.
func (b *Bucket) Burst() float64 { return b.burst }

// Available returns the number of tokens that can be taken now. It is never
// negative.
func (b *Bucket) Available(now time.Time) float64 {
	b.advance(now)
	return b.tokens
}

// Take removes n tokens and reports true, or removes none and reports false if
// there are fewer.
func (b *Bucket) Take(now time.Time, n float64) bool {
	b.advance(now)
	if b.tokens+slack < n {
		return false
	}
	b.tokens = max(b.tokens-n, 0)
	return true
}

// Credit adds n tokens, or as many as there is room for, and returns the number
// added.
func (b *Bucket) Credit(now time.Time, n float64) float64 {
	b.advance(now)
	n = max(min(n, b.burst-b.held-b.tokens), 0)
	b.tokens += n
	return n
}

// Hold records that n tokens that were taken are not used yet. Until Release they count against the
// burst, so that the bucket does not fill in their place. Tokens that are in the bucket stay.
func (b *Bucket) Hold(now time.Time, n float64) {
	b.advance(now)
	b.held += n
}

// Release ends the holding of n tokens, which were used or are credited again.
func (b *Bucket) Release(now time.Time, n float64) {
	b.advance(now)
	b.held = max(b.held-n, 0)
}

// Debit removes n tokens, or all if there are fewer, and returns the number
// removed.
func (b *Bucket) Debit(now time.Time, n float64) float64 {
	b.advance(now)
	n = max(min(n, b.tokens), 0)
	b.tokens -= n
	return n
}

// Resize changes rate and burst as of now. Tokens above the new burst are lost; a
// larger burst does not add tokens.
func (b *Bucket) Resize(now time.Time, rate, burst float64) {
	b.advance(now)
	b.rate = max(rate, 0)
	b.burst = max(burst, 0)
	b.tokens = min(b.tokens, b.burst)
}

// Wait returns the time until n tokens are available, or [Never].
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
	if room := b.burst - b.held; b.tokens < room {
		b.tokens = min(b.tokens+b.rate*d.Seconds(), room)
	}
}
