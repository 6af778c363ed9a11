package dbpool

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
)

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
		return nil
	}
	w := &permitWaiter{granted: make(chan struct{})}
	ticket, ok := n.gate.Enqueue(priority, account, w)
	p.mu.Unlock()
	if !ok {
		return ErrBusy
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
