package host

import (
	"sync"

	"github.com/jonboulle/clockwork"

	"coltsfootloft/core/budget"
)

// retryBudgets holds the retry budget of each client account. It is safe for
// concurrent use.
type retryBudgets struct {
	clock clockwork.Clock
	share func() float64

	mu       sync.Mutex
	accounts map[string]*accountBudget
}

// accountBudget is the retry budget of one account and the share, in retries per
// request, that it was created with.
type accountBudget struct {
	share  float64
	budget budget.Budget
}

// Offer counts the first attempt of a request.
func (r *retryBudgets) Offer(account string) { r.budgetOf(account).budget.Offer() }

// Succeed counts a request that a database has answered.
func (r *retryBudgets) Succeed(account string) { r.budgetOf(account).budget.Success(r.clock.Now()) }

// Spend reports whether the budget allows one more retry, and if so deducts it. It
// allows none if the share in the settings is zero.
func (r *retryBudgets) Spend(account string) bool {
	a := r.budgetOf(account)
	return a.share > 0 && a.budget.Allow(r.clock.Now())
}

// budgetOf returns the budget of an account, a new one if the share has changed.
func (r *retryBudgets) budgetOf(account string) *accountBudget {
	share := r.share()
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.accounts[account]
	if ok && a.share == share {
		return a
	}
	if r.accounts == nil {
		r.accounts = make(map[string]*accountBudget)
	}
	a = &accountBudget{
		share:  share,
		budget: budget.Budget{Share: share},
	}
	r.accounts[account] = a
	return a
}
