package peer

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// probeAfter is how long a link with waiting calls may be silent before it
	// is probed.
	probeAfter = 200 * time.Millisecond
	// probeTimeout is how long a probe or a write may take.
	probeTimeout = 600 * time.Millisecond
	// streamClose is how long a half-closed stream is kept.
	streamClose = 5 * time.Second
	// settleTime is how long after its opening a link may still lose against
	// one that the other side dialed at the same time.
	settleTime = 2 * time.Second
)

// link is one connection to another host.
type link struct {
	host    string
	dialer  string
	session *yamux.Session
	opened  time.Time
	// parting is set once the other side was told to open no more calls;
	// guarded by Links.mu.
	parting bool

	calls   atomic.Int64
	handled atomic.Int64
	used    atomic.Int64
	wake    chan struct{}
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = probeTimeout
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = streamClose
	c.LogOutput = io.Discard
	return c
}

func newLink(host, dialer string, conn net.Conn, now time.Time, client bool) (*link, error) {
	open := yamux.Server
	if client {
		open = yamux.Client
	}
	s, err := open(conn, sessionConfig())
	if err != nil {
		return nil, err
	}
	k := &link{
		host:    host,
		dialer:  dialer,
		session: s,
		opened:  now,
		wake:    make(chan struct{}, 1),
	}
	k.used.Store(now.UnixNano())
	return k, nil
}

// idle is how long the link has had no call, 0 while it has one.
func (k *link) idle(now time.Time) time.Duration {
	if k.calls.Load() > 0 || k.handled.Load() > 0 {
		return 0
	}
	return max(1, time.Duration(now.UnixNano()-k.used.Load()))
}

// waiting lets watch know that a call has begun.
func (k *link) waiting() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// watch probes the link while calls wait for answers, and closes it when the
// other side has gone silent. It returns when the link is closed.
func (k *link) watch() {
	t := time.NewTicker(probeAfter)
	defer t.Stop()
	heard := int64(0)
	for {
		if k.calls.Load() == 0 {
			select {
			case <-k.wake:
				t.Reset(probeAfter)
			case <-k.session.CloseChan():
				return
			}
		}
		select {
		case <-t.C:
		case <-k.session.CloseChan():
			return
		}
		if u := k.used.Load(); u != heard {
			heard = u
			continue
		}
		if k.calls.Load() == 0 {
			continue
		}
		if _, err := k.session.Ping(); err != nil {
			_ = k.session.Close()
			return
		}
	}
}

// current makes k the link that new calls use, unless another one stays. A link
// that is not used any more goes on with the calls it has.
func (l *Links) current(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.group.Add(2)
	go l.serve(k)
	go func() {
		defer l.group.Done()
		k.watch()
	}()
	old := l.links[k.host]
	if old == nil || l.yields(old, k) {
		l.links[k.host] = k
		if old != nil {
			l.extra[old] = struct{}{}
		}
		return true
	}
	l.extra[k] = struct{}{}
	return true
}

// yields reports whether the old link gives way to the new one: the newer stays,
// but of two dialed at the same time the one dialed by the smaller name.
func (l *Links) yields(old, k *link) bool {
	if old.dialer == k.dialer || k.opened.Sub(old.opened) > settleTime {
		return true
	}
	return k.dialer < old.dialer
}

// forget drops a closed link.
func (l *Links) forget(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[k.host] == k {
		delete(l.links, k.host)
	}
	delete(l.extra, k)
}
