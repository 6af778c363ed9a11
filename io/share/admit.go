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
	ledger *Ledger

	mutex  sync.Mutex
	limit  coltsfootloft.Account
	homes  []home
	first  bool
	old    former
	rounds rounds
	// rateAfter is when a round for rate alone may begin.
	rateAfter time.Time
	// stocks is what lenders had left.
	stocks  map[string]stock
	rate    loan.Rate
	waiters []*waiter
	waiting float64
	timer   clockwork.Timer
}

// former is an account's settings before a change of its home seats.
type former struct {
	limit coltsfootloft.Account
	homes []home
	until time.Time
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
	e.kick(now)
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
	e.serveLocked(e.ledger.Clock.Now())
}

func (e *account) serveLocked(now time.Time) {
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

// ownWhole gives the whole limit to this host.
func (e *account) ownWhole(now, until time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.rate.Own(now, loan.NewPart(e.limit.Rate(), e.limit.Burst()), until)
	if e.first {
		e.first = false
		e.rate.Fill(now)
	}
	e.serveLocked(now)
}

// configure takes new settings in. The mutex is held.
func (e *account) configure(now time.Time, limit coltsfootloft.Account, homes []home) {
	if e.homes != nil && !reflect.DeepEqual(e.homes, homes) {
		e.old = former{
			limit: e.limit,
			homes: e.homes,
			until: now.Add(changeTime),
		}
	}
	e.limit = limit
	e.homes = homes
}

// partOf is what a seat owns. The mutex is held.
func (e *account) partOf(now time.Time, domain string, n int) loan.Part {
	p := ownRate(e.limit, e.homes, domain, n)
	if now.Before(e.old.until) {
		return p.Min(ownRate(e.old.limit, e.old.homes, domain, n))
	}
	return p
}

// own gives this host the parts of the seats that it uses.
func (e *account) own(now time.Time, u use) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var sum loan.Part
	tokens := 0.0
	for _, n := range u.seats {
		part := e.partOf(now, u.domain, n)
		sum = sum.Plus(part)
		s := u.started[n]
		tokens += min(s.tokens[e.limit.Name()], part.Burst())
		if s.fresh && e.first {
			tokens += part.Burst()
		}
	}
	e.rate.Own(now, sum, u.until)
	e.rate.Credit(now, tokens)
	e.serveLocked(now)
}

// handBack takes the tokens that belong to a seat out of the bucket.
func (e *account) handBack(now time.Time, domain string, n int) float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	part := e.partOf(now, domain, n).Burst()
	held := e.rate.Held(now).Burst()
	if part == 0 || held <= 0 {
		return 0
	}
	return e.rate.Debit(now, e.rate.Available(now)*min(part/held, 1))
}

func (e *account) isHome(domain string, n int) bool { return isHome(e.homes, domain, n) }

func (e *account) refusal(why string) error {
	return coltsfootloft.Refuse(
		coltsfootloft.CodeRate,
		"client account "+e.limit.Name()+" is over its rate: "+why,
	).WithHint("Send it again later, or ask the operator for a higher rate or burst.")
}
