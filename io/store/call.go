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
	// dialTimeout bounds opening a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout closes pooled connections.
	idleTimeout = time.Minute
	// maxIdle is the number of pooled connections to an address.
	maxIdle = 8
	// maxAnswer is the most bytes read of one answer.
	maxAnswer = 256 << 20
)

// answer is one HTTP answer, read whole.
type answer struct {
	code   int
	header http.Header
	body   []byte
}

// down is the error of a read that the store answered but did not serve.
func (a answer) down() error {
	return errors.Wrapf(coltsfootloft.ErrStoreDown, "status %d: %s", a.code, a.text())
}

func (a answer) text() string {
	const most = 200
	return strings.TrimSpace(string(a.body[:min(len(a.body), most)]))
}

// countedConn counts the writes that handed bytes to the kernel.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

// Write counts the bytes of p that were taken.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// sending tells whether any byte of one call was handed to a connection.
type sending struct {
	conn   *countedConn
	before int64
	maybe  bool
}

func (s *sending) gotConn(i httptrace.GotConnInfo) {
	s.settle()
	conn := i.Conn
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = t.NetConn()
	}
	s.conn, _ = conn.(*countedConn)
	if s.conn == nil {
		s.maybe = true
		return
	}
	s.before = s.conn.written.Load()
}

// settle looks at the connection used so far.
func (s *sending) settle() {
	if s.conn != nil && s.conn.written.Load() != s.before {
		s.maybe = true
	}
}

func (s *sending) began() bool {
	s.settle()
	return s.maybe
}

// read makes a call that changes nothing, at each address until one serves it.
func (c *Consul) read(ctx context.Context, path string, wait time.Duration) (answer, error) {
	var last error
	for i := range c.Addresses {
		a, _, err := c.call(ctx, http.MethodGet, path, nil, wait)
		if err == nil && a.code < http.StatusInternalServerError {
			return a, nil
		}
		if err == nil {
			err = a.down()
		}
		last = err
		if ctx.Err() != nil || i == len(c.Addresses)-1 {
			break
		}
		c.next.Add(1)
	}
	if last == nil {
		return answer{}, errors.Wrap(coltsfootloft.ErrStoreDown, "no address")
	}
	return answer{}, errors.Wrap(coltsfootloft.ErrStoreDown, last.Error())
}

// change makes a call that may change something. It fails with ErrStoreDown if
// nothing was sent and with ErrUncertain if no whole answer came.
func (c *Consul) change(ctx context.Context, path string, body []byte) (answer, error) {
	var last error
	for range c.Addresses {
		a, sent, err := c.call(ctx, http.MethodPut, path, body, 0)
		switch {
		case err != nil && sent:
			return answer{}, errors.Wrap(coltsfootloft.ErrOutcomeUnknown, err.Error())
		case err == nil && a.code == http.StatusTooManyRequests:
			return answer{}, a.down()
		case err == nil:
			return a, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
		c.next.Add(1)
	}
	if last == nil {
		return answer{}, errors.Wrap(coltsfootloft.ErrStoreDown, "no address")
	}
	return answer{}, errors.Wrap(coltsfootloft.ErrStoreDown, last.Error())
}

// call makes one call at the present address and tells whether any byte of it
// was sent.
func (c *Consul) call(ctx context.Context, method, path string, body []byte, wait time.Duration) (a answer, sent bool, err error) {
	c.once.Do(c.prepare)
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+wait)
	defer cancel()
	s := &sending{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
	address := c.Addresses[int(c.next.Load())%len(c.Addresses)]
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	r, err := http.NewRequestWithContext(ctx, method, address+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, false, errors.Wrap(err, "request")
	}
	w, err := c.client.Do(r)
	if err != nil {
		return answer{}, s.began(), err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(io.LimitReader(w.Body, maxAnswer))
	if err != nil {
		return answer{}, true, err
	}
	return answer{
		code:   w.StatusCode,
		header: w.Header,
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

// Close drops the pooled connections.
func (c *Consul) Close() {
	c.once.Do(c.prepare)
	c.client.CloseIdleConnections()
}
