package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft/io/dial"
	"coltsfootloft/io/peer/peerpb"
)

// openTimeout bounds the opening of a link, including TLS and Hello.
const openTimeout = time.Second

// attempt is an attempt to open a link, shared by all calls that wait for it. Its
// result is set when done is closed.
type attempt struct {
	done chan struct{}
	link *link
	err  error
}

// linkTo returns the link to a host and opens one if there is none.
func (l *Links) linkTo(ctx context.Context, host string) (*link, error) {
	l.mu.Lock()
	k := l.links[host]
	if k != nil && !k.session.IsClosed() {
		l.mu.Unlock()
		return k, nil
	}
	if l.closed {
		l.mu.Unlock()
		return nil, errors.Wrap(ErrUnreachable, "links are closed")
	}
	d := l.dials[host]
	if d == nil {
		d = &attempt{done: make(chan struct{})}
		l.dials[host] = d
		l.group.Add(1)
		go l.dial(host, d)
	}
	l.mu.Unlock()
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, errors.Wrap(ErrUnreachable, ctx.Err().Error())
	}
}

func (l *Links) dial(host string, d *attempt) {
	defer l.group.Done()
	d.link, d.err = l.open(host)
	if d.err != nil {
		d.err = errors.Wrapf(ErrUnreachable, "%s: %v", host, d.err)
		l.Log.V(1).Info("peer link not opened", "host", host, "reason", d.err.Error())
	}
	l.mu.Lock()
	delete(l.dials, host)
	l.mu.Unlock()
	close(d.done)
}

func (l *Links) open(host string) (*link, error) {
	address, ok := "", false
	if l.Resolve != nil {
		address, ok = l.Resolve(host)
	}
	if !ok {
		return nil, errors.New("address unknown")
	}
	ctx, cancel := context.WithTimeout(l.base, openTimeout)
	defer cancel()
	raw, err := dial.Or(l.Dial, 0)(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn, err := l.clientHandshake(ctx, raw, host)
	if err != nil {
		raw.Close()
		return nil, err
	}
	k, err := newLink(host, l.Self, raw, countedConn{Conn: conn, wire: l.counts.wire}, l.Clock.Now(), true)
	if err != nil {
		conn.Close()
		return nil, err
	}
	if !l.adopt(k) {
		_ = k.session.Close()
		return nil, errors.New("links are closed")
	}
	l.Log.V(1).Info("peer link opened", "host", host, "address", address)
	return k, nil
}

// clientHandshake exchanges Hello messages on a connection that this host dialed.
func (l *Links) clientHandshake(ctx context.Context, raw net.Conn, host string) (net.Conn, error) {
	deadline, _ := ctx.Deadline()
	_ = raw.SetDeadline(deadline)
	conn := raw
	if l.TLS != nil {
		c := l.TLS.Clone()
		if c.ServerName == "" {
			c.ServerName = host
		}
		t := tls.Client(raw, c)
		if err := t.HandshakeContext(ctx); err != nil {
			return nil, err
		}
		conn = t
	}
	mine, err := encodeFrame(&peerpb.Hello{
		From: l.Self,
		To:   host,
	}, nil)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(mine); err != nil {
		return nil, err
	}
	var theirs peerpb.Hello
	if _, _, err := readHeader(conn, &theirs, maxRequestHeader, 0); err != nil {
		return nil, err
	}
	if theirs.GetRefusal() != "" {
		return nil, errors.Errorf("refused by %s: %s", theirs.GetFrom(), theirs.GetRefusal())
	}
	if theirs.GetFrom() != host {
		return nil, errors.Errorf("reached host %s", theirs.GetFrom())
	}
	return conn, conn.SetDeadline(time.Time{})
}

// serverHandshake exchanges Hello messages on an accepted connection and returns the
// connection, within TLS if configured, and the name of the other host.
func (l *Links) serverHandshake(ctx context.Context, raw net.Conn) (net.Conn, string, error) {
	_ = raw.SetDeadline(time.Now().Add(openTimeout))
	conn := raw
	var secured *tls.Conn
	if l.TLS != nil {
		c := l.TLS.Clone()
		c.ClientAuth = tls.RequireAndVerifyClientCert
		secured = tls.Server(raw, c)
		if err := secured.HandshakeContext(ctx); err != nil {
			return nil, "", err
		}
		conn = secured
	}
	var theirs peerpb.Hello
	if _, _, err := readHeader(conn, &theirs, maxRequestHeader, 0); err != nil {
		return nil, "", err
	}
	host := theirs.GetFrom()
	refusal := l.refusal(&theirs, secured)
	mine, err := encodeFrame(&peerpb.Hello{
		From:    l.Self,
		To:      host,
		Refusal: refusal,
	}, nil)
	if err != nil {
		return nil, "", err
	}
	if _, err := conn.Write(mine); err != nil {
		return nil, "", err
	}
	if refusal != "" {
		return nil, "", errors.Errorf("refused %s: %s", host, refusal)
	}
	return conn, host, conn.SetDeadline(time.Time{})
}

func (l *Links) refusal(h *peerpb.Hello, secured *tls.Conn) string {
	if h.GetTo() != l.Self {
		return "this host is " + l.Self
	}
	if h.GetFrom() == "" || h.GetFrom() == l.Self {
		return "no name of its own"
	}
	if l.isFull() {
		return "too many links"
	}
	if secured == nil || l.TLS.ServerName != "" {
		return ""
	}
	if err := secured.ConnectionState().PeerCertificates[0].VerifyHostname(h.GetFrom()); err != nil {
		return "certificate does not name the host"
	}
	return ""
}
