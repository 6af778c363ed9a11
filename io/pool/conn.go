package pool

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"coltsfootloft"
	"coltsfootloft/io/dial"
)

// maxPrepared limits the named statements that stay prepared on one connection.
const maxPrepared = 256

// closeTimeout limits the wait for the upstream to close its end of a connection.
const closeTimeout = time.Second

// pastDeadline is a deadline that interrupts pending reads and writes at once.
var pastDeadline = time.Unix(1, 0)

// Conn is an open connection to an upstream. One session at a time uses it.
type Conn struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
	pid      uint32
	secret   []byte
	params   map[string]string

	verified   coltsfootloft.Position
	lastCommit coltsfootloft.Position
	settings   string
	prepared   map[string]bool
	unnamed    string

	pool    *Pool
	release func()
	broken  atomic.Bool
}

// Frontend returns the client side of the protocol on the connection.
func (c *Conn) Frontend() *pgproto3.Frontend { return c.frontend }

// Database is the name of the upstream.
func (c *Conn) Database() string { return c.pool.Upstream.Name() }

// Params returns the parameters that the server reported at the start. The map must
// not be changed.
func (c *Conn) Params() map[string]string { return c.params }

// CancelKey returns the process id and secret for a cancel request for this
// connection.
func (c *Conn) CancelKey() (pid uint32, secret []byte) { return c.pid, c.secret }

// Verified returns a position that reads on the connection are known to have reached.
func (c *Conn) Verified() coltsfootloft.Position { return c.verified }

// SetVerified records that the server reported p as applied on this connection. An
// older position than the current one is ignored.
func (c *Conn) SetVerified(p coltsfootloft.Position) {
	if p.Covers(c.verified) {
		c.verified = p
	}
}

// LastCommit returns the position of the latest commit on the connection.
func (c *Conn) LastCommit() coltsfootloft.Position { return c.lastCommit }

// SetLastCommit records the position of the latest commit, as reported by the server.
func (c *Conn) SetLastCommit(p coltsfootloft.Position) { c.lastCommit = p }

// Settings returns the key of the session settings in force on the server.
func (c *Conn) Settings() string { return c.settings }

// SetSettings records the key of the session settings in force on the server.
func (c *Conn) SetSettings(key string) { c.settings = key }

// HasStatement reports whether the statement is prepared under name. The unnamed
// statement is identified by its key.
func (c *Conn) HasStatement(name, key string) bool {
	if name == "" {
		return c.unnamed == key
	}
	return c.prepared[name]
}

// AddStatement records a prepared statement. If there are too many, it returns the
// name of one that must be closed; otherwise the empty string.
func (c *Conn) AddStatement(name, key string) (evicted string) {
	if name == "" {
		c.unnamed = key
		return ""
	}
	if len(c.prepared) >= maxPrepared {
		for evicted = range c.prepared {
			break
		}
		delete(c.prepared, evicted)
	}
	if c.prepared == nil {
		c.prepared = make(map[string]bool)
	}
	c.prepared[name] = true
	return evicted
}

// DropStatement records that a statement is no longer prepared.
func (c *Conn) DropStatement(name string) {
	if name == "" {
		c.unnamed = ""
		return
	}
	delete(c.prepared, name)
}

// SetDeadline sets the deadline for reads and writes on the connection; the zero time
// removes it.
func (c *Conn) SetDeadline(t time.Time) error { return c.conn.SetDeadline(t) }

// MarkBroken marks the connection as unfit for reuse. It may be called from any
// goroutine.
func (c *Conn) MarkBroken() { c.broken.Store(true) }

// Abort marks the connection as broken and interrupts pending reads and writes.
// Release then closes it.
func (c *Conn) Abort() {
	c.MarkBroken()
	_ = c.conn.SetDeadline(pastDeadline)
}

// isQuiet reports whether the connection is open and has nothing unread. What is unread answers none of
// the next session's requests.
func (c *Conn) isQuiet() bool { return c.frontend.ReadBufferLen() == 0 && dial.IsQuiet(c.conn) }

// Release returns the connection to its pool, which closes it if it is broken or has unread input.
func (c *Conn) Release() { c.pool.putBack(c) }

// close closes the connection and waits until the upstream has closed its end, before
// the right to connect is released. Otherwise there would be more connections than
// rights for a moment. No Terminate is sent, because a message may have been written
// in part.
func (c *Conn) close() {
	_ = c.conn.SetDeadline(time.Now().Add(closeTimeout))
	if h, ok := c.conn.(interface{ CloseWrite() error }); ok && h.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c.conn)
	}
	c.conn.Close()
	c.release()
}
