// Package relay forwards statements to the host that owns the connections of their
// account to a database.
//
// A database accepts few connections from all hosts together, and each is bound to one
// client account. If every host opened its own, most statements would wait for a new
// connection, and the databases would spend as much time on opening connections as on
// statements. Instead, for each database and account one host in the database's failure
// domain owns the connections; the other hosts forward their statements to it over the
// links between hosts. If the owner is the host itself or can't be reached, a statement
// uses a connection of its own host.
//
// Log lines and error texts call the owner the keeper of the connections.
package relay

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/homes"
	"coltsfootloft/core/load"
	"coltsfootloft/core/pick"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/dial"
	"coltsfootloft/io/groups"
	"coltsfootloft/io/peer"
	"coltsfootloft/io/warmup"
)

const (
	// avoidFor is how long an owner that could not be reached is skipped.
	avoidFor = time.Second
	// linkDelayMax is how much time the round trip to another host may add to a wait:
	// a few times the usual 2 ms.
	linkDelayMax = 20 * time.Millisecond
)

// Relay lends connections to databases, directly or through their owner. Its exported
// fields are set before use.
type Relay struct {
	// Self is this host's name.
	Self string
	// Peers calls other hosts.
	Peers coltsfootloft.Peers
	// Owners assigns connections to hosts.
	Owners *Owners
	// Pools holds this host's own connections.
	Pools *dbpool.Pools
	// Groups decides whether a primary may be used.
	Groups *groups.Groups
	// Clock is a monotonic clock that keeps running while the host is suspended.
	Clock coltsfootloft.Clock
	// Cold limits the requests to cold databases; nil if none are limited.
	Cold *warmup.Limiter
	// HoldTimeout returns how long a connection that is held for another host's
	// transaction may be idle.
	HoldTimeout func() time.Duration
	// Log receives a line when an owner can't be reached.
	Log logr.Logger
	// Memory bounds the messages between hosts.
	Memory coltsfootloft.Memory
	// CheckStatement returns the statement with an id and a text, and CheckCommand checks a command
	// that prepares a connection. Both report false for what a database would not receive as one request.
	CheckStatement func(id, text string) (coltsfootloft.Statement, bool)
	CheckCommand   func(coltsfootloft.Command) bool

	mu         sync.Mutex
	avoidUntil map[string]time.Duration
	held       map[uint64]*heldConn
	loads      load.Table
	serving    int  // statements of other hosts that are being run
	leaving    bool // other hosts get no further connections
}

// Conn is a connection to a database for one session at a time. It is either a
// connection of this host or goes through the owner on another host.
type Conn struct {
	relay   *Relay
	target  dbpool.Target
	account string
	// priority orders waiting statements, where 0 is the most urgent.
	priority int
	primary  *groups.Primary
	conn     *dbpool.Conn // connection of this host, or nil
	owner    string       // host that owns the connection, if conn is nil
	handle   uint64
	wait     time.Duration // for a connection at the owner, or for a cold database, at most
}

// Borrow lends a connection for statements with a priority, where 0 is the most urgent.
// primary is nil unless the database is used as primary. If another host owns the
// connection, it is taken with the first statement. Owners that h excludes are not used. Errors are
// those of Pools.Acquire.
func (r *Relay) Borrow(ctx context.Context, t dbpool.Target, account string, priority int, primary *groups.Primary, h homes.Homes) (*Conn, error) {
	if r.isClosed(t) {
		return nil, dbpool.ErrClosed
	}
	n := &Conn{
		relay:    r,
		target:   t,
		account:  account,
		priority: priority,
		primary:  primary,
	}
	deadline, _ := ctx.Deadline()
	n.wait = time.Until(deadline)
	if owner, ok := r.remoteOwner(t.ID, account, h); ok {
		n.owner = owner
		return n, nil
	}
	conn, err := r.Pools.Acquire(ctx, t, account, priority)
	if err != nil {
		return nil, err
	}
	n.conn = conn
	return n, nil
}

// remoteOwner returns the host to which a statement should be forwarded. It reports false
// if the statement should use a connection of this host.
func (r *Relay) remoteOwner(database, account string, allowed homes.Homes) (string, bool) {
	const maxRemote = 2 // owners that are tried before this host itself
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, h := range r.owners(database, account, allowed) {
		if h == r.Self || i >= maxRemote {
			return "", false
		}
		if r.Clock.Elapsed() >= r.avoidUntil[h] {
			return h, true
		}
	}
	return "", false
}

// avoid skips an owner for avoidFor.
func (r *Relay) avoid(host string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoidUntil == nil {
		r.avoidUntil = make(map[string]time.Duration)
	}
	r.avoidUntil[host] = r.Clock.Elapsed() + avoidFor
	r.Log.Info("keeper of connections out of reach", "host", host, "reason", err.Error())
}

// Target returns the database of the connection.
func (n *Conn) Target() dbpool.Target { return n.target }

// Exchange sends a statement and returns its answer, whose memory the caller gives back. The
// errors dbpool.ErrBusy, dbpool.ErrDown and ErrTransactionEnded mean that it was not sent, and
// coltsfootloft.ErrNotSent that it can't be sent on any connection; after any other error it may
// have run.
// The request's deadline bounds the wait of the caller. The answer of the database is
// still awaited until final, so that the database's work is not interrupted. keep is set
// in a transaction, whose connection is kept after the statement.
func (n *Conn) Exchange(q dbpool.Request, final time.Time, keep bool) (coltsfootloft.Reply, error) {
	if n.conn == nil {
		if n.relay.isClosed(n.target) {
			return coltsfootloft.Reply{}, dbpool.ErrClosed
		}
		return n.exchangeRemote(q, final, keep)
	}
	reply, err := n.conn.Exchange(n.patient(q, keep))
	if err == nil {
		return reply, nil
	}
	if errors.Is(err, dbpool.ErrCold) {
		n.relay.Cold.Refused(n.target.ID)
		n.Release(!isInTransaction(q.Statement, keep))
		return reply, err
	}
	if errors.Is(err, dbpool.ErrUnread) || errors.Is(err, coltsfootloft.ErrNotSent) {
		n.Release(false)
		return reply, err
	}
	n.relay.Pools.Observe(n.target.ID, recordSilence)
	if dial.IsTimeout(err) && time.Now().Before(final) && !keep {
		conn := n.conn
		n.conn = nil
		go n.relay.discardReplies(conn, q.Statement.ID(), final)
	}
	return reply, err
}

func recordSilence(c *pick.Candidate, now time.Duration) { c.TimedOut(now) }

// discardReplies waits until final for the late answer to a statement, and for those that are
// outstanding before it, and releases the connection.
func (r *Relay) discardReplies(conn *dbpool.Conn, id string, final time.Time) {
	started := r.Clock.Elapsed()
	outstanding := conn.Outstanding()
	err := conn.DiscardReplies(final)
	outcome := "connection released"
	if err != nil {
		outcome = "connection closed: " + err.Error()
	}
	r.Log.Info("late answers", "id", id, "database", conn.Target().ID, "outstanding", outstanding,
		"waited_ms", (r.Clock.Elapsed() - started).Milliseconds(), "outcome", outcome)
	r.Pools.Release(conn, err == nil)
}

// Release returns the connection. If healthy is false it is closed. The database then
// rolls back, as it does if the owner still holds the connection for a transaction.
func (n *Conn) Release(healthy bool) {
	if n.conn != nil {
		n.relay.Pools.Release(n.conn, healthy)
		n.conn = nil
		return
	}
	if n.handle != 0 {
		n.relay.endRemote(n.owner, n.handle, n.relay.isClosed(n.target))
		n.handle = 0
	}
}

// Rollback rolls back the transaction and returns the connection, without waiting for
// the answer.
func (n *Conn) Rollback() {
	if n.conn == nil {
		n.Release(false)
		return
	}
	conn := n.conn
	n.conn = nil
	go n.relay.rollback(conn)
}

// rollbackTimeout bounds a rollback.
const rollbackTimeout = 300 * time.Millisecond

func (r *Relay) rollback(conn *dbpool.Conn) {
	a, err := conn.Command(coltsfootloft.Command{Kind: coltsfootloft.CommandRollback}, time.Now().Add(rollbackTimeout))
	r.Pools.Release(conn, err == nil && !a.Failed() && a.State == coltsfootloft.TxIdle)
}

// isNotDelivered reports whether a call to another host certainly did not reach it.
func isNotDelivered(err error) bool {
	return errors.Is(err, peer.ErrUnreachable) || errors.Is(err, peer.ErrBusy) || errors.Is(err, peer.ErrUnknownDuty) ||
		errors.Is(err, peer.ErrTooLarge)
}
