package entry

import (
	"sync"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/bucket"
	"coltsfootloft/core/budget"
)

const (
	// repeatsPerRequest is how many reads that were not answered may be sent again,
	// for each request: databases that lose answers lose some in a hundred, and one
	// that has too much to do must not get much more for it.
	repeatsPerRequest = 0.05
	// repeatsPerSecond and repeatsAtOnce are what an account may have sent again in
	// any case, so that one with few requests is served too.
	repeatsPerSecond = 1
	repeatsAtOnce    = 2
)

// repeats bounds how many reads that were not answered are sent again, for each
// client account. Its field is set before use; it is safe for concurrent use.
type repeats struct {
	clock coltsfootloft.Clock

	mu       sync.Mutex
	accounts map[string]*repeatable
}

// repeatable is one account's.
type repeatable struct {
	budget budget.Budget
	least  bucket.Bucket
}

// Offer counts a request.
func (r *repeats) Offer(account string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, _ := r.account(account)
	a.budget.Offer()
}

// Success counts a request that was answered.
func (r *repeats) Success(account string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, now := r.account(account)
	a.budget.Success(now)
}

// Left reports whether a read may be sent again.
func (r *repeats) Left(account string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, now := r.account(account)
	return a.least.Available(now) >= 1 || a.budget.Available(now)
}

// Take reports whether a read may be sent again, and counts it.
func (r *repeats) Take(account string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, now := r.account(account)
	return a.least.Take(now, 1) || a.budget.Allow(now)
}

func (r *repeats) account(name string) (*repeatable, time.Time) {
	now := bucket.At(r.clock.Elapsed())
	if r.accounts == nil {
		r.accounts = make(map[string]*repeatable)
	}
	a := r.accounts[name]
	if a == nil {
		a = &repeatable{
			budget: budget.Budget{Share: repeatsPerRequest},
			least:  bucket.New(repeatsPerSecond, repeatsAtOnce, now),
		}
		r.accounts[name] = a
	}
	return a, now
}
