package dbpool

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// openForWaiters opens connections for waiters that have none being opened for them.
func (l *Pools) openForWaiters(n *pool) {
	now := l.Clock.Elapsed()
	if now < n.exhaustedUntil {
		l.retryLater(n, n.exhaustedUntil-now)
		return
	}
	waiting := make(map[string]int)
	for _, w := range n.waiters {
		waiting[w.account]++
		if waiting[w.account] <= n.opening[w.account] {
			continue
		}
		if !l.makeRoom(n, w.target) {
			return
		}
		n.open++
		n.opening[w.account]++
		go l.dial(n, w.target, w.account)
	}
}

// makeRoom reports whether a connection may be opened. If the limit is reached it closes
// the one that has been idle longest, if there is one.
func (l *Pools) makeRoom(n *pool, t Target) bool {
	if n.open < l.Limit(t) {
		return true
	}
	if len(n.idle) == 0 {
		return false
	}
	c := n.idle[0]
	n.idle = n.idle[1:]
	l.closeConn(n, c)
	return true
}

func (l *Pools) retryLater(n *pool, d time.Duration) {
	if n.retrying {
		return
	}
	n.retrying = true
	time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		n.retrying = false
		l.openForWaiters(n)
	})
}

func (l *Pools) dial(n *pool, t Target, account string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	session, _, err := l.Opener.Open(ctx, t.Address, t.Group, account, t.ID)
	cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	n.opening[account]--
	if err != nil {
		n.open--
		l.dialFailed(n, t, err)
		return
	}
	l.count("opened")
	n.exhaustedFor = 0
	if n.isDown {
		n.isDown = false
		l.Log.Info("database reachable again", "database", t.ID, "group", t.Group)
	}
	l.handOver(n, &Conn{
		session: session,
		account: account,
		target:  t,
		pools:   l,
	})
}

// dialFailed handles a connection that could not be opened. If the database has none
// free, opening is retried later, since connections may become free; otherwise all
// waiters get ErrDown.
func (l *Pools) dialFailed(n *pool, t Target, err error) {
	now := l.Clock.Elapsed()
	reason, refused := l.RefusalReason(err)
	l.count("refused")
	if refused && (reason == coltsfootloft.ReasonConnections || reason == coltsfootloft.ReasonBusy) {
		l.Log.V(1).Info("database has no connection left", "database", t.ID, "group", t.Group, "open", n.open)
		n.exhaustedFor = min(max(2*n.exhaustedFor, exhaustedWait), exhaustedWaitMax)
		n.exhaustedUntil = now + n.exhaustedFor
		if len(n.waiters) > 0 {
			l.retryLater(n, n.exhaustedFor)
		}
		return
	}
	n.candidate.Down(now)
	if !n.isDown {
		n.isDown = true
		l.Log.Info("database unreachable", "database", t.ID, "group", t.Group, "address", t.Address, "reason", err.Error())
	}
	for _, w := range n.waiters {
		w.result <- connResult{err: errors.Wrap(ErrDown, err.Error())}
	}
	n.waiters = nil
}
