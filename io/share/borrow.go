package share

import (
	"context"
	"slices"
	"time"

	"coltsfootloft/core/loan"
)

const (
	// ratePeriod is the length of a loan of rate.
	ratePeriod = 3 * time.Second
	// scanEvery is the time between looks at which loans are due for renewal.
	scanEvery = 250 * time.Millisecond
	// firstBackoff and lastBackoff bound the pause between rounds that did not
	// find enough.
	firstBackoff = 20 * time.Millisecond
	lastBackoff  = 400 * time.Millisecond
	// maxKicks bounds the rounds that wait to begin.
	maxKicks = 1024
	// negligible is a rate or number of tokens that is not worth a loan.
	negligible = 0.01
)

// borrower is an account or a database of this host.
type borrower interface {
	// round asks other hosts for what is missing.
	round(ctx context.Context)
	// begin reports whether a round is due, and if so marks it as running.
	begin(now time.Time) bool
}

// rounds is the state of one borrower's rounds.
type rounds struct {
	running bool
	after   time.Time
	backoff time.Duration
}

// finish ends a round and returns the pause until the next if it fell short.
func (r *rounds) finish(now time.Time, short bool) time.Duration {
	r.running = false
	if !short {
		r.backoff = 0
		return 0
	}
	r.backoff = min(max(2*r.backoff, firstBackoff), lastBackoff)
	r.after = now.Add(r.backoff)
	return r.backoff
}

// start marks a round as running, unless one is or the pause is not over.
func (r *rounds) start(now time.Time) bool {
	if r.running || now.Before(r.after) {
		return false
	}
	r.running = true
	return true
}

// borrowDuty runs the rounds of all borrowers, each in a task of its own.
func (l *Ledger) borrowDuty(ctx context.Context) {
	tick := l.Clock.NewTicker(scanEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-l.kicks:
			l.spawn(func() { b.round(ctx) })
		case <-tick.Chan():
			l.scan(ctx)
		}
	}
}

func (l *Ledger) scan(ctx context.Context) {
	now := l.Clock.Now()
	for _, e := range load(&l.accounts) {
		if e.begin(now) {
			l.spawn(func() { e.round(ctx) })
		}
	}
	for _, d := range load(&l.databases) {
		if d.begin(now) {
			l.spawn(func() { d.round(ctx) })
		}
	}
}

// kick has a round begin soon, if none is running; r belongs to b.
func (l *Ledger) kick(now time.Time, b borrower, r *rounds) {
	if l.Store == nil || !r.start(now) {
		return
	}
	select {
	case l.kicks <- b:
	default:
		r.running = false
	}
}

func (e *account) kick(now time.Time) { e.ledger.kick(now, e, &e.rounds) }

// begin is called by the scan: a round is due when the rate falls short or a loan
// is in the second half of its period.
func (e *account) begin(now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	due := e.short(now)
	for _, h := range e.rate.Book().Lenders(now) {
		due = due || e.rate.Book().Due(now, h)
	}
	return due && e.rounds.start(now)
}

// short reports whether the part held is less than callers ask for.
func (e *account) short(now time.Time) bool {
	want := e.rate.Wanted(now, e.waiting)
	if e.rate.Available(now) < e.waiting {
		return true
	}
	return e.rate.Held(now).Rate()*demandSlack < want.Rate()-negligible
}

// demandSlack is how much less than wanted is held without a round: what is
// wanted has some headroom over the demand.
const demandSlack = 1.25

func (e *account) round(ctx context.Context) {
	name, homes := e.settings()
	near, far := e.ledger.lendersOf(name, homes)
	all := slices.Concat(near, far)
	e.borrow(ctx, near, all)
	e.borrow(ctx, far, far)
	for _, h := range all {
		if !e.isShort() {
			break
		}
		e.borrow(ctx, []string{h}, []string{h})
	}
	now := e.ledger.Clock.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if d := e.rounds.finish(now, e.short(now)); d > 0 && len(e.waiters) > 0 {
		e.ledger.Clock.AfterFunc(d, e.retry)
	}
}

func (e *account) settings() (name string, homes []home) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.limit.Name(), e.homes
}

func (e *account) retry() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.waiters) > 0 {
		e.kick(e.ledger.Clock.Now())
	}
}

func (e *account) isShort() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.short(e.ledger.Clock.Now())
}

// borrow asks some lenders, side by side, for equal parts of what is missing when
// the loans from the lenders in without are not counted.
func (e *account) borrow(ctx context.Context, from, without []string) {
	if len(from) == 0 || ctx.Err() != nil {
		return
	}
	sent := e.open(ctx, from, without)
	for host, q := range sent {
		g, ok := <-q.answer
		now := e.ledger.Clock.Now()
		e.mutex.Lock()
		if !ok || !e.rate.Accept(now, host, q.ask, g) {
			e.rate.Abandon(now, host, q.ask)
		}
		e.serveLocked(now)
		e.mutex.Unlock()
	}
}

// open sends the asks of borrow.
func (e *account) open(ctx context.Context, from, without []string) map[string]*errand {
	now := e.ledger.Clock.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	wanted := e.rate.Wanted(now, e.waiting)
	held := e.rate.Held(now)
	for _, h := range without {
		p, _ := e.rate.Book().Loan(now, h)
		held = held.Minus(p)
	}
	share := 1 / float64(len(from))
	want := wanted.Minus(held).Scale(share)
	tokens := max(wanted.Burst()-e.rate.Available(now), 0) * share
	sent := make(map[string]*errand)
	for _, h := range from {
		have, _ := e.rate.Book().Loan(now, h)
		if have.IsZero() && want.Rate() < negligible && tokens < negligible {
			continue
		}
		q := &errand{
			name: e.limit.Name(),
			ask:  e.rate.Ask(now, h, want, tokens),
		}
		e.ledger.lenders.send(ctx, h, q)
		sent[h] = q
	}
	return sent
}

// lend answers the ask of another host.
func (e *account) lend(borrower string, a loan.Ask) loan.Grant {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.ledger.Clock.Now()
	g := e.rate.Lend(now, borrower, a, e.waiting, ratePeriod)
	e.arm(now)
	return g
}
