// Package dbops runs the platform's operations on one database over the
// PostgreSQL protocol.
//
// Each operation is an SQL function; the statements are in functions.go and
// nowhere else. A [Database] has two connections as the platform's user: one to
// read and change the state, one for the long poll of Await. A connection is
// opened when it is first needed and again after a failure. A connection is
// closed if a call on it was abandoned or if it has unread input, so that a
// late answer is never taken for the answer to another call.
package dbops

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/dial"
)

// Defaults for the fields of a [Database].
const (
	DefaultUser           = "platform"
	DefaultConnectTimeout = 2 * time.Second
)

// Bounds of the long poll.
const (
	maxAwait    = 30 * time.Second
	awaitMargin = 100 * time.Millisecond
)

// Database is the platform's interface to one upstream. The fields are set
// before the first call.
type Database struct {
	// Address is IP:port.
	Address string
	// User is the name of the platform's user, [DefaultUser] if empty.
	User     string
	Password string
	// TLS is the configuration of TLS; connections are not encrypted if it is
	// nil.
	TLS *tls.Config
	// ConnectTimeout bounds opening a connection, [DefaultConnectTimeout] if 0.
	ConnectTimeout time.Duration
	// Dial opens the network connections. If it is nil, the operating system
	// chooses the source address.
	Dial dial.Func
	// Clock is the real clock if nil.
	Clock clockwork.Clock

	once      sync.Once
	stateConn connSlot
	awaitConn connSlot
}

var _ coltsfootloft.Database = (*Database)(nil)

// connSlot holds one connection, which one call at a time uses.
type connSlot struct {
	lock chan struct{}
	conn *pgconn.PgConn
}

func (d *Database) init() {
	d.once.Do(func() {
		d.stateConn.lock = make(chan struct{}, 1)
		d.awaitConn.lock = make(chan struct{}, 1)
		if d.Clock == nil {
			d.Clock = clockwork.NewRealClock()
		}
	})
}

// Status returns the current reading of the database.
func (d *Database) Status(ctx context.Context) (coltsfootloft.Reading, error) {
	return d.call(ctx, &d.stateConn, statusCall)
}

// Await returns the first reading whose version differs from the given one. It
// returns the current reading shortly before ctx ends, or after half a minute.
func (d *Database) Await(ctx context.Context, version uint64) (coltsfootloft.Reading, error) {
	return d.call(ctx, &d.awaitConn, func() string { return awaitCall(version, d.awaitTime(ctx)) })
}

// awaitTime returns how long the database may wait so that its answer arrives
// before ctx ends.
func (d *Database) awaitTime(ctx context.Context) time.Duration {
	wait := maxAwait
	if end, ok := ctx.Deadline(); ok {
		left := d.Clock.Until(end)
		wait = min(wait, left-min(awaitMargin, left/2))
	}
	return max(wait, 0)
}

// Fence raises the fence term and returns a reading taken afterwards.
func (d *Database) Fence(ctx context.Context, term coltsfootloft.Term) (coltsfootloft.Reading, error) {
	return d.call(ctx, &d.stateConn, func() string { return fenceCall(term) })
}

// Promote makes the database the primary of term.
func (d *Database) Promote(ctx context.Context, term coltsfootloft.Term) (coltsfootloft.Reading, error) {
	return d.call(ctx, &d.stateConn, func() string { return promoteCall(term) })
}

// Follow makes the database a replica of the named primary.
func (d *Database) Follow(ctx context.Context, term coltsfootloft.Term, primary string) (coltsfootloft.Reading, error) {
	return d.call(ctx, &d.stateConn, func() string { return followCall(term, primary) })
}

// Close closes both connections. A later call opens them again.
func (d *Database) Close() {
	d.init()
	for _, cs := range []*connSlot{&d.stateConn, &d.awaitConn} {
		cs.lock <- struct{}{}
		cs.disconnect()
		<-cs.lock
	}
}

// call runs a statement on the connection of the slot. The text of the
// statement is made once the connection is free and open. A connection opened
// by an earlier call may have failed since; a call that loses such a connection
// is retried once on a new one, which is safe because every operation is
// idempotent.
func (d *Database) call(ctx context.Context, cs *connSlot, query func() string) (coltsfootloft.Reading, error) {
	d.init()
	select {
	case cs.lock <- struct{}{}:
		defer func() { <-cs.lock }()
	case <-ctx.Done():
		return coltsfootloft.Reading{}, errors.Wrap(ctx.Err(), "database")
	}
	reused := cs.conn != nil
	r, err := d.try(ctx, cs, query)
	if err != nil && reused && cs.conn == nil && ctx.Err() == nil {
		r, err = d.try(ctx, cs, query)
	}
	return r, errors.Wrapf(err, "database %s", d.Address)
}

// try runs a statement once. It closes the connection on an error, except an
// error that the database itself returned and that leaves the connection
// usable.
func (d *Database) try(ctx context.Context, cs *connSlot, query func() string) (coltsfootloft.Reading, error) {
	if cs.conn != nil && !isQuiet(cs.conn) {
		cs.disconnect()
	}
	if cs.conn == nil {
		c, err := d.connect(ctx)
		if err != nil {
			return coltsfootloft.Reading{}, err
		}
		cs.conn = c
	}
	results, err := cs.conn.Exec(ctx, query()).ReadAll()
	if err != nil {
		if cs.conn.IsClosed() || !isDatabaseError(err) {
			cs.disconnect()
		}
		return coltsfootloft.Reading{}, asFenced(err)
	}
	return parseReading(results)
}

// isQuiet reports whether a connection is open and has nothing unread, which would be taken for the
// answer to the next call.
func isQuiet(c *pgconn.PgConn) bool {
	return c.Frontend().ReadBufferLen() == 0 && dial.IsQuiet(c.Conn())
}

func (cs *connSlot) disconnect() {
	if cs.conn == nil {
		return
	}
	c := cs.conn
	cs.conn = nil
	c.Conn().Close()
}

func (d *Database) connect(ctx context.Context) (*pgconn.PgConn, error) {
	host, port, err := net.SplitHostPort(d.Address)
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	c, err := pgconn.ParseConfig("host=" + host + " port=" + port + " sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	c.User = d.User
	if c.User == "" {
		c.User = DefaultUser
	}
	c.Database = c.User
	c.Password = d.Password
	c.TLSConfig = d.TLS
	c.Fallbacks = nil
	c.ConnectTimeout = d.ConnectTimeout
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = DefaultConnectTimeout
	}
	c.DialFunc = dialOnce(dial.Or(d.Dial, 0))
	conn, err := pgconn.ConnectConfig(ctx, c)
	return conn, errors.Wrap(err, "connect")
}

// dialOnce returns a dial function that works once. After an abandoned call the
// library would open a second connection to cancel the statement. Such
// connections would pile up if the database doesn't answer, and they aren't
// needed, as the database notices the end of the first connection by itself.
func dialOnce(open dial.Func) pgconn.DialFunc {
	var used atomic.Bool
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, errors.New("connection was abandoned")
		}
		return open(ctx, network, address)
	}
}
