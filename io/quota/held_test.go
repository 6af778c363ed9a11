package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"coltsfootloft/core/bucket"
	"coltsfootloft/io/duty"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/quota/quotapb"
)

// holder is a host whose callers hold operations back while their databases are down.
type holder struct {
	*Limiter
	held []heldOperation
}

type heldOperation struct {
	until   time.Duration // of its admission
	refused time.Duration // when it is given back if it was not sent
}

// tryAdmit admits an operation without waiting.
func (h *holder) tryAdmit(ctx context.Context) (time.Duration, bool) {
	ended, cancel := context.WithCancel(ctx)
	cancel()
	return h.Admit(ended, "arima")
}

// serve sends what may be sent if the databases are up, and gives back what has waited for too
// long. Some operations turn out not to have been sent. It returns the number of operations sent.
func (h *holder) serve(now time.Duration, up bool, random *rand.Rand) int {
	sent := 0
	var held []heldOperation
	for _, x := range h.held {
		switch {
		case up:
			until, ok := h.Send("arima", x.until)
			switch {
			case !ok:
			case random.IntN(10) == 0:
				h.Hold("arima", until)
				x.until = until
				held = append(held, x)
			default:
				sent++
			}
		case now >= x.refused:
			h.Return("arima", x.until)
		default:
			held = append(held, x)
		}
	}
	h.held = held
	return sent
}

// TestOperationsHeldBackKeepTheLimit guards against an account that exceeds its limit after its
// databases were out of reach (review/9). Its callers press meanwhile, so that operations are admitted,
// wait, are given back and admitted again while the buckets of the hosts and of the keeper fill. Demand,
// waits, outages and the order of reports are drawn.
func TestOperationsHeldBackKeepTheLimit(t *testing.T) {
	const (
		rate, burst = 100, 100 // of storeInEra
		window      = 5 * time.Second
		step        = 20 * time.Millisecond
		hosts       = 3
	)
	for n := range uint64(24) {
		random := rand.New(rand.NewPCG(n, n))
		keeper, clock := newKeeper(t)
		var all []*holder
		for i := range hosts {
			m := &mirror.Mirror{
				Store: storeInEra{era: 1},
				Peers: &recordedCalls{},
				Clock: clock,
				Log:   logr.Discard(),
			}
			m.Register()
			assert.NilError(t, m.Refresh(t.Context()))
			h := &holder{Limiter: &Limiter{
				Mirror: m,
				Clock:  clock,
				Log:    logr.Discard(),
				Duty: &duty.Duty{
					Name:   "quota-0",
					Self:   fmt.Sprint("h", i),
					Mirror: m,
				},
			}}
			h.lazyInit()
			all = append(all, h)
		}
		report := func(h *holder, onlyShort bool) {
			r := h.buildReport(clock.now, onlyShort)
			if len(r.GetLines()) > 0 {
				h.applyGrants(clock.now, &quotapb.Grants{Grants: keeper.grants(h.Duty.Self, r)})
			}
		}
		// callers are those of each host: each has one operation at a time.
		callers := 20 + random.IntN(200)
		wait := time.Duration(50+random.IntN(3000)) * time.Millisecond
		down := 3*time.Second + time.Duration(random.IntN(2000))*time.Millisecond
		up := down + time.Duration(500+random.IntN(8000))*time.Millisecond
		start := clock.now
		var sent []int // by step
		for since := time.Duration(0); since < up+window; since += step {
			clock.now = start + since
			isUp := since < down || since >= up
			count := 0
			for _, i := range random.Perm(hosts) {
				h := all[i]
				if since%(800*time.Millisecond) < step {
					report(h, false)
				}
				a := h.account("arima")
				for len(h.held) < callers {
					until, ok := h.tryAdmit(t.Context())
					if !ok {
						break
					}
					h.held = append(h.held, heldOperation{
						until:   until,
						refused: clock.now + time.Duration(float64(wait)*(0.5+random.Float64())),
					})
				}
				a.waiting = callers - len(h.held)
				report(h, true)
				count += h.serve(clock.now, isUp, random)
			}
			sent = append(sent, count)
		}
		// What the account gets once its databases are back, compared with one bucket for all hosts.
		const begin = 2 * time.Second
		back := 0
		for i, count := range sent {
			if at := time.Duration(i) * step; at >= up && at < up+begin {
				back += count
			}
		}
		ideal := rate*begin.Seconds() + min(burst, rate*(up-down).Seconds())
		assert.Assert(t, float64(back) >= 0.8*ideal, "%d operations in %v after the outage, %v with one bucket; %d callers of each host, outage from %v to %v, waits of %v",
			back, begin, ideal, callers, down, up, wait)
		allowed := rate*(window+admitLifetime+step).Seconds() + burst
		steps := int(window / step)
		sum := 0
		for i, count := range sent {
			sum += count
			if i >= steps {
				sum -= sent[i-steps]
			}
			assert.Assert(t, float64(sum) <= allowed+1e-6, "%d operations in %v until %v, %v are allowed; %d callers of each host, outage from %v to %v, waits of %v",
				sum, window, time.Duration(i)*step, allowed, callers, down, up, wait)
		}
	}
}

// TestReturnedOperationIsOne guards against an operation that is given back twice: to the bucket, as far
// as that has room, and as one of those that were lent.
func TestReturnedOperationIsOne(t *testing.T) {
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
