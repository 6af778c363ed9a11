// Package budget bounds the retries of one client account.
//
// A retry must be covered by two balances. The first grows by a share of each
// request, so that a database that fails everything receives at most 1 + share
// times the offered load. The second is the same share of the successes in a
// sliding window, minus the retries in it, so that retries stop within the window
// once nothing succeeds any more.
package budget

import (
	"sync"
	"time"
)

const (
	// DefaultShare is the number of retries per request.
	DefaultShare = 0.2
	// DefaultCredit is the greatest number of retries that can accumulate.
	DefaultCredit = 10
	// window is the time after which a success no longer counts.
	window = 10 * time.Second
	slots  = 10
)

// Budget is the retry budget of one client account. The zero value is ready to
// use, and it is safe for concurrent use.
type Budget struct {
	// Share is the number of retries per request; zero means [DefaultShare].
	Share float64
	// Credit bounds the retries that can accumulate; zero means [DefaultCredit].
	Credit float64

	mu     sync.Mutex
	saved  float64
	counts [slots]slot
}

type slot struct {
	number    int64
	successes int
	retries   int
}

// Offer counts the first attempt of a request.
func (b *Budget) Offer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.share(), b.credit())
}

// Success counts a request that a database answered.
func (b *Budget) Success(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(now).successes++
}

// Available reports whether a retry is available, without taking it.
func (b *Budget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasRetry(now)
}

func (b *Budget) hasRetry(now time.Time) bool {
	if b.saved < 1 {
		return false
	}
	successes, retries := b.recent(now)
	return float64(retries+1) <= b.share()*float64(successes)
}

// Allow takes one retry from the budget and reports whether one was available.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.hasRetry(now) {
		return false
	}
	b.saved--
	b.slot(now).retries++
	return true
}

func (b *Budget) recent(now time.Time) (successes, retries int) {
	oldest := slotNumber(now) - slots
	for _, s := range b.counts {
		if s.number > oldest {
			successes += s.successes
			retries += s.retries
		}
	}
	return successes, retries
}

func (b *Budget) slot(now time.Time) *slot {
	n := slotNumber(now)
	s := &b.counts[n%slots]
	if s.number != n {
		*s = slot{number: n}
	}
	return s
}

func (b *Budget) share() float64 {
	if b.Share <= 0 {
		return DefaultShare
	}
	return b.Share
}

func (b *Budget) credit() float64 {
	if b.Credit <= 0 {
		return DefaultCredit
	}
	return b.Credit
}

func slotNumber(now time.Time) int64 { return now.UnixNano() / int64(window/slots) }
