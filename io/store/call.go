package store

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/dial"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long an unused connection stays in the pool.
	idleTimeout = time.Minute
	// maxIdle is the maximum number of pooled connections to an address.
	maxIdle = 8
	// maxResponse is the maximum number of bytes read of one response body; the rest
	// is cut off.
	maxResponse = 256 << 20
)

// response is an HTTP response with its whole body.
type response struct {
	code   int
	header http.Header
	body   []byte
}

// unavailable returns the error of a read that was answered but not served.
func (r response) unavailable() error {
	return errors.Wrapf(coltsfootloft.ErrStoreDown, "status %d: %s", r.code, r.text())
}

// text returns the start of the body, for error messages.
func (r response) text() string {
	const limit = 200
	return strings.TrimSpace(string(r.body[:min(len(r.body), limit)]))
}

// countedConn counts the bytes handed to the kernel.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write writes p and counts the bytes that were written.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// sendTracker finds out whether any byte of one call was handed to a connection.
type sendTracker struct {
	conn   *countedConn
	before int64
	sent   bool
}

// gotConn is called by package httptrace with each connection that the call uses.
func (t *sendTracker) gotConn(i httptrace.GotConnInfo) {
	t.checkConn()
	conn := i.Conn
	if c, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = c.NetConn()
	}
	t.conn, _ = conn.(*countedConn)
	if t.conn == nil {
		t.sent = true
		return
	}
	t.before = t.conn.written.Load()
}

// checkConn records whether anything was written to the current connection.
func (t *sendTracker) checkConn() {
	if t.conn != nil && t.conn.written.Load() != t.before {
		t.sent = true
	}
}

// mayHaveSent reports whether any byte was sent. It is true also if a connection
// does not count its writes.
func (t *sendTracker) mayHaveSent() bool {
	t.checkConn()
	return t.sent
}

// read makes a call that changes nothing, at one address after another until one
// serves it. It fails with ErrStoreDown.
func (c *Consul) read(ctx context.Context, path string, wait time.Duration) (response, error) {
	var lastErr error
	for i := range c.Addresses {
		r, _, err := c.call(ctx, http.MethodGet, path, nil, wait)
		if err == nil && r.code < http.StatusInternalServerError {
			return r, nil
		}
		if err == nil {
			err = r.unavailable()
		}
		lastErr = err
		if ctx.Err() != nil || i == len(c.Addresses)-1 {
			break
		}
		c.next.Add(1)
	}
	if lastErr == nil {
		return response{}, errors.Wrap(coltsfootloft.ErrStoreDown, "no address")
	}
	return response{}, errors.Wrap(coltsfootloft.ErrStoreDown, lastErr.Error())
}

// write makes a call that may change something. It fails with ErrStoreDown if
// nothing was sent, or the call was rejected by a rate limit, and with
// ErrOutcomeUnknown if something was sent and no complete response came.
func (c *Consul) write(ctx context.Context, path string, body []byte) (response, error) {
	var lastErr error
	for range c.Addresses {
		r, sent, err := c.call(ctx, http.MethodPut, path, body, 0)
		switch {
		case err != nil && sent:
			return response{}, errors.Wrap(coltsfootloft.ErrOutcomeUnknown, err.Error())
		case err == nil && r.code == http.StatusTooManyRequests:
			return response{}, r.unavailable()
		case err == nil:
			return r, nil
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
		c.next.Add(1)
	}
	if lastErr == nil {
		return response{}, errors.Wrap(coltsfootloft.ErrStoreDown, "no address")
	}
	return response{}, errors.Wrap(coltsfootloft.ErrStoreDown, lastErr.Error())
}

// call makes one call at the current address, and reports whether any byte of it may
// have been sent.
func (c *Consul) call(ctx context.Context, method, path string, body []byte, wait time.Duration) (r response, sent bool, err error) {
	c.once.Do(c.prepare)
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+wait)
	defer cancel()
	t := &sendTracker{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
	address := c.Addresses[int(c.next.Load())%len(c.Addresses)]
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	req, err := http.NewRequestWithContext(ctx, method, address+path, bytes.NewReader(body))
	if err != nil {
		return response{}, false, errors.Wrap(err, "request")
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return response{}, t.mayHaveSent(), err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return response{}, true, err
	}
	return response{
		code:   resp.StatusCode,
		header: resp.Header,
		body:   b,
	}, true, nil
}

func (c *Consul) prepare() {
	c.client = c.Client
	if c.client != nil {
		return
	}
	d := dial.Or(c.Dial, dialTimeout)
	c.client = &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := d(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countedConn{Conn: conn}, nil
			},
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     idleTimeout,
		},
	}
}

// Close closes the pooled connections.
func (c *Consul) Close() {
	c.once.Do(c.prepare)
	c.client.CloseIdleConnections()
}
