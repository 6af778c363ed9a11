package lanes

import (
	"context"

	"github.com/VictoriaMetrics/metrics"
)

// turn is a statement that waits for its turn at a database.
type turn struct{ let chan struct{} }

// await waits until a statement may be sent to a database, as long as the context
// lasts. A place is taken then.
func (l *Lanes) await(ctx context.Context, t Target, account string, priority int) error {
	since := l.Clock.Elapsed()
	defer func() { l.waited().Update((l.Clock.Elapsed() - since).Seconds()) }()
	l.mu.Lock()
	n := l.lane(t.ID)
	if n.candidate.IsDown(l.Clock.Elapsed()) && len(n.idle) == 0 {
		l.mu.Unlock()
		return ErrDown
	}
	n.gate.Limit = l.Outstanding(t)
	if n.gate.Enter() {
		l.mu.Unlock()
		return nil
	}
	w := &turn{let: make(chan struct{})}
	ticket, ok := n.gate.Enqueue(priority, account, w)
	l.mu.Unlock()
	if !ok {
		return ErrBusy
	}
	select {
	case <-w.let:
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n.gate.GiveUp(ticket) {
		return ErrBusy
	}
	return nil
}

// waited is how long statements waited for their turn.
func (l *Lanes) waited() *metrics.Histogram {
	return l.Metrics.GetOrCreateHistogram("coltsfootloft_turn_wait_seconds")
}

// resume takes a place for a statement of an open transaction, which others may be
// waiting for.
func (l *Lanes) resume(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.turn {
		c.turn = true
		l.lane(c.target.ID).gate.Force()
	}
}

// endTurn gives back the place of the statement on a connection, if it has one.
func (l *Lanes) endTurn(n *lane, c *Conn, refused bool) {
	if c.turn {
		c.turn = false
		l.leave(n, refused)
	}
}

// leave gives a place back and lets the next in.
func (l *Lanes) leave(n *lane, refused bool) {
	n.gate.Release(refused)
	for {
		w, ok := n.gate.Dequeue()
		if !ok {
			return
		}
		close(w.let)
	}
}
