// Package relay brings statements to the host that keeps the connections of their
// account to a database.
//
// A database takes few connections from all hosts together, and each speaks for
// one client account. Were every host to open its own, most statements would wait
// for a new one, and the databases would spend as much on them as on the work. One
// host for each database and account keeps them instead, in the database's failure
// domain; the others hand it their statements over the links between hosts. Where
// the keeper is the host itself, or can't be reached, the statement takes a
// connection of its own host.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/pick"
	"coltsfootloft/io/dial"
	"coltsfootloft/io/groups"
	"coltsfootloft/io/lanes"
	"coltsfootloft/io/peer"
)

const (
	// avoidFor is how long a keeper that was out of reach is passed over.
	avoidFor = time.Second
	// way is what the way to another host and back may add to a wait: a few
	// times the usual 2 ms.
	way = 20 * time.Millisecond
)

// Relay lends lines to databases. Its fields are set before use.
type Relay struct {
	// Self is this host's name.
	Self string
	// Peers calls other hosts.
	Peers coltsfootloft.Peers
	// Keepers says who keeps which connections.
	Keepers *Keepers
	// Lanes holds this host's own connections.
	Lanes *lanes.Lanes
	// Groups says whether a primary may be used.
	Groups *groups.Groups
	// Clock counts suspensions.
	Clock coltsfootloft.Clock
	// Hold is how long a kept connection may rest inside a transaction.
	Hold func() time.Duration
	// Log takes a line when a keeper is out of reach.
	Log logr.Logger

	mu      sync.Mutex
	avoided map[string]time.Duration
	kept    map[uint64]*kept
	next    uint64
}

// Line is a way to a database, for one session at a time.
type Line struct {
	relay   *Relay
	target  lanes.Target
	account string
	// priority orders statements that wait, 0 for the most urgent.
	priority int
	office   *groups.Office
	conn     *lanes.Conn // of this host
	keeper   string      // or of another
	handle   uint64
	wait     time.Duration
}

// Borrow lends a line for statements of a priority, 0 for the most urgent. One
// through a keeper takes its connection with the first statement.
func (r *Relay) Borrow(ctx context.Context, t lanes.Target, account string, priority int, office *groups.Office) (*Line, error) {
	n := &Line{
		relay:    r,
		target:   t,
		account:  account,
		priority: priority,
		office:   office,
	}
	if keeper, ok := r.keeper(t.ID, account); ok {
		n.keeper = keeper
		deadline, _ := ctx.Deadline()
		n.wait = time.Until(deadline)
		return n, nil
	}
	conn, err := r.Lanes.Acquire(ctx, t, account, priority)
	if err != nil {
		return nil, err
	}
	n.conn = conn
	return n, nil
}

// keeper returns the other host that a statement should go to; false if it should
// take a connection of this host.
func (r *Relay) keeper(database, account string) (string, bool) {
	const most = 2 // keepers that are tried before this host itself
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, h := range r.Keepers.Of(database, account) {
		if h == r.Self || i >= most {
			return "", false
		}
		if r.Clock.Elapsed() >= r.avoided[h] {
			return h, true
		}
	}
	return "", false
}

// avoid passes a keeper over for a while.
func (r *Relay) avoid(host string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoided == nil {
		r.avoided = make(map[string]time.Duration)
	}
	r.avoided[host] = r.Clock.Elapsed() + avoidFor
	r.Log.Info("keeper of connections out of reach", "host", host, "reason", err.Error())
}

// Target is the database that the line leads to.
func (n *Line) Target() lanes.Target { return n.target }

// Exchange sends a statement and returns its answer. ErrBusy and ErrDown of package
// lanes say that it was not sent; after any other error it may have run. The
// deadline is the caller's patience; the database's answer is awaited until final
// all the same, so that its work is not broken off.
func (n *Line) Exchange(q lanes.Request, final time.Time, keep bool) (coltsfootloft.Reply, error) {
	if n.conn == nil {
		return n.exchangeAt(q, final, keep)
	}
	reply, err := n.conn.Exchange(q)
	if err == nil {
		return reply, nil
	}
	n.relay.Lanes.Observe(n.target.ID, silent)
	if dial.IsTimeout(err) && time.Now().Before(final) && !keep {
		conn := n.conn
		n.conn = nil
		go n.relay.await(conn, final)
	}
	return reply, err
}

func silent(c *pick.Candidate, now time.Duration) { c.TimedOut(now) }

// await takes a late answer.
func (r *Relay) await(conn *lanes.Conn, final time.Time) {
	err := conn.Discard(final)
	r.Lanes.Release(conn, err == nil)
}

// Release gives the line back. One that is not healthy, or rests in a transaction,
// is ended, and the database rolls back.
func (n *Line) Release(healthy bool) {
	if n.conn != nil {
		n.relay.Lanes.Release(n.conn, healthy)
		n.conn = nil
		return
	}
	if n.handle != 0 {
		n.relay.drop(n.keeper, n.handle)
		n.handle = 0
	}
}

// Rollback ends the transaction on the line and gives the line back. It does not
// wait.
func (n *Line) Rollback() {
	if n.conn == nil {
		n.Release(false)
		return
	}
	conn := n.conn
	n.conn = nil
	go n.relay.rollback(conn)
}

// rollbackTimeout bounds the end of a transaction that is dropped.
const rollbackTimeout = 300 * time.Millisecond

func (r *Relay) rollback(conn *lanes.Conn) {
	a, err := conn.Command(coltsfootloft.Command{Kind: coltsfootloft.CommandRollback}, time.Now().Add(rollbackTimeout))
	r.Lanes.Release(conn, err == nil && !a.Failed() && a.State == coltsfootloft.TxIdle)
}

// wasNotCalled reports whether a call to another host surely did not reach it.
func wasNotCalled(err error) bool {
	return errors.Is(err, peer.ErrUnreachable) || errors.Is(err, peer.ErrBusy) || errors.Is(err, peer.ErrUnknownDuty) ||
		errors.Is(err, peer.ErrTooLarge)
}
