package entry

import (
	"sync"
	"time"

	"coltsfootloft/core/bucket"
	"coltsfootloft/core/budget"
)

// repeatsPerRequest is how many reads that were not answered may be sent again, for
// each request: databases that lose answers lose some in a hundred, and one that has
// too much to do must not get much more for it.
const repeatsPerRequest = 0.05

// moment is the time of budgets.
func (s *Server) moment() time.Time { return bucket.At(s.Clock.Elapsed()) }

// repeats holds the budgets of the client accounts, from which reads that were not
// answered are sent again. The zero value is ready to use.
type repeats struct {
	mu      sync.Mutex
	budgets map[string]*budget.Budget
}

// For returns the budget of an account.
func (r *repeats) For(account string) *budget.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.budgets == nil {
		r.budgets = make(map[string]*budget.Budget)
	}
	b := r.budgets[account]
	if b == nil {
		b = &budget.Budget{Share: repeatsPerRequest}
		r.budgets[account] = b
	}
	return b
}
