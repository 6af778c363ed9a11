package share

import (
	"context"
	"slices"
	"time"

	"coltsfootloft/core/loan"
)

const (
	// scanEvery is the time between checks for loans that are due for renewal.
	scanEvery = 250 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a round that did not borrow
	// enough.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
	// rateBackoff is the pause between rounds while the rate falls short and no
	// caller waits.
	rateBackoff = time.Second
	// maxTriggers bounds the queue of triggered rounds.
	maxTriggers = 1024
	// minLenderTokens is the estimated number of tokens that a lender must have to be
	// asked, unless fewer are missing.
	minLenderTokens = 1
	// minEmptyBackoff and maxEmptyBackoff bound how long a lender that had too few
	// tokens is not asked again.
	minEmptyBackoff = 50 * time.Millisecond
	maxEmptyBackoff = time.Second
	// partialSlack is the least ratio of the tokens that all lenders are estimated to
	// have to the missing ones at which fractions of tokens are requested.
	partialSlack = 1.5
	// raiseFactor is the ratio of the wanted part to a loan that is not due above
	// which the loan is raised.
	raiseFactor = 1.1
	// negligible is a rate or number of tokens too small to borrow.
	negligible = 0.01
)

// borrower is an account or a database of this host.
type borrower interface {
	// round requests what is missing from other hosts.
	round(ctx context.Context)
	// beginIfDue reports whether a round is due and can begin, and marks it as running.
	beginIfDue(now time.Time) bool
}

// rounds is the state of one borrower's rounds.
type rounds struct {
	running bool
	after   time.Time
	backoff time.Duration
}

// finish ends a round. If callers still wait, it returns the pause until the next
// round.
func (r *rounds) finish(now time.Time, short bool) time.Duration {
	r.running = false
	if !short {
		r.backoff = 0
		return 0
	}
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	r.after = now.Add(r.backoff)
	return r.backoff
}

// tryBegin marks a round as running, unless one is running or the backoff is not over.
func (r *rounds) tryBegin(now time.Time) bool {
	if r.running || now.Before(r.after) {
		return false
	}
	r.running = true
	return true
}

// borrowLoop runs the rounds of all borrowers, each in its own goroutine.
func (l *Limiter) borrowLoop(ctx context.Context) {
	tick := l.Clock.NewTicker(scanEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-l.triggers:
			l.spawn(func() { b.round(ctx) })
		case <-tick.Chan():
			l.startDueRounds(ctx)
		}
	}
}

func (l *Limiter) startDueRounds(ctx context.Context) {
	now := l.Clock.Now()
	for _, e := range load(&l.accounts) {
		if e.beginIfDue(now) {
			l.spawn(func() { e.round(ctx) })
		}
	}
	for _, d := range load(&l.databases) {
		if d.beginIfDue(now) {
			l.spawn(func() { d.round(ctx) })
		}
	}
}

// trigger queues a round of b, whose state is r, unless one is running.
func (l *Limiter) trigger(now time.Time, b borrower, r *rounds) {
	if l.Store == nil || !r.tryBegin(now) {
		return
	}
	select {
	case l.triggers <- b:
	default:
		r.running = false
	}
}

func (e *account) trigger(now time.Time) { e.limiter.trigger(now, e, &e.rounds) }

// beginIfDue implements borrower. A round is due when the rate falls short or a loan is
// in the second half of its period.
func (e *account) beginIfDue(now time.Time) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	due, rate := e.rate.Shortage(now, e.waiting)
	due = due || (rate && !now.Before(e.rateAfter))
	for _, h := range e.rate.Book().Lenders(now) {
		due = due || e.rate.Book().Due(now, h)
	}
	return due && e.rounds.tryBegin(now)
}

// round requests rate, tokens for the near future included, first from lenders of
// this failure domain, and then the tokens that callers still wait for from one
// lender after another.
func (e *account) round(ctx context.Context) {
	name, owners := e.nameAndOwners()
	local, remote := e.limiter.lendersOf(name, owners)
	all := slices.Concat(local, remote)
	bulk, more := e.needsBulk(len(all))
	if bulk {
		e.borrow(ctx, local, all, borrowMode{raise: more})
		e.borrow(ctx, remote, remote, borrowMode{raise: more})
	}
	e.gather(ctx, all)
	now := e.limiter.Clock.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	tokens, rate := e.rate.Shortage(now, e.waiting)
	if rate {
		e.rateAfter = now.Add(rateBackoff)
	}
	if d := e.rounds.finish(now, tokens); d > 0 {
		e.limiter.Clock.AfterFunc(d, e.retry)
	}
}

// gather requests the tokens that callers wait for from one lender after another,
// beginning with the one that is estimated to have most: whole tokens, or, if no
// lender has those, fractions of tokens if they sum to enough.
func (e *account) gather(ctx context.Context, lenders []string) {
	mode := borrowMode{}
	rest := slices.Clone(lenders)
	for len(rest) > 0 && e.isShort() {
		i, most, all := e.bestLender(rest)
		switch missing := e.missing(); {
		case most >= min(minLenderTokens, missing):
		case all >= missing*partialSlack:
			mode.partial = true
		default:
			return
		}
		h := rest[i : i+1]
		e.borrow(ctx, h, h, mode)
		rest = slices.Delete(rest, i, i+1)
	}
}

// borrowMode holds options of a request to lenders.
type borrowMode struct {
	// raise also raises loans that are not due for renewal.
	raise bool
	// partial accepts fractions of tokens.
	partial bool
}

// needsBulk reports whether to ask several lenders at once, which is worthwhile for
// rate, to renew or return loans, or for many tokens, and whether to raise loans that
// are not due for renewal.
func (e *account) needsBulk(lenders int) (bulk, more bool) {
	now := e.limiter.Clock.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	_, rate := e.rate.Shortage(now, e.waiting)
	more = rate && !now.Before(e.rateAfter)
	bulk = more || e.waiting-e.rate.Available(now) > float64(lenders)
	for _, h := range e.rate.Book().Lenders(now) {
		p, _ := e.rate.Book().Loan(now, h)
		bulk = bulk || (p.Rate() > 0 && e.rate.Book().Due(now, h))
	}
	return bulk, more
}

func (e *account) nameAndOwners() (name string, owners []owningSeats) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.limit.Name(), e.owners
}

func (e *account) retry() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if len(e.waiters) > 0 {
		e.trigger(e.limiter.Clock.Now())
	}
}

func (e *account) isShort() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	tokens, _ := e.rate.Shortage(e.limiter.Clock.Now(), e.waiting)
	return tokens
}

// borrow requests equal parts of what is missing from several lenders at the same
// time, without counting the loans from the lenders in without. Loans that are not
// due for renewal stay as they are, unless mode.raise is set.
func (e *account) borrow(ctx context.Context, from, without []string, mode borrowMode) {
	if len(from) == 0 || ctx.Err() != nil {
		return
	}
	sent := e.sendRequests(ctx, from, without, mode)
	for host, q := range sent {
		g, ok := <-q.answer
		now := e.limiter.Clock.Now()
		e.mutex.Lock()
		if !ok || !e.rate.Accept(now, host, q.request, g) {
			e.rate.Abandon(now, host, q.request)
		}
		e.recordAnswer(now, host, q.request.Tokens, g)
		e.serveWaitersLocked(now)
		e.mutex.Unlock()
	}
}

// lenderState records how many tokens a lender had left when it last answered. One that
// granted too few is not asked for a while, which doubles each time.
type lenderState struct {
	tokens  float64
	at      time.Time
	backoff time.Duration
}

// recordAnswer records how many tokens a lender has left and backs off if it granted too
// few. The mutex is held.
func (e *account) recordAnswer(now time.Time, host string, asked float64, g loan.Grant) {
	if e.lenders == nil {
		e.lenders = make(map[string]lenderState)
	}
	pause := time.Duration(0)
	if asked > negligible && g.Tokens < min(asked, minLenderTokens) {
		pause = min(max(2*e.lenders[host].backoff, minEmptyBackoff), maxEmptyBackoff)
	}
	e.lenders[host] = lenderState{
		tokens:  g.Spare,
		at:      now,
		backoff: pause,
	}
}

// bestLender returns the index and the estimated tokens of the lender that has most,
// and the estimated tokens of all lenders together.
func (e *account) bestLender(hosts []string) (best int, most, all float64) {
	now := e.limiter.Clock.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	most = -1
	for i, h := range hosts {
		n := e.estimate(now, h)
		all += n
		if n > most {
			best, most = i, n
		}
	}
	return best, most, all
}

// missing returns how many tokens waiting requests lack.
func (e *account) missing() float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.waiting - e.rate.Available(e.limiter.Clock.Now())
}

// estimate returns the estimated tokens of a lender. The mutex is held.
func (e *account) estimate(now time.Time, host string) float64 {
	s, ok := e.lenders[host]
	if !ok {
		return e.limit.Burst()
	}
	if now.Sub(s.at) < s.backoff {
		return 0
	}
	part := 1 / float64(len(e.owners)*len(e.owners[0].seats))
	filled := s.tokens + e.limit.Rate()*part*now.Sub(s.at).Seconds()
	return min(filled, e.limit.Burst()*part)
}

// sendRequests sends the requests of borrow and returns them by host.
func (e *account) sendRequests(ctx context.Context, from, without []string, mode borrowMode) map[string]*pendingRequest {
	now := e.limiter.Clock.Now()
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
	sent := make(map[string]*pendingRequest)
	for _, h := range from {
		a, ok := e.newRequest(now, h, want, tokens, mode)
		if !ok {
			continue
		}
		q := &pendingRequest{
			name:    e.limit.Name(),
			request: a,
		}
		q.request.Partial = mode.partial
		e.limiter.batcher.enqueue(ctx, h, q)
		sent[h] = q
	}
	return sent
}

// newRequest creates the request to one lender, and reports false if none is needed. The
// mutex is held.
func (e *account) newRequest(now time.Time, host string, want loan.Part, tokens float64, mode borrowMode) (loan.Request, bool) {
	have, _ := e.rate.Book().Loan(now, host)
	due := e.rate.Book().Due(now, host)
	tooFew := tokens < negligible || (!mode.partial && e.estimate(now, host) < min(minLenderTokens, tokens))
	switch {
	case have.IsZero() && want.Rate() < negligible && tooFew:
		return loan.Request{}, false
	case have.Rate() == 0 || due || (mode.raise && want.Rate() > have.Rate()*raiseFactor):
		return e.rate.Request(now, host, want, tokens), true
	case tooFew:
		return loan.Request{}, false
	}
	return e.rate.RequestTokens(now, host, tokens), true
}

// lend answers the request of another host.
func (e *account) lend(borrower string, a loan.Request) loan.Grant {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.limiter.Clock.Now()
	g := e.rate.Lend(now, borrower, a, e.waiting)
	e.arm(now)
	return g
}
