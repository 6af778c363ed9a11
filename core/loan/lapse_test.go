package loan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLapsedLeaseAdmitsNothing guards against the use of a lapsed lease by a host
// that was paused past its end: the first use after the pause must read the clock.
func TestLapsedLeaseAdmitsNothing(t *testing.T) {
	var r Rate
	r.Own(epoch, NewPart(10, 20), epoch.Add(time.Second))
	r.Fill(epoch)
	assert.Assert(t, r.Take(epoch.Add(999*time.Millisecond), 1))
	assert.Assert(t, !r.Take(epoch.Add(time.Second), 1))
	assert.Equal(t, r.Available(epoch.Add(time.Hour)), 0.0)
	r.Own(epoch.Add(time.Hour), NewPart(10, 20), epoch.Add(2*time.Hour))
	assert.Assert(t, !r.Take(epoch.Add(time.Hour), 1), "tokens outlived the lapse")

	var c Rights
	c.Own(3, epoch.Add(time.Second))
	assert.Assert(t, c.Take(epoch))
	assert.Assert(t, !c.Take(epoch.Add(time.Second)))
	assert.Equal(t, c.Excess(epoch, epoch.Add(time.Second)), 1)
}

// TestLoanEndsWithTheLease checks that nothing is lent past the lender's lease,
// and that the borrower's period runs from when it sent the request.
func TestLoanEndsWithTheLease(t *testing.T) {
	var lender, borrower Rate
	lender.Own(epoch, NewPart(10, 20), epoch.Add(2*time.Second))
	lender.Fill(epoch)
	a := borrower.Request(epoch, "lender", NewPart(10, 20), 5)
	received := epoch.Add(500 * time.Millisecond)
	g := lender.Lend(received, "borrower", a, 0)
	assert.Assert(t, g.Period < 1500*time.Millisecond)
	assert.Assert(t, borrower.Accept(received, "lender", a, g))
	assert.Assert(t, borrower.Take(epoch.Add(g.Period-time.Millisecond), 1))
	assert.Assert(t, !borrower.Take(epoch.Add(g.Period), 1))
}

// TestLostGrantIsNotDoubled guards against counting a part twice when a grant is lost:
// its tokens are gone, and the lender may use the rate again only when the loan has
// ended by its own count.
func TestLostGrantIsNotDoubled(t *testing.T) {
	var lender, borrower Rate
	lender.Own(epoch, NewPart(10, 20), epoch.Add(time.Hour))
	lender.Fill(epoch)
	a := borrower.Request(epoch, "lender", NewPart(10, 20), 20)
	g := lender.Lend(epoch, "borrower", a, 0)
	assert.Assert(t, g.Tokens > 10)
	borrower.Abandon(epoch, "lender", a)
	assert.Assert(t, !borrower.Accept(epoch, "lender", a, g))
	assert.Assert(t, lender.Available(epoch) <= 20-g.Tokens+1e-9)
	assert.Equal(t, lender.Held(epoch), NewPart(0, 0))
	assert.Equal(t, lender.Held(epoch.Add(RatePeriod+RatePeriod/driftDivisor)), NewPart(10, 20))
}
