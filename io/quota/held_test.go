package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/bucket"
	"coltsfootloft/io/quota/quotapb"
)

// callers are the callers of one account on one host. Each has one operation at a time, which it
// begins again when it is refused.
type callers struct {
	*Limiter
	number  int
	wait    time.Duration // of an operation for a database, on average
	waiting []waitingOperation
}

type waitingOperation struct {
	admitted time.Duration // until this time
	refused  time.Duration // at this time, if it was not sent
}

// begin admits operations of all callers that have none, as far as the rate allows.
func (c *callers) begin(ctx context.Context, now time.Duration, random *rand.Rand) {
	ctx, cancel := context.WithCancel(ctx)
	cancel() // admits without waiting
	for len(c.waiting) < c.number {
		until, ok := c.Admit(ctx, "arima")
		if !ok {
			break
		}
		c.waiting = append(c.waiting, waitingOperation{
			admitted: until,
			refused:  now + time.Duration(float64(c.wait)*(0.5+random.Float64())),
		})
	}
	c.account("arima").waiting = c.number - len(c.waiting)
}

// serve sends operations if the databases are up, and refuses those that have waited for too long.
// Some of them turn out not to have been sent. It returns the number of operations sent.
func (c *callers) serve(now time.Duration, isUp bool, random *rand.Rand) int {
	sent := 0
	var waiting []waitingOperation
	for _, x := range c.waiting {
		if !isUp {
			if now >= x.refused {
				c.Return("arima", x.admitted)
			} else {
				waiting = append(waiting, x)
			}
			continue
		}
		until, ok := c.Send("arima", x.admitted)
		switch {
		case !ok:
		case random.IntN(10) == 0:
			c.Hold("arima", until)
			x.admitted = until
			waiting = append(waiting, x)
		default:
			sent++
		}
	}
	c.waiting = waiting
	return sent
}

// sumOf returns the number of operations sent in the steps from first until last.
func sumOf(sent []int, first, last int) float64 {
	sum := 0
	for _, n := range sent[max(first, 0):min(last, len(sent))] {
		sum += n
	}
	return float64(sum)
}

// TestWaitingOperationsKeepTheLimit guards against an account that exceeds its limit after its databases
// were out of reach (review/9), or has lost its burst then. Its callers ask for more than the rate meanwhile,
// so that operations are admitted, wait, are returned and admitted again while the buckets of the hosts and
// of the keeper fill. Demand, waits, outages and the order of reports are drawn.
func TestWaitingOperationsKeepTheLimit(t *testing.T) {
	const (
		rate, burst = 100, 100 // of storeInEra
		step        = 20 * time.Millisecond
		window      = 5 * time.Second / step
		recovery    = 2 * time.Second / step
	)
	for seed := range uint64(24) {
		random := rand.New(rand.NewPCG(seed, seed))
		keeper, clock := newKeeper(t)
		number := 20 + random.IntN(200)
		wait := time.Duration(50+random.IntN(3000)) * time.Millisecond
		down := (3*time.Second + time.Duration(random.IntN(2000))*time.Millisecond) / step
		up := down + (500*time.Millisecond+time.Duration(random.IntN(8000))*time.Millisecond)/step
		var all []*callers
		for i := range 3 {
			all = append(all, &callers{
				Limiter: newLimiter(t, fmt.Sprint("h", i), clock),
				number:  number,
				wait:    wait,
			})
		}
		report := func(c *callers, onlyShort bool) {
			r := c.buildReport(clock.now, onlyShort)
			if len(r.GetLines()) > 0 {
				c.applyGrants(clock.now, &quotapb.Grants{Grants: keeper.grants(c.Duty.Self, r)})
			}
		}
		var sent []int // in each step
		for i := range up + window {
			clock.now += step
			count := 0
			for _, h := range random.Perm(len(all)) {
				c := all[h]
				if i%(reportPeriod/step) == 0 {
					report(c, false)
				}
				c.begin(t.Context(), clock.now, random)
				report(c, true)
				count += c.serve(clock.now, i < down || i >= up, random)
			}
			sent = append(sent, count)
		}
		about := fmt.Sprintf("seed %d: %d callers of each host, outage from %v to %v, waits of %v", seed, number, down*step, up*step, wait)
		allowed := rate*(window*step+admitLifetime+step).Seconds() + burst
		for i := range len(sent) + 1 {
			assert.Assert(t, sumOf(sent, i-int(window), i) <= allowed, about)
		}
		// One bucket for all hosts would have filled during the outage. Loans that have not expired yet are missing.
		full := rate*(recovery*step-admitLifetime).Seconds() + min(burst, rate*((up-down)*step).Seconds())
		assert.Assert(t, sumOf(sent, int(up), int(up+recovery)) >= full, about)
	}
}

// TestReturnedOperationCountsOnce guards against an operation that is returned as more than one: to the
// bucket, up to its depth, and whole to those that were lent.
func TestReturnedOperationCountsOnce(t *testing.T) {
	l, clock := newKeeper(t)
	grantTo(l, clock, 0.001, 3)
	a := l.account("arima")
	a.bucket.Credit(bucket.At(clock.now), 1.5)
	until, ok := l.Admit(t.Context(), "arima")
	assert.Assert(t, ok)
	grantTo(l, clock, 0.001, 1)
	l.Return("arima", until)
	l.Return("arima", until)
	assert.Equal(t, a.bucket.Available(bucket.At(clock.now))+a.lent.Count(clock.now), 1.5)
	clock.now = until
	a.expire(clock.now)
	assert.Equal(t, a.lent.Count(clock.now)+a.unused, 0.5)
}
