package host

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"coltsfootloft/core/budget"
)

// retries holds the retry budget of each client account.
type retries struct {
	clock clockwork.Clock
	share func() float64

	mu  sync.Mutex
	all map[string]*allowance
}

// allowance is the budget of one account, by the share that was set.
type allowance struct {
	share  float64
	budget budget.Budget
}

// Offer counts the first attempt of a request.
func (r *retries) Offer(account string) { r.of(account).budget.Offer() }

// Succeed counts a request that a database answered.
func (r *retries) Succeed(account string) { r.of(account).budget.Success(r.clock.Now()) }

// Spend reports whether one more repeat is within the budget.
func (r *retries) Spend(account string) bool {
	a := r.of(account)
	return a.share > 0 && a.budget.Allow(r.clock.Now())
}

// of returns the budget of an account, a new one if the setting has changed.
func (r *retries) of(account string) *allowance {
	share := r.share()
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.all[account]
	if ok && a.share == share {
		return a
	}
	if r.all == nil {
		r.all = make(map[string]*allowance)
	}
	a = &allowance{
		share:  share,
		budget: budget.Budget{Share: share},
	}
	r.all[account] = a
	return a
}
