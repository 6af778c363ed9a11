package dbpool

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/ask"
)

// openForWaiters opens connections for waiters that have none being opened for them.
func (p *Pools) openForWaiters(n *pool) {
	n.failWaiters(func(w *connWaiter) bool { return p.isClosed(w.target) }, ErrClosed)
	now := p.Clock.Elapsed()
	if now < n.exhaustedUntil {
		p.retryLater(n, n.exhaustedUntil-now)
		return
	}
	waiting := make(map[string]int)
	for _, w := range n.waiters {
		waiting[w.account]++
		if waiting[w.account] <= n.opening[w.account] {
			continue
		}
		if !p.makeRoom(n, w.target) {
			return
		}
		n.open++
		n.target = w.target
		n.opening[w.account]++
		go p.dial(n, w.target, w.account)
	}
}

// makeRoom reports whether a connection may be opened. If the limit is reached it closes
// the one that has been idle longest, if there is one.
func (p *Pools) makeRoom(n *pool, t Target) bool {
	if n.open < p.Limit(t) {
		return true
	}
	if len(n.idle) == 0 {
		return false
	}
	c := n.idle[0]
	n.idle = n.idle[1:]
	p.closeConn(n, c)
	return true
}

func (p *Pools) retryLater(n *pool, d time.Duration) {
	if n.retrying {
		return
	}
	n.retrying = true
	time.AfterFunc(d, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		n.retrying = false
		p.openForWaiters(n)
	})
}

func (p *Pools) dial(n *pool, t Target, account string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	var session coltsfootloft.Session
	err := ErrClosed
	if !p.isClosed(t) {
		session, _, err = p.Opener.Open(ctx, t.Address, t.Group, account, t.ID)
	}
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	n.opening[account]--
	if p.isClosed(t) {
		n.open--
		if err == nil {
			session.Close()
		}
		n.failWaiters(func(w *connWaiter) bool { return p.isClosed(w.target) }, ErrClosed)
		return
	}
	if err != nil {
		n.open--
		p.dialFailed(n, t, account, err)
		return
	}
	p.count("opened")
	if n.established() == 1 && p.FirstOpened != nil {
		p.FirstOpened(t.ID)
	}
	n.exhaustedFor = 0
	if n.isDown {
		n.isDown = false
		p.noteLost(t.ID)
		p.Log.Info("database reachable again", "database", t.ID, "group", t.Group)
	}
	p.handOver(n, &Conn{
		requests: ask.Conn{
			Session:  session,
			Database: t.ID,
			GiveBack: p.GiveBack,
			Log:      p.Log,
			Metrics:  p.Metrics,
		},
		account: account,
		target:  t,
		pools:   p,
	})
}

// established returns how many connections there are, without those being opened.
func (n *pool) established() int {
	count := n.open
	for _, opening := range n.opening {
		count -= opening
	}
	return count
}

// dialFailed handles a connection that could not be opened. If the database has none
// free, opening is retried later, since connections may become free; otherwise all
// waiters get ErrDown. If the name of the account can't be sent, only its own waiters fail.
func (p *Pools) dialFailed(n *pool, t Target, account string, err error) {
	if errors.Is(err, coltsfootloft.ErrNotSent) {
		p.Log.Info("connection not opened", "database", t.ID, "group", t.Group, "account", account, "reason", err.Error())
		n.failWaiters(func(w *connWaiter) bool { return w.account == account }, err)
		p.openForWaiters(n)
		return
	}
	now := p.Clock.Elapsed()
	reason, refused := p.RefusalReason(err)
	p.count("refused")
	if refused && (reason == coltsfootloft.ReasonConnections || reason == coltsfootloft.ReasonBusy) {
		p.Log.V(1).Info("database has no connection left", "database", t.ID, "group", t.Group, "open", n.open)
		n.exhaustedFor = min(max(2*n.exhaustedFor, exhaustedWait), exhaustedWaitMax)
		n.exhaustedUntil = now + n.exhaustedFor
		if len(n.waiters) > 0 {
			p.retryLater(n, n.exhaustedFor)
		}
		return
	}
	n.candidate.Down(now)
	p.noteLost(t.ID)
	if !n.isDown {
		n.isDown = true
		p.Log.Info("database unreachable", "database", t.ID, "group", t.Group, "address", t.Address, "reason", err.Error())
	}
	n.failWaiters(func(*connWaiter) bool { return true }, errors.Wrap(ErrDown, err.Error()))
}

// failWaiters ends the wait of those that fails selects.
func (n *pool) failWaiters(fails func(*connWaiter) bool, err error) {
	n.waiters = slices.DeleteFunc(n.waiters, func(w *connWaiter) bool {
		if !fails(w) {
			return false
		}
		w.result <- connResult{err: err}
		return true
	})
}
