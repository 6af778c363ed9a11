// Package dbops carries the platform's operations on one database over the
// PostgreSQL protocol.
//
// Each operation is an SQL function, named in functions.go and nowhere else. A
// [Database] keeps two connections as the platform's user: one for reading and
// changing the state, one for the long poll of Await. They are opened when first
// needed, and again after they have failed. A connection whose answer was
// abandoned is closed, so that a late answer is never taken for another's.
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

// Defaults of a [Database].
const (
	DefaultUser           = "platform"
	DefaultConnectTimeout = 2 * time.Second
)

// Bounds of the long poll.
const (
	awaitLongest = 30 * time.Second
	awaitMargin  = 100 * time.Millisecond
)

// Database is one upstream. The fields are set before the first call.
type Database struct {
	// Address is IP:port.
	Address string
	// User is the platform's user; empty means [DefaultUser].
	User     string
	Password string
	// TLS is used if it is set.
	TLS *tls.Config
	// ConnectTimeout bounds opening a connection; 0 means [DefaultConnectTimeout].
	ConnectTimeout time.Duration
	// Dial opens the connections; nil leaves the source address to the system.
	Dial dial.Func
	// Clock is the real one if nil.
	Clock clockwork.Clock

	once  sync.Once
	state line
	watch line
}

var _ coltsfootloft.Database = (*Database)(nil)

// line is one connection, used by one call at a time.
type line struct {
	turn chan struct{}
	conn *pgconn.PgConn
}

func (d *Database) init() {
	d.once.Do(func() {
		d.state.turn = make(chan struct{}, 1)
		d.watch.turn = make(chan struct{}, 1)
		if d.Clock == nil {
			d.Clock = clockwork.NewRealClock()
		}
	})
}

// Status reads the database now.
func (d *Database) Status(ctx context.Context) (coltsfootloft.Reading, error) {
	return d.call(ctx, &d.state, statusCall)
}

// Await returns the first reading whose version differs from seen, or the current
// one when ctx is about to end or half a minute has passed.
func (d *Database) Await(ctx context.Context, seen uint64) (coltsfootloft.Reading, error) {
	return d.call(ctx, &d.watch, func() string { return awaitCall(seen, d.patience(ctx)) })
}

// patience is how long the database may wait so that its answer still comes
// before ctx ends.
func (d *Database) patience(ctx context.Context) time.Duration {
	wait := awaitLongest
	if end, ok := ctx.Deadline(); ok {
		left := d.Clock.Until(end)
		wait = min(wait, left-min(awaitMargin, left/2))
	}
	return max(wait, 0)
}

// Fence raises the fence term and returns a reading taken after it.
func (d *Database) Fence(ctx context.Context, term coltsfootloft.Term) (coltsfootloft.Reading, error) {
	return d.call(ctx, &d.state, func() string { return fenceCall(term) })
}

// Promote makes the database primary of term.
func (d *Database) Promote(ctx context.Context, term coltsfootloft.Term) (coltsfootloft.Reading, error) {
	return d.call(ctx, &d.state, func() string { return promoteCall(term) })
}

// Follow makes the database a replica of the named primary.
func (d *Database) Follow(ctx context.Context, term coltsfootloft.Term, primary string) (coltsfootloft.Reading, error) {
	return d.call(ctx, &d.state, func() string { return followCall(term, primary) })
}

// Close ends both connections. A later call opens them again.
func (d *Database) Close() {
	d.init()
	for _, l := range []*line{&d.state, &d.watch} {
		l.turn <- struct{}{}
		l.drop()
		<-l.turn
	}
}

// call runs query on the line; the text is made once the line is free and open. A connection that was opened by an earlier call
// may have died since, so that failure is tried again on a new one: every
// operation is idempotent.
func (d *Database) call(ctx context.Context, l *line, query func() string) (coltsfootloft.Reading, error) {
	d.init()
	select {
	case l.turn <- struct{}{}:
		defer func() { <-l.turn }()
	case <-ctx.Done():
		return coltsfootloft.Reading{}, errors.Wrap(ctx.Err(), "database")
	}
	reused := l.conn != nil
	r, err := d.try(ctx, l, query)
	if err != nil && reused && l.conn == nil && ctx.Err() == nil {
		r, err = d.try(ctx, l, query)
	}
	return r, errors.Wrapf(err, "database %s", d.Address)
}

// try runs query once. It drops the connection unless the database itself has
// answered.
func (d *Database) try(ctx context.Context, l *line, query func() string) (coltsfootloft.Reading, error) {
	if l.conn == nil {
		c, err := d.connect(ctx)
		if err != nil {
			return coltsfootloft.Reading{}, err
		}
		l.conn = c
	}
	results, err := l.conn.Exec(ctx, query()).ReadAll()
	if err != nil {
		if l.conn.IsClosed() || !isAnswer(err) {
			l.drop()
		}
		return coltsfootloft.Reading{}, refusal(err)
	}
	return parseReading(results)
}

func (l *line) drop() {
	if l.conn == nil {
		return
	}
	c := l.conn
	l.conn = nil
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

// dialOnce returns a dial function that works once. The library opens a second
// connection to cancel a statement whose answer was abandoned; it would pile up
// before a database that does not answer, and the database notices the end of
// the first one by itself.
func dialOnce(open dial.Func) pgconn.DialFunc {
	var used atomic.Bool
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, errors.New("connection was abandoned")
		}
		return open(ctx, network, address)
	}
}
