package loan

import (
	"math"
	"time"
)

// Rights is one host's part of the connections that a database takes: a book
// whose parts have a burst only, in whole connections, and the number in use.
// The zero value grants none. It is not safe for concurrent use.
type Rights struct {
	book Book
	used int
}

// Own sets the number of rights that this host owns until its lease ends.
func (r *Rights) Own(n int, until time.Time) { r.book.Own(rights(n), until) }

// Owned is the number of rights that this host owns now.
func (r *Rights) Owned(now time.Time) int { return whole(r.book.Owned(now)) }

// Held is the number of rights that this host may use now.
func (r *Rights) Held(now time.Time) int { return whole(r.book.Held(now)) }

// Used is the number of rights in use. It exceeds Held while connections are
// being closed after a lapse.
func (r *Rights) Used() int { return r.used }

// Free is the number of rights that can be taken now; it is negative by the
// number of connections that must be closed.
func (r *Rights) Free(now time.Time) int { return r.Held(now) - r.used }

// Excess is the number of connections that must be closed by a later time,
// because a lease or loan ends until then and nothing has come in its place.
func (r *Rights) Excess(now, at time.Time) int {
	held := min(r.Held(now), whole(r.book.Forecast(at)))
	return max(r.used-held, 0)
}

// Take uses one right, or reports false.
func (r *Rights) Take(now time.Time) bool {
	if r.Free(now) <= 0 {
		return false
	}
	r.used++
	return true
}

// Release ends the use of one right.
func (r *Rights) Release() {
	if r.used == 0 {
		panic("loan: release of a right that is not in use")
	}
	r.used--
}

// Book gives access to the loans.
func (r *Rights) Book() *Book { return &r.book }

// Request opens a request to a lender for a loan of want rights in all. Of a larger
// loan as many are given back at once as are free.
func (r *Rights) Request(now time.Time, lender string, want int) Request {
	have, _ := r.book.Loan(now, lender)
	keep := whole(have)
	keep -= min(max(keep-want, 0), max(r.Free(now), 0))
	a := r.book.Request(now, lender, rights(keep), 0)
	a.Want = rights(max(want, keep))
	return a
}

// Accept takes the answer to an ask in.
func (r *Rights) Accept(now time.Time, lender string, a Request, g Grant) bool {
	return r.book.Accept(now, lender, a.Sequence, g)
}

// Abandon gives up an ask whose answer did not come.
func (r *Rights) Abandon(now time.Time, lender string, a Request) {
	r.book.Abandon(now, lender, a.Sequence)
}

// Lend answers an ask with as many rights as it wants and this host has free,
// besides those that its own callers wait for.
func (r *Rights) Lend(now time.Time, borrower string, a Request, waiting int, period Period) Grant {
	if !r.book.Receive(now, borrower, a) {
		return Grant{}
	}
	spare := max(r.Free(now)-waiting, 0)
	n := min(whole(a.Want), whole(a.Kept)+spare)
	n = min(n, whole(r.book.Lendable(now, borrower)))
	g, _ := r.book.Lend(now, borrower, rights(n), period)
	return g
}

// Yield gives free rights back to their lender on its order and returns the
// sequence number and size of what is left of the loan.
func (r *Rights) Yield(now time.Time, lender string, n int) (sequence uint64, kept int, ok bool) {
	have, _ := r.book.Loan(now, lender)
	n = min(n, max(r.Free(now), 0), whole(have))
	sequence, left, ok := r.book.Yield(now, lender, rights(whole(have)-n))
	return sequence, whole(left), ok
}

func rights(n int) Part { return NewPart(0, float64(n)) }

func whole(p Part) int { return int(math.Floor(p.burst + 0.5)) }
