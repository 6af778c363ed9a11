package host

import (
	"sync"

	"coltsfootloft/core/budget"

	"github.com/jonboulle/clockwork"
)

// retries holds the retry budget of each client account.
type retries struct {
	clock clockwork.Clock
	share func() float64

	mu  sync.Mutex
	all map[string]*budget.Budget
}

// Offer counts the first attempt of a request.
func (r *retries) Offer(account string) { r.of(account).Offer() }

// Succeed counts a request that a database answered.
func (r *retries) Succeed(account string) { r.of(account).Success(r.clock.Now()) }

// Spend reports whether one more repeat is within the budget.
func (r *retries) Spend(account string) bool { return r.of(account).Allow(r.clock.Now()) }

func (r *retries) of(account string) *budget.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.all[account]
	if !ok {
		if r.all == nil {
			r.all = make(map[string]*budget.Budget)
		}
		b = &budget.Budget{Share: r.share()}
		r.all[account] = b
	}
	return b
}
