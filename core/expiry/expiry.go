// Package expiry holds tokens that can be used for a limited time.
package expiry

import (
	"cmp"
	"slices"
	"time"
)

// resolution is the greatest difference between two expiry times that are kept as one, the
// earlier of them. It bounds the memory that tokens with times of their own take.
const resolution = 10 * time.Millisecond

// Tokens are tokens with their expiry times. The zero value has none. It is not safe for
// concurrent use.
type Tokens struct {
	batches []batch // by expiry time
}

type batch struct {
	until time.Duration
	count float64
}

// Add adds n tokens that can be used until a time. It returns the time that is kept.
func (t *Tokens) Add(n float64, until time.Duration) time.Duration {
	until = until.Truncate(resolution)
	i, found := t.find(until)
	if !found {
		t.batches = slices.Insert(t.batches, i, batch{until: until})
	}
	t.batches[i].count += n
	return until
}

// Remove removes one of the tokens that were added until a time, as Add returned it. It reports
// false if there is none.
func (t *Tokens) Remove(until time.Duration) bool {
	i, found := t.find(until)
	if !found || t.batches[i].count < 1 {
		return false
	}
	t.batches[i].count--
	return true
}

// Expire removes the tokens that can't be used any more at now, and returns how many there were.
func (t *Tokens) Expire(now time.Duration) float64 {
	sum := 0.0
	expired := 0
	for expired < len(t.batches) && t.batches[expired].until <= now {
		sum += t.batches[expired].count
		expired++
	}
	t.batches = slices.Delete(t.batches, 0, expired)
	return sum
}

// Count returns how many tokens can be used at now.
func (t *Tokens) Count(now time.Duration) float64 {
	sum := 0.0
	for _, x := range t.batches {
		if x.until > now {
			sum += x.count
		}
	}
	return sum
}

// Take removes one token of those that expire first, and returns the time until which it can
// be used. It reports false if there is less than one.
func (t *Tokens) Take(now time.Duration) (until time.Duration, ok bool) {
	if t.Count(now) < 1 {
		return 0, false
	}
	t.Expire(now)
	until = t.batches[0].until
	for missing := 1.0; missing > 0 && len(t.batches) > 0; {
		n := min(missing, t.batches[0].count)
		missing -= n
		t.batches[0].count -= n
		if t.batches[0].count <= 0 {
			t.batches = slices.Delete(t.batches, 0, 1)
		}
	}
	return until, true
}

func (t *Tokens) find(until time.Duration) (i int, found bool) {
	return slices.BinarySearchFunc(t.batches, until, func(x batch, until time.Duration) int {
		return cmp.Compare(x.until, until)
	})
}
