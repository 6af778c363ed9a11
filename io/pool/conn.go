package pool

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"coltsfootloft"
)

// maxPrepared bounds the named statements kept on one connection.
const maxPrepared = 256

// closeTimeout is how long the upstream may take to end a connection.
const closeTimeout = time.Second

// longAgo ends reads and writes at once when set as a deadline.
var longAgo = time.Unix(1, 0)

// Conn is an open connection to an upstream, lent to one session at a time.
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

// Frontend speaks the protocol on the connection.
func (c *Conn) Frontend() *pgproto3.Frontend { return c.frontend }

// Database is the name of the upstream.
func (c *Conn) Database() string { return c.pool.Upstream.Name() }

// Params are the parameters that the server reported at the start. The map must
// not be changed.
func (c *Conn) Params() map[string]string { return c.params }

// CancelKey is what a cancel request for this connection must carry.
func (c *Conn) CancelKey() (pid uint32, secret []byte) { return c.pid, c.secret }

// Verified is a position that reads on the connection are known to reach.
func (c *Conn) Verified() coltsfootloft.Position { return c.verified }

// Verify notes that the server reported p on this connection.
func (c *Conn) Verify(p coltsfootloft.Position) {
	if p.Covers(c.verified) {
		c.verified = p
	}
}

// LastCommit is the newest commit that was made on the connection.
func (c *Conn) LastCommit() coltsfootloft.Position { return c.lastCommit }

// Committed notes the newest commit that the server reported.
func (c *Conn) Committed(p coltsfootloft.Position) { c.lastCommit = p }

// Settings identifies the session settings in force on the server.
func (c *Conn) Settings() string { return c.settings }

// SetSettings notes which session settings are in force.
func (c *Conn) SetSettings(key string) { c.settings = key }

// HasStatement reports whether the statement is prepared under name. The
// unnamed statement is known by its key.
func (c *Conn) HasStatement(name, key string) bool {
	if name == "" {
		return c.unnamed == key
	}
	return c.prepared[name]
}

// AddStatement notes a prepared statement. It returns the name of one to close
// in its place when there are too many, or the empty string.
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

// DropStatement notes that a statement is not prepared any more.
func (c *Conn) DropStatement(name string) {
	if name == "" {
		c.unnamed = ""
		return
	}
	delete(c.prepared, name)
}

// SetDeadline bounds reads and writes on the connection; the zero time removes
// the bound.
func (c *Conn) SetDeadline(t time.Time) error { return c.conn.SetDeadline(t) }

// Break marks the connection as unfit for another borrower. It may be called
// from any goroutine.
func (c *Conn) Break() { c.broken.Store(true) }

// Abort breaks the connection and ends whatever waits for it. Release closes it.
func (c *Conn) Abort() {
	c.Break()
	_ = c.conn.SetDeadline(longAgo)
}

// Release gives the connection back to its pool, which closes it if it is
// broken.
func (c *Conn) Release() { c.pool.put(c) }

// close ends the connection and waits until the upstream has ended it too, before
// its right goes to another: else there are more connections than rights for a
// moment. No Terminate is sent, because a message may have been written in part.
func (c *Conn) close() {
	_ = c.conn.SetDeadline(time.Now().Add(closeTimeout))
	if h, ok := c.conn.(interface{ CloseWrite() error }); ok && h.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, c.conn)
	}
	c.conn.Close()
	c.release()
}
