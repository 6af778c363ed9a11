package share

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"coltsfootloft"
	"coltsfootloft/core/bucket"
	"coltsfootloft/core/loan"
)

// account is this host's part of one client account.
type account struct {
	limiter *Limiter
	name    string

	mutex  sync.Mutex
	limit  coltsfootloft.Account
	owners []owningSeats
	// startsFull is set for the accounts of the first settings. Their bucket is full
	// at first on the only host, and gets a seat's whole burst if the seat was never
	// taken before.
	startsFull bool
	previous   previousLimit
	rounds     rounds
	// rateAfter is the earliest time of the next round for rate alone.
	rateAfter time.Time
	// lenders holds what is known of each lender's tokens.
	lenders map[string]lenderState
	rate    loan.Rate
	waiters []*waiter
	waiting float64
	timer   clockwork.Timer
}

// previousLimit is an account's settings before a change of its owning seats.
type previousLimit struct {
	limit  coltsfootloft.Account
	owners []owningSeats
	until  time.Time
}

// waiter is a request that waits for tokens; ready is closed when it is admitted.
type waiter struct {
	cost  float64
	ready chan struct{}
}

func (e *account) admit(ctx context.Context, cost float64) error {
	now := e.limiter.Clock.Now()
	e.mutex.Lock()
	e.rate.Demand(now, cost)
	if len(e.waiters) == 0 && e.rate.Take(now, cost) {
		e.mutex.Unlock()
		return nil
	}
	w, ok := e.enqueue(now, cost)
	e.trigger(now)
	e.mutex.Unlock()
	if !ok {
		return e.refusal("too many statements wait for its rate")
	}
	return e.await(ctx, w)
}

func (e *account) enqueue(now time.Time, cost float64) (*waiter, bool) {
	if len(e.waiters) >= e.limiter.waiters() || cost > e.limit.Burst() {
		return nil, false
	}
	w := &waiter{
		cost:  cost,
		ready: make(chan struct{}),
	}
	e.waiters = append(e.waiters, w)
	e.waiting += cost
	e.arm(now)
	return w, true
}

func (e *account) await(ctx context.Context, w *waiter) error {
	timeout := e.limiter.Clock.NewTimer(e.limiter.wait())
	defer timeout.Stop()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	case <-timeout.Chan():
	}
	if e.removeWaiter(w) {
		return e.refusal("no token of its rate came free in time")
	}
	return nil
}

// removeWaiter removes a waiter from the queue and reports false if it has been admitted.
func (e *account) removeWaiter(w *waiter) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for i, o := range e.waiters {
		if o == w {
			e.waiters = append(e.waiters[:i], e.waiters[i+1:]...)
			e.waiting -= w.cost
			return true
		}
	}
	return false
}

// serveWaiters admits waiters in order while tokens last.
func (e *account) serveWaiters() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.serveWaitersLocked(e.limiter.Clock.Now())
}

func (e *account) serveWaitersLocked(now time.Time) {
	for len(e.waiters) > 0 && e.rate.Take(now, e.waiters[0].cost) {
		w := e.waiters[0]
		e.waiters = e.waiters[1:]
		e.waiting -= w.cost
		close(w.ready)
	}
	e.arm(now)
}

// arm sets the timer for when there will be enough tokens for the first waiter.
func (e *account) arm(now time.Time) {
	if len(e.waiters) == 0 {
		e.waiters = nil
		e.waiting = 0
		return
	}
	d := e.rate.Wait(now, e.waiters[0].cost)
	if d == bucket.Never {
		return
	}
	if e.timer != nil {
		e.timer.Stop()
	}
	e.timer = e.limiter.Clock.AfterFunc(d, e.serveWaiters)
}

// ownWhole assigns the whole limit to this host.
func (e *account) ownWhole(now, until time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.rate.Own(now, loan.NewPart(e.limit.Rate(), e.limit.Burst()), until)
	if e.startsFull {
		e.startsFull = false
		e.rate.Fill(now)
	}
	e.serveWaitersLocked(now)
}

// configure applies new settings. The mutex is held.
func (e *account) configure(now time.Time, limit coltsfootloft.Account, owners []owningSeats) {
	if e.owners != nil && !reflect.DeepEqual(e.owners, owners) {
		e.previous = previousLimit{
			limit:  e.limit,
			owners: e.owners,
			until:  now.Add(propagationTime),
		}
	}
	e.limit = limit
	e.owners = owners
}

// seatPart returns the part that a seat owns. The mutex is held.
func (e *account) seatPart(now time.Time, domain string, n int) loan.Part {
	p := ownedRate(e.limit, e.owners, domain, n)
	if now.Before(e.previous.until) {
		return p.Min(ownedRate(e.previous.limit, e.previous.owners, domain, n))
	}
	return p
}

// own assigns the parts of the seats in use to this host.
func (e *account) own(now time.Time, u activeSeats) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var sum loan.Part
	tokens := 0.0
	for _, n := range u.seats {
		part := e.seatPart(now, u.domain, n)
		sum = sum.Plus(part)
		s := u.initial[n]
		tokens += min(s.tokens[e.limit.Name()], part.Burst())
		if s.firstTake && e.startsFull {
			tokens += part.Burst()
		}
	}
	e.rate.Own(now, sum, u.until)
	e.rate.Credit(now, tokens)
	e.serveWaitersLocked(now)
}

// handBack removes the tokens that belong to a seat from the bucket and returns
// their number.
func (e *account) handBack(now time.Time, domain string, n int) float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	part := e.seatPart(now, domain, n).Burst()
	held := e.rate.Held(now).Burst()
	if part == 0 || held <= 0 {
		return 0
	}
	return e.rate.Debit(now, e.rate.Available(now)*min(part/held, 1))
}

func (e *account) isOwner(domain string, n int) bool { return isOwner(e.owners, domain, n) }

func (e *account) refusal(reason string) error {
	return coltsfootloft.Refuse(
		coltsfootloft.CodeRate,
		"client account "+e.name+" is over its rate: "+reason,
	).WithHint("Send it again later, or ask the operator for a higher rate or burst.")
}
