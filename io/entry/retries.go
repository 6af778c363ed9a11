package entry

import (
	"sync"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/bucket"
	"coltsfootloft/core/budget"
)

const (
	// retriesPerRequest is how many unanswered reads may be sent again for each
	// request. Databases that lose answers lose a few in a hundred, and an
	// overloaded database must not get much extra load from retries.
	retriesPerRequest = 0.05
	// minRetriesPerSecond and minRetryBurst are the rate and burst of retries that
	// every account has, so that accounts with few requests can retry too.
	minRetriesPerSecond = 1
	minRetryBurst       = 2
)

// retryBudgets bounds, for each client account, how many unanswered reads are sent
// again. The field clock is set before use; it is safe for concurrent use.
type retryBudgets struct {
	clock coltsfootloft.Clock

	mu       sync.Mutex
	accounts map[string]*accountRetries
}

// accountRetries is the budget of one client account.
type accountRetries struct {
	budget  budget.Budget
	minimum bucket.Bucket
}

// AddRequest counts a request, which adds to the account's budget.
func (r *retryBudgets) AddRequest(account string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, _ := r.account(account)
	a.budget.Offer()
}

// AddSuccess counts a request that was answered.
func (r *retryBudgets) AddSuccess(account string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, now := r.account(account)
	a.budget.Success(now)
}

// Available reports whether a read may be sent again, without taking it from the
// budget.
func (r *retryBudgets) Available(account string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, now := r.account(account)
	return a.minimum.Available(now) >= 1 || a.budget.Available(now)
}

// Take reports whether a read may be sent again, and takes it from the budget.
func (r *retryBudgets) Take(account string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, now := r.account(account)
	return a.minimum.Take(now, 1) || a.budget.Allow(now)
}

func (r *retryBudgets) account(name string) (*accountRetries, time.Time) {
	now := bucket.At(r.clock.Elapsed())
	if r.accounts == nil {
		r.accounts = make(map[string]*accountRetries)
	}
	a := r.accounts[name]
	if a == nil {
		a = &accountRetries{
			budget:  budget.Budget{Share: retriesPerRequest},
			minimum: bucket.New(minRetriesPerSecond, minRetryBurst, now),
		}
		r.accounts[name] = a
	}
	return a, now
}
