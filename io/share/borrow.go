package share

import (
	"context"
	"slices"
	"time"

	"coltsfootloft/core/loan"
)

const (
	// scanEvery is the time between looks at which loans are due for renewal.
	scanEvery = 250 * time.Millisecond
	// firstBackoff and lastBackoff bound the pause between rounds that did not
	// find enough.
	firstBackoff = 20 * time.Millisecond
	lastBackoff  = 100 * time.Millisecond
	// rateBackoff is the pause while the rate falls short and nothing waits.
	rateBackoff = time.Second
	// maxKicks bounds the rounds that wait to begin.
	maxKicks = 1024
	// worthAsking is the number of tokens that a lender must probably have, unless
	// fewer are missing.
	worthAsking = 1
	// firstPauseAtEmpty and lastPauseAtEmpty bound how long a lender is left alone
	// that had too few tokens.
	firstPauseAtEmpty = 50 * time.Millisecond
	lastPauseAtEmpty  = time.Second
	// partialSlack is how many times the missing tokens all lenders must probably
	// have together before parts of tokens are asked for.
	partialSlack = 1.5
	// worthRaising is how much larger than a loan that is not due the wanted part
	// must be for another ask.
	worthRaising = 1.1
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

// finish ends a round and returns the pause until the next if it fell short of
// what callers wait for.
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
	due, rate := e.rate.Shortage(now, e.waiting)
	due = due || (rate && !now.Before(e.rateAfter))
	for _, h := range e.rate.Book().Lenders(now) {
		due = due || e.rate.Book().Due(now, h)
	}
	return due && e.rounds.start(now)
}

// round asks for rate, tokens for the near future included, first from lenders
// near by, and then lender by lender for the tokens that requests still wait for.
func (e *account) round(ctx context.Context) {
	name, homes := e.settings()
	near, far := e.ledger.lendersOf(name, homes)
	all := slices.Concat(near, far)
	bulk, more := e.isBulk(len(all))
	if bulk {
		e.borrow(ctx, near, all, borrowing{more: more})
		e.borrow(ctx, far, far, borrowing{more: more})
	}
	e.gather(ctx, all)
	now := e.ledger.Clock.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	tokens, rate := e.rate.Shortage(now, e.waiting)
	if rate {
		e.rateAfter = now.Add(rateBackoff)
	}
	if d := e.rounds.finish(now, tokens); d > 0 {
		e.ledger.Clock.AfterFunc(d, e.retry)
	}
}

// gather asks lender by lender for the tokens that requests wait for, the fullest
// first: for whole tokens, and where there are none left, for parts of tokens if
// all of them make up one.
func (e *account) gather(ctx context.Context, lenders []string) {
	whole := borrowing{}
	rest := slices.Clone(lenders)
	for len(rest) > 0 && e.isShort() {
		i, most, all := e.fullest(rest)
		switch missing := e.missing(); {
		case most >= min(worthAsking, missing):
		case all >= missing*partialSlack:
			whole.partial = true
		default:
			return
		}
		h := rest[i : i+1]
		e.borrow(ctx, h, h, whole)
		rest = slices.Delete(rest, i, i+1)
	}
}

// borrowing is how lenders are asked.
type borrowing struct {
	// more raises loans that are not due for renewal.
	more bool
	// partial accepts parts of tokens.
	partial bool
}

// isBulk reports whether a round is worth asking several lenders at once: for
// rate, to renew or return loans, or for many tokens; and whether loans that are
// not due for renewal should be raised.
func (e *account) isBulk(lenders int) (bulk, more bool) {
	now := e.ledger.Clock.Now()
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
	tokens, _ := e.rate.Shortage(e.ledger.Clock.Now(), e.waiting)
	return tokens
}

// borrow asks some lenders, side by side, for equal parts of what is missing when
// the loans from the lenders in without are not counted. Loans that are not due
// for renewal are left as they are, unless how says more.
func (e *account) borrow(ctx context.Context, from, without []string, how borrowing) {
	if len(from) == 0 || ctx.Err() != nil {
		return
	}
	sent := e.open(ctx, from, without, how)
	for host, q := range sent {
		g, ok := <-q.answer
		now := e.ledger.Clock.Now()
		e.mutex.Lock()
		if !ok || !e.rate.Accept(now, host, q.ask, g) {
			e.rate.Abandon(now, host, q.ask)
		}
		e.note(now, host, q.ask.Tokens, g)
		e.serveLocked(now)
		e.mutex.Unlock()
	}
}

// stock is what a lender had left when it last answered. One that had less than
// was asked for is left alone for a while, twice as long each time.
type stock struct {
	tokens float64
	at     time.Time
	pause  time.Duration
}

// note remembers what a lender has left and whether it gave too little. The mutex
// is held.
func (e *account) note(now time.Time, host string, asked float64, g loan.Grant) {
	if e.stocks == nil {
		e.stocks = make(map[string]stock)
	}
	pause := time.Duration(0)
	if asked > negligible && g.Tokens < min(asked, worthAsking) {
		pause = min(max(2*e.stocks[host].pause, firstPauseAtEmpty), lastPauseAtEmpty)
	}
	e.stocks[host] = stock{
		tokens: g.Spare,
		at:     now,
		pause:  pause,
	}
}

// fullest returns the index and the stock of the lender that probably has most
// tokens, and the tokens that all of them probably have.
func (e *account) fullest(hosts []string) (best int, most, all float64) {
	now := e.ledger.Clock.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	most = -1
	for i, h := range hosts {
		n := e.stock(now, h)
		all += n
		if n > most {
			best, most = i, n
		}
	}
	return best, most, all
}

// missing is how many tokens requests wait for beyond those that there are.
func (e *account) missing() float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.waiting - e.rate.Available(e.ledger.Clock.Now())
}

// stock estimates the tokens of a lender. The mutex is held.
func (e *account) stock(now time.Time, host string) float64 {
	s, ok := e.stocks[host]
	if !ok {
		return e.limit.Burst()
	}
	if now.Sub(s.at) < s.pause {
		return 0
	}
	part := 1 / float64(len(e.homes)*len(e.homes[0].seats))
	filled := s.tokens + e.limit.Rate()*part*now.Sub(s.at).Seconds()
	return min(filled, e.limit.Burst()*part)
}

// open sends the asks of borrow.
func (e *account) open(ctx context.Context, from, without []string, how borrowing) map[string]*errand {
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
		a, ok := e.ask(now, h, want, tokens, how)
		if !ok {
			continue
		}
		q := &errand{
			name: e.limit.Name(),
			ask:  a,
		}
		q.ask.Partial = how.partial
		e.ledger.lenders.send(ctx, h, q)
		sent[h] = q
	}
	return sent
}

// ask opens a request to one lender, if there is reason to. The mutex is held.
func (e *account) ask(now time.Time, host string, want loan.Part, tokens float64, how borrowing) (loan.Request, bool) {
	have, _ := e.rate.Book().Loan(now, host)
	due := e.rate.Book().Due(now, host)
	empty := tokens < negligible || (!how.partial && e.stock(now, host) < min(worthAsking, tokens))
	switch {
	case have.IsZero() && want.Rate() < negligible && empty:
		return loan.Request{}, false
	case have.Rate() == 0 || due || (how.more && want.Rate() > have.Rate()*worthRaising):
		return e.rate.Request(now, host, want, tokens), true
	case empty:
		return loan.Request{}, false
	}
	return e.rate.RequestTokens(now, host, tokens), true
}

// lend answers the ask of another host.
func (e *account) lend(borrower string, a loan.Request) loan.Grant {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.ledger.Clock.Now()
	g := e.rate.Lend(now, borrower, a, e.waiting)
	e.arm(now)
	return g
}
