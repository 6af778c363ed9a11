package share

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"coltsfootloft"
	"coltsfootloft/core/bucket"
	"coltsfootloft/core/loan"
)

// account is this host's part of one client account.
type account struct {
	ledger *Ledger

	mutex   sync.Mutex
	limit   coltsfootloft.Account
	rate    loan.Rate
	waiters []*waiter
	waiting float64
	timer   clockwork.Timer
}

// waiter is a request that is short of tokens.
type waiter struct {
	cost  float64
	ready chan struct{}
}

func (e *account) admit(ctx context.Context, cost float64) error {
	now := e.ledger.Clock.Now()
	e.mutex.Lock()
	e.rate.Demand(now, cost)
	if len(e.waiters) == 0 && e.rate.Take(now, cost) {
		e.mutex.Unlock()
		return nil
	}
	w, ok := e.enqueue(now, cost)
	e.mutex.Unlock()
	if !ok {
		return e.refusal("too many statements wait for its rate")
	}
	return e.await(ctx, w)
}

func (e *account) enqueue(now time.Time, cost float64) (*waiter, bool) {
	if len(e.waiters) >= e.ledger.waiters() || cost > e.limit.Burst() {
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
	timeout := e.ledger.Clock.NewTimer(e.ledger.wait())
	defer timeout.Stop()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	case <-timeout.Chan():
	}
	if e.withdraw(w) {
		return e.refusal("no token of its rate came free in time")
	}
	return nil
}

// withdraw takes a waiter out of the queue, unless it has been admitted.
func (e *account) withdraw(w *waiter) bool {
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

// serve admits waiters in their order while tokens last.
func (e *account) serve() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.ledger.Clock.Now()
	for len(e.waiters) > 0 && e.rate.Take(now, e.waiters[0].cost) {
		w := e.waiters[0]
		e.waiters = e.waiters[1:]
		e.waiting -= w.cost
		close(w.ready)
	}
	e.arm(now)
}

// arm sets the timer for when the first waiter's tokens will have come in.
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
	e.timer = e.ledger.Clock.AfterFunc(d, e.serve)
}

func (e *account) refusal(why string) error {
	return coltsfootloft.Refuse(
		coltsfootloft.CodeRate,
		"client account "+e.limit.Name()+" is over its rate: "+why,
	).WithHint("Send it again later, or ask the operator for a higher rate or burst.")
}
