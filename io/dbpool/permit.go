package dbpool

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"coltsfootloft/core/gate"
)

// Metrics of the gates, if waits are estimated.
const (
	// ExpectedWaitMetric records the expected waits of statements.
	ExpectedWaitMetric = "coltsfootloft_turn_wait_expected_seconds"
	// RefusedTurnsMetric counts statements refused at a gate since their turn would come too late.
	RefusedTurnsMetric = "coltsfootloft_turns_refused_total"
)

// WaitError is the error of Acquire for a statement that is not expected to begin in the time
// that it may wait. It is an ErrBusy: nothing was sent to the database.
type WaitError struct {
	// Retry is how much later the statement should return.
	Retry time.Duration
}

// Error describes the refusal.
func (e *WaitError) Error() string { return "no turn at the database in time" }

// Unwrap returns ErrBusy.
func (e *WaitError) Unwrap() error { return ErrBusy }

// permitWaiter is a statement that waits for a permit; granted is closed when it has one.
type permitWaiter struct{ granted chan struct{} }

// acquirePermit waits until a statement may be sent to a database, at most until ctx
// ends, and takes a permit of the database's gate.
func (p *Pools) acquirePermit(ctx context.Context, t Target, account string, priority int) error {
	started := p.Clock.Elapsed()
	defer func() { p.waitHistogram().Update((p.Clock.Elapsed() - started).Seconds()) }()
	p.mu.Lock()
	n := p.pool(t.ID)
	if n.candidate.IsDown(p.Clock.Elapsed()) && len(n.idle) == 0 {
		p.mu.Unlock()
		return ErrDown
	}
	n.gate.Limit = p.Outstanding(t)
	if n.gate.TryAcquire() {
		p.mu.Unlock()
		p.noteExpected(0)
		return nil
	}
	w := &permitWaiter{granted: make(chan struct{})}
	ticket, err := p.enqueue(ctx, n, account, priority, w)
	p.mu.Unlock()
	if err != nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if n.gate.Cancel(ticket) {
		return ErrBusy
	}
	return nil
}

// enqueue queues a statement at the gate, or refuses it if the queue is full or if its turn
// would come too late.
func (p *Pools) enqueue(ctx context.Context, n *pool, account string, priority int, w *permitWaiter) (gate.Ticket[*permitWaiter], error) {
	deadline, bounded := ctx.Deadline()
	if !p.EstimateWaits || !bounded {
		ticket, ok := n.gate.Enqueue(priority, account, w)
		return ticket, busyUnless(ok)
	}
	now := p.Clock.Elapsed()
	left := time.Until(deadline)
	wait := n.gate.Wait(priority, account, now+left)
	p.noteExpected(wait)
	if wait > left {
		p.Metrics.GetOrCreateCounter(RefusedTurnsMetric).Inc()
		return gate.Ticket[*permitWaiter]{}, &WaitError{Retry: n.gate.RetryAfter(now, priority, wait, left, rand.Float64())}
	}
	ticket, ok := n.gate.EnqueueUntil(priority, account, now+left, w)
	return ticket, busyUnless(ok)
}

// noteExpected records the expected wait of a statement.
func (p *Pools) noteExpected(wait time.Duration) {
	if p.EstimateWaits {
		p.Metrics.GetOrCreateHistogram(ExpectedWaitMetric).Update(wait.Seconds())
	}
}

func busyUnless(ok bool) error {
	if ok {
		return nil
	}
	return ErrBusy
}

// waitHistogram records how long statements wait for a permit, in seconds.
func (p *Pools) waitHistogram() *metrics.Histogram {
	return p.Metrics.GetOrCreateHistogram("coltsfootloft_turn_wait_seconds")
}

// forcePermit takes a permit without waiting if the connection has none. It serves
// statements of an open transaction, which may hold locks that other statements wait for.
func (p *Pools) forcePermit(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.hasPermit {
		c.hasPermit = true
		c.permitSince = p.Clock.Elapsed()
		p.pool(c.target.ID).gate.ForceAcquire()
	}
}

// releasePermit returns the permit of a connection, if it has one. refused is set if the
// database refused the statement as busy.
func (p *Pools) releasePermit(n *pool, c *Conn, refused bool) {
	if c.hasPermit {
		c.hasPermit = false
		p.freePermit(n, refused)
	}
}

// freePermit returns a permit to the gate and grants permits to the next waiters.
func (p *Pools) freePermit(n *pool, refused bool) {
	n.gate.Release(refused)
	for {
		w, ok := n.gate.Dequeue()
		if !ok {
			return
		}
		close(w.granted)
	}
}
