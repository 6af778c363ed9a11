// Package bound limits what the peers of a port for HTTP requests may make a host hold.
//
// Such a port serves a load balancer, operators or a collector of metrics, a few connections
// together. If there are more, the oldest is closed for the newest, so that connections which
// send nothing, or an unfinished request, keep nobody out: a request and its answer take
// milliseconds, and a connection that is older waits for its peer.
package bound

import (
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// MaxConns is how many connections a port has at a time.
	MaxConns = 64
	// maxHeader is the size of the largest header of a request, in bytes. net/http reads 4 KB
	// more before it refuses one.
	maxHeader = 4 << 10
	// idleTimeout is how long a connection waits for its next request. A balancer asks once a
	// second.
	idleTimeout = 10 * time.Second
)

// Limit sets the limits of a server that has none: of the size of headers, and of the time
// that a connection may be idle.
func Limit(s *http.Server) {
	s.MaxHeaderBytes = maxHeader
	s.IdleTimeout = idleTimeout
}

// Sizes of the kernel's buffers of a connection.
const (
	// ReceiveBuffer is that of what is received, in bytes, which the kernel doubles. It would otherwise
	// let them grow to megabytes for each peer that sends ahead or does not read.
	ReceiveBuffer = 16 << 10
	// SendBuffer is that of what is sent.
	SendBuffer = 64 << 10
)

// Listener is a listener with at most MaxConns connections. Its field is set before use.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns []*conn // the oldest first
}

// Accept returns the next connection. If there are MaxConns, it closes the oldest.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	n := &conn{
		Conn:     c,
		listener: l,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= MaxConns {
		l.conns[0].Conn.Close()
		l.conns = slices.Delete(l.conns, 0, 1)
	}
	l.conns = append(l.conns, n)
	return n, nil
}

// conn is a connection that the listener counts until it is closed.
type conn struct {
	net.Conn
	listener *Listener
}

// Close closes the connection.
func (c *conn) Close() error {
	l := c.listener
	l.mu.Lock()
	if i := slices.Index(l.conns, c); i >= 0 {
		l.conns = slices.Delete(l.conns, i, i+1)
	}
	l.mu.Unlock()
	return c.Conn.Close()
}
