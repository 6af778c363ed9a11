package share

import (
	"context"
	"slices"
	"sync"
	"time"

	"coltsfootloft/core/loan"
	"coltsfootloft/core/rank"
	"coltsfootloft/io/share/sharepb"
)

const (
	// lendTimeout bounds a request for loans.
	lendTimeout = 400 * time.Millisecond
	// firstPause and lastPause bound how long a lender isn't asked that didn't
	// answer; the pause doubles each time.
	firstPause = 100 * time.Millisecond
	lastPause  = 8 * time.Second
	// maxBatch bounds the asks of one request.
	maxBatch = 256
	// maxGuesses bounds the hosts asked while the holders of seats are unknown.
	maxGuesses = 6
)

// lenders sends asks to other hosts, at most one request at a time to each; asks
// that come up meanwhile go together in the next one.
type lenders struct {
	ledger *Ledger
	mutex  sync.Mutex
	desks  map[string]*desk
}

// desk is the queue for one lender.
type desk struct {
	host      string
	queue     []*errand
	busy      bool
	pause     time.Duration
	downUntil time.Time
}

// errand is one ask on its way. The answer channel takes one grant, and is closed
// without one if none came.
type errand struct {
	name     string
	database bool
	urgent   bool
	ask      loan.Request
	answer   chan loan.Grant
}

// send queues an ask for a lender. It never blocks.
func (s *lenders) send(ctx context.Context, host string, e *errand) {
	e.answer = make(chan loan.Grant, 1)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	d, ok := s.desks[host]
	if !ok {
		if s.desks == nil {
			s.desks = make(map[string]*desk)
		}
		d = &desk{host: host}
		s.desks[host] = d
	}
	if s.ledger.Clock.Now().Before(d.downUntil) {
		close(e.answer)
		return
	}
	d.queue = append(d.queue, e)
	if !d.busy {
		d.busy = true
		s.ledger.spawn(func() { s.work(ctx, d) })
	}
}

// work empties the queue of a lender.
func (s *lenders) work(ctx context.Context, d *desk) {
	for {
		s.mutex.Lock()
		n := min(len(d.queue), maxBatch)
		batch := slices.Clone(d.queue[:n])
		d.queue = slices.Delete(d.queue, 0, n)
		d.busy = n > 0
		s.mutex.Unlock()
		if n == 0 {
			return
		}
		ok := s.deliver(ctx, d.host, batch)
		s.mutex.Lock()
		d.answered(s.ledger.Clock.Now(), ok)
		s.mutex.Unlock()
	}
}

// answered notes whether the lender answered. The mutex of lenders is held.
func (d *desk) answered(now time.Time, ok bool) {
	if ok {
		d.pause = 0
		return
	}
	d.pause = min(max(2*d.pause, firstPause), lastPause)
	d.downUntil = now.Add(d.pause)
}

// deliver sends one batch and reports whether it was answered.
func (s *lenders) deliver(ctx context.Context, host string, batch []*errand) bool {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	q := &sharepb.LoanRequest{Run: s.ledger.RunName}
	for _, e := range batch {
		if e.database {
			q.Databases = append(q.Databases, encodeAsk(e))
		} else {
			q.Accounts = append(q.Accounts, encodeAsk(e))
		}
	}
	r, err := s.ledger.call(ctx, host, &sharepb.Request{Loan: q})
	accounts := r.GetLoan().GetAccounts()
	databases := r.GetLoan().GetDatabases()
	for _, e := range batch {
		from := &accounts
		if e.database {
			from = &databases
		}
		if len(*from) > 0 {
			e.answer <- decodeGrant((*from)[0])
			*from = (*from)[1:]
		}
		close(e.answer)
	}
	return err == nil
}

// lendersOf returns the other hosts that own parts of a limit, those of this
// failure domain apart. While no holder is known, any live host may be one.
func (l *Ledger) lendersOf(name string, homes []home) (near, far []string) {
	self := l.Members.Self()
	for _, h := range homes {
		for _, n := range h.seats {
			host := l.seating.holder(h.domain, n)
			switch {
			case host == "" || host == self.Name():
			case h.domain == self.Domain():
				near = appendNew(near, host)
			default:
				far = appendNew(far, host)
			}
		}
	}
	if len(near) == 0 && len(far) == 0 {
		far = l.guess(name)
	}
	return near, far
}

func (l *Ledger) guess(name string) []string {
	var r []string
	for _, h := range l.Members.Alive() {
		if h.Name() != l.Members.Self().Name() && !h.Upstream() {
			r = append(r, h.Name())
		}
	}
	r = rank.Order(name, r)
	return r[:min(len(r), maxGuesses)]
}

func appendNew(all []string, s string) []string {
	if slices.Contains(all, s) {
		return all
	}
	return append(all, s)
}

func encodeAsk(e *errand) *sharepb.Ask {
	return &sharepb.Ask{
		Name:      e.name,
		Sequence:  e.ask.Sequence,
		KeptRate:  e.ask.Kept.Rate(),
		KeptBurst: e.ask.Kept.Burst(),
		WantRate:  e.ask.Want.Rate(),
		WantBurst: e.ask.Want.Burst(),
		Tokens:    e.ask.Tokens,
		Room:      e.ask.Room,
		Returned:  e.ask.Returned,
		Urgent:    e.urgent,
		Same:      e.ask.TokensOnly,
		Partial:   e.ask.Partial,
	}
}

func decodeAsk(a *sharepb.Ask) loan.Request {
	return loan.Request{
		Sequence:   a.GetSequence(),
		Kept:       loan.NewPart(a.GetKeptRate(), a.GetKeptBurst()),
		Want:       loan.NewPart(a.GetWantRate(), a.GetWantBurst()),
		Tokens:     a.GetTokens(),
		Room:       a.GetRoom(),
		Returned:   a.GetReturned(),
		TokensOnly: a.GetSame(),
		Partial:    a.GetPartial(),
	}
}

func encodeGrant(g loan.Grant) *sharepb.Grant {
	return &sharepb.Grant{
		Rate:               g.Part.Rate(),
		Burst:              g.Part.Burst(),
		Tokens:             g.Tokens,
		Left:               g.Spare,
		Same:               g.TokensOnly,
		PeriodMilliseconds: g.Period.Milliseconds(),
	}
}

func decodeGrant(g *sharepb.Grant) loan.Grant {
	return loan.Grant{
		Part:       loan.NewPart(g.GetRate(), g.GetBurst()),
		Tokens:     g.GetTokens(),
		Spare:      g.GetLeft(),
		TokensOnly: g.GetSame(),
		Period:     time.Duration(g.GetPeriodMilliseconds()) * time.Millisecond,
	}
}
