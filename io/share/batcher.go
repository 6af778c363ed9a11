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
	// lendTimeout bounds a request for loans to one host.
	lendTimeout = 400 * time.Millisecond
	// minFailureBackoff and maxFailureBackoff bound how long a lender that did not
	// answer isn't asked; the time doubles with each failure.
	minFailureBackoff = 100 * time.Millisecond
	maxFailureBackoff = 8 * time.Second
	// maxBatch bounds the loan requests of one message.
	maxBatch = 256
	// maxGuessedLenders bounds the hosts asked while the holders of seats are unknown.
	maxGuessedLenders = 6
)

// batcher sends loan requests to other hosts, with at most one message in flight to
// each; requests that arrive meanwhile are batched in the next message.
type batcher struct {
	limiter *Limiter
	mutex   sync.Mutex
	queues  map[string]*lenderQueue
}

// lenderQueue holds the requests to one lender.
type lenderQueue struct {
	host      string
	queue     []*pendingRequest
	sending   bool
	backoff   time.Duration
	downUntil time.Time
}

// pendingRequest is a loan request that is not answered yet. The answer channel
// receives one grant, or is closed without one if the request failed.
type pendingRequest struct {
	name     string
	database bool
	// urgent has the lender close unused connections.
	urgent  bool
	request loan.Request
	answer  chan loan.Grant
}

// enqueue queues a request to a lender. It never blocks.
func (s *batcher) enqueue(ctx context.Context, host string, e *pendingRequest) {
	e.answer = make(chan loan.Grant, 1)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	d, ok := s.queues[host]
	if !ok {
		if s.queues == nil {
			s.queues = make(map[string]*lenderQueue)
		}
		d = &lenderQueue{host: host}
		s.queues[host] = d
	}
	if s.limiter.Clock.Now().Before(d.downUntil) {
		close(e.answer)
		return
	}
	d.queue = append(d.queue, e)
	if !d.sending {
		d.sending = true
		s.limiter.spawn(func() { s.flush(ctx, d) })
	}
}

// flush sends the queued requests of a lender until none are left.
func (s *batcher) flush(ctx context.Context, d *lenderQueue) {
	for {
		s.mutex.Lock()
		n := min(len(d.queue), maxBatch)
		batch := slices.Clone(d.queue[:n])
		d.queue = slices.Delete(d.queue, 0, n)
		d.sending = n > 0
		s.mutex.Unlock()
		if n == 0 {
			return
		}
		ok := s.sendBatch(ctx, d.host, batch)
		s.mutex.Lock()
		d.recordResult(s.limiter.Clock.Now(), ok)
		s.mutex.Unlock()
	}
}

// recordResult records whether the lender answered. The batcher's mutex is held.
func (d *lenderQueue) recordResult(now time.Time, ok bool) {
	if ok {
		d.backoff = 0
		return
	}
	d.backoff = min(max(2*d.backoff, minFailureBackoff), maxFailureBackoff)
	d.downUntil = now.Add(d.backoff)
}

// sendBatch sends one batch in a message and reports whether it was answered.
func (s *batcher) sendBatch(ctx context.Context, host string, batch []*pendingRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, lendTimeout)
	defer cancel()
	q := &sharepb.LoanRequest{Run: s.limiter.RunName}
	for _, e := range batch {
		if e.database {
			q.Databases = append(q.Databases, encodeAsk(e))
		} else {
			q.Accounts = append(q.Accounts, encodeAsk(e))
		}
	}
	r, err := s.limiter.call(ctx, host, &sharepb.Request{Loan: q})
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

// lendersOf returns the other hosts that own parts of a limit, in this failure
// domain and in others. While no holder is known, it returns a selection of live
// hosts, any of which may be one.
func (l *Limiter) lendersOf(name string, owners []owningSeats) (local, remote []string) {
	self := l.Members.Self()
	for _, h := range owners {
		for _, n := range h.seats {
			host := l.seats.holder(h.domain, n)
			switch {
			case host == "" || host == self.Name():
			case h.domain == self.Domain():
				local = appendUnique(local, host)
			default:
				remote = appendUnique(remote, host)
			}
		}
	}
	if len(local) == 0 && len(remote) == 0 {
		remote = l.guessLenders(name)
	}
	return local, remote
}

func (l *Limiter) guessLenders(name string) []string {
	var r []string
	for _, h := range l.Members.Alive() {
		if h.Name() != l.Members.Self().Name() && !h.Upstream() {
			r = append(r, h.Name())
		}
	}
	r = rank.Order(name, r)
	return r[:min(len(r), maxGuessedLenders)]
}

func appendUnique(all []string, s string) []string {
	if slices.Contains(all, s) {
		return all
	}
	return append(all, s)
}

func encodeAsk(e *pendingRequest) *sharepb.Ask {
	return &sharepb.Ask{
		Name:      e.name,
		Sequence:  e.request.Sequence,
		KeptRate:  e.request.Kept.Rate(),
		KeptBurst: e.request.Kept.Burst(),
		WantRate:  e.request.Want.Rate(),
		WantBurst: e.request.Want.Burst(),
		Tokens:    e.request.Tokens,
		Room:      e.request.Room,
		Returned:  e.request.Returned,
		Urgent:    e.urgent,
		Same:      e.request.TokensOnly,
		Partial:   e.request.Partial,
	}
}

const (
	// maxAmount is the greatest rate, depth or number of tokens that is taken from another host.
	maxAmount = 1e12
	// maxPeriod is the longest period that is taken from another host.
	maxPeriod = time.Hour
)

// amount returns a number that another host has sent, or 0 if it is none from 0 to maxAmount. One
// that is not finite would stay in the buckets, and can't be written to the store.
func amount(f float64) float64 {
	if !(f >= 0 && f <= maxAmount) {
		return 0
	}
	return f
}

func decodeAsk(a *sharepb.Ask) loan.Request {
	return loan.Request{
		Sequence:   a.GetSequence(),
		Kept:       loan.NewPart(amount(a.GetKeptRate()), amount(a.GetKeptBurst())),
		Want:       loan.NewPart(amount(a.GetWantRate()), amount(a.GetWantBurst())),
		Tokens:     amount(a.GetTokens()),
		Room:       amount(a.GetRoom()),
		Returned:   amount(a.GetReturned()),
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
		Part:       loan.NewPart(amount(g.GetRate()), amount(g.GetBurst())),
		Tokens:     amount(g.GetTokens()),
		Spare:      amount(g.GetLeft()),
		TokensOnly: g.GetSame(),
		Period:     time.Duration(min(max(g.GetPeriodMilliseconds(), 0), maxPeriod.Milliseconds())) * time.Millisecond,
	}
}
