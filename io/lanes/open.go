package lanes

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// fill opens connections for waiters that none is being opened for.
func (l *Lanes) fill(n *lane) {
	now := l.Clock.Elapsed()
	if now < n.fullUntil {
		l.retryLater(n, n.fullUntil-now)
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

// makeRoom closes the longest idle connection if the limit is reached.
func (l *Lanes) makeRoom(n *lane, t Target) bool {
	if n.open < l.Limit(t) {
		return true
	}
	if len(n.idle) == 0 {
		return false
	}
	c := n.idle[0]
	n.idle = n.idle[1:]
	l.discard(n, c)
	return true
}

func (l *Lanes) retryLater(n *lane, d time.Duration) {
	if n.retrying {
		return
	}
	n.retrying = true
	time.AfterFunc(d, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		n.retrying = false
		l.fill(n)
	})
}

func (l *Lanes) dial(n *lane, t Target, account string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	session, _, err := l.Opener.Open(ctx, t.Address, t.Group, account, t.ID)
	cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	n.opening[account]--
	if err != nil {
		n.open--
		l.failed(n, t, err)
		return
	}
	l.count("opened")
	n.fullWait = 0
	if n.down {
		n.down = false
		l.Log.Info("database reached again", "database", t.ID, "group", t.Group)
	}
	l.give(n, &Conn{
		session: session,
		account: account,
		target:  t,
		lanes:   l,
	})
}

// failed tells waiters that a connection could not be opened. A database without
// a free connection is asked again; what is behind it may come free.
func (l *Lanes) failed(n *lane, t Target, err error) {
	now := l.Clock.Elapsed()
	reason, refused := l.Refused(err)
	l.count("refused")
	if refused && (reason == coltsfootloft.ReasonConnections || reason == coltsfootloft.ReasonBusy) {
		l.Log.V(1).Info("database has no connection left", "database", t.ID, "group", t.Group, "open", n.open)
		n.fullWait = min(max(2*n.fullWait, full), fullMost)
		n.fullUntil = now + n.fullWait
		if len(n.waiters) > 0 {
			l.retryLater(n, n.fullWait)
		}
		return
	}
	n.candidate.Down(now)
	if !n.down {
		n.down = true
		l.Log.Info("database not reached", "database", t.ID, "group", t.Group, "address", t.Address, "reason", err.Error())
	}
	for _, w := range n.waiters {
		w.result <- granted{err: errors.Wrap(ErrDown, err.Error())}
	}
	n.waiters = nil
}
