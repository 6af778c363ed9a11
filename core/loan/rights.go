package loan

import (
	"math"
	"time"
)

// suspensionOverrun is how long after the end of a loan its rights are not used by the
// lender. A borrower that is suspended keeps its connections open. One that is suspended
// for longer than a session of the platform's store (10 s) loses its own seats as well.
const suspensionOverrun = 10 * time.Second

// Rights is one host's part of the connections that a database accepts: a [Book]
// whose parts have only a burst, in whole connections, and the number in use. The
// zero value grants none. It is not safe for concurrent use.
type Rights struct {
	book Book
	used int
}

// Own sets the number of rights that this host owns until its lease ends.
func (r *Rights) Own(n int, until time.Time) { r.book.Own(partOf(n), until) }

// Owned returns the number of rights that this host owns now.
func (r *Rights) Owned(now time.Time) int { return rightsOf(r.book.Owned(now)) }

// Held returns the number of rights that this host may use now.
func (r *Rights) Held(now time.Time) int { return rightsOf(r.book.Held(now)) }

// Used returns the number of rights in use. It exceeds Held while connections are
// being closed after a lease or loan has ended.
func (r *Rights) Used() int { return r.used }

// Free returns the number of rights that can be taken now. If it is negative, that
// many connections must be closed.
func (r *Rights) Free(now time.Time) int { return r.Held(now) - r.used }

// FreeUntil returns the number of rights that can be taken now and used until a later time. If it is
// negative, that many connections must be closed by then.
func (r *Rights) FreeUntil(now, at time.Time) int {
	return min(r.Held(now), rightsOf(r.book.Forecast(at))) - r.used
}

// Excess returns the number of connections that must be closed by a later time,
// because a lease or loan ends before it and has not been renewed.
func (r *Rights) Excess(now, at time.Time) int { return max(-r.FreeUntil(now, at), 0) }

// Take puts one right to use, or reports false if none is free.
func (r *Rights) Take(now time.Time) bool {
	if r.Free(now) <= 0 {
		return false
	}
	r.used++
	return true
}

// Release ends the use of one right. It panics if none is in use.
func (r *Rights) Release() {
	if r.used == 0 {
		panic("loan: release of a right that is not in use")
	}
	r.used--
}

// Book returns the book of the loans.
func (r *Rights) Book() *Book { return &r.book }

// Request opens a request to a lender for a loan of want rights in total. If the current
// loan is larger, the surplus is given back at once as far as it is free.
func (r *Rights) Request(now time.Time, lender string, want int) Request {
	have, _ := r.book.Loan(now, lender)
	keep := rightsOf(have)
	keep -= min(max(keep-want, 0), max(r.Free(now), 0))
	a := r.book.Request(now, lender, partOf(keep), 0)
	a.Want = partOf(max(want, keep))
	return a
}

// Accept applies the answer to a request. It reports false if the request is no
// longer open or the loan has already ended.
func (r *Rights) Accept(now time.Time, lender string, a Request, g Grant) bool {
	return r.book.Accept(now, lender, a.Sequence, g)
}

// Abandon closes a request that got no answer.
func (r *Rights) Abandon(now time.Time, lender string, a Request) {
	r.book.Abandon(now, lender, a.Sequence)
}

// Lend answers a request with as many rights as it wants, up to those that this host
// has free beyond what its own callers wait for.
func (r *Rights) Lend(now time.Time, borrower string, a Request, waiting int, period Period) Grant {
	if !r.book.Receive(now, borrower, a) {
		return Grant{}
	}
	spare := max(r.Free(now)-waiting, 0)
	n := min(rightsOf(a.Want), rightsOf(a.Kept)+spare)
	n = min(n, rightsOf(r.book.Lendable(now, borrower)))
	r.book.overrun = suspensionOverrun
	g, _ := r.book.Lend(now, borrower, partOf(n), period)
	return g
}

// Yield gives up to n free rights back to their lender after a recall, and returns
// the sequence number of the loan and the number of rights that are left of it. It
// reports false without a loan or while a request to that lender is open.
func (r *Rights) Yield(now time.Time, lender string, n int) (sequence uint64, kept int, ok bool) {
	have, _ := r.book.Loan(now, lender)
	n = min(n, max(r.Free(now), 0), rightsOf(have))
	sequence, left, ok := r.book.Yield(now, lender, partOf(rightsOf(have)-n))
	return sequence, rightsOf(left), ok
}

func partOf(n int) Part { return NewPart(0, float64(n)) }

func rightsOf(p Part) int { return int(math.Floor(p.burst + 0.5)) }
