package peer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// probeAfter is how long no call of a link may be answered, while calls wait, before the
	// link is probed. It is also probed that long after a call has ended without its answer.
	probeAfter = 200 * time.Millisecond
	// probeTimeout bounds a probe or a write.
	probeTimeout = 600 * time.Millisecond
	// streamCloseTimeout bounds the time that a stream stays half-closed.
	streamCloseTimeout = 5 * time.Second
	// raceWindow is the greatest difference between the opening times of two links
	// that counts as both sides having dialed at the same time.
	raceWindow = 2 * time.Second
)

// link is one connection to another host, dialed by the host named dialer.
type link struct {
	host    string
	dialer  string
	session *yamux.Session
	raw     net.Conn // below TLS
	opened  time.Time
	// goingAway is set when the other side is told to open no more calls; guarded
	// by Links.mu.
	goingAway bool
	// isRetired is set when the other side has asked for no more calls; guarded by opening,
	// which is held while a stream is opened.
	isRetired bool
	opening   sync.RWMutex

	calls    atomic.Int64
	serving  atomic.Int64
	streams  atomic.Int64 // opened by the other side and not closed by it
	lastUsed atomic.Int64
	// progress counts the calls that were answered and the requests that were served.
	progress atomic.Int64
	// inDoubt is set when a call has ended without its answer, and reset when the link is probed. The
	// request may still be on its way.
	inDoubt atomic.Bool
	wake    chan struct{}
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = probeTimeout
	c.StreamOpenTimeout = 0
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	return c
}

func newLink(host, dialer string, raw, conn net.Conn, now time.Time, client bool) (*link, error) {
	open := yamux.Server
	if client {
		open = yamux.Client
	}
	s, err := open(&guardedConn{Conn: conn}, sessionConfig())
	if err != nil {
		return nil, err
	}
	k := &link{
		host:    host,
		dialer:  dialer,
		session: s,
		raw:     raw,
		opened:  now,
		wake:    make(chan struct{}, 1),
	}
	k.lastUsed.Store(now.UnixNano())
	return k, nil
}

// idle returns how long the link has had no call in flight, 0 while it has one.
func (k *link) idle(now time.Time) time.Duration {
	if k.calls.Load() > 0 || k.serving.Load() > 0 {
		return 0
	}
	return max(1, time.Duration(now.UnixNano()-k.lastUsed.Load()))
}

// requestProbe makes watch probe the link, because a call has ended without an answer.
func (k *link) requestProbe() {
	k.inDoubt.Store(true)
	k.notify()
}

// notify wakes watch when a call begins or ends without an answer.
func (k *link) notify() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// watch probes the link while calls wait for answers, and after calls that got none. It closes the
// link when the other side does not answer a probe, and returns when the link is closed. Calls that
// time out don't postpone the probe: their requests could otherwise arrive much later.
func (k *link) watch() {
	t := time.NewTicker(probeAfter)
	defer t.Stop()
	last := int64(0)
	for {
		if k.calls.Load() == 0 && !k.inDoubt.Load() {
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
		n := k.progress.Load()
		isSilent := n == last && k.calls.Load() > 0
		last = n
		if !k.inDoubt.Swap(false) && !isSilent {
			continue
		}
		if _, err := k.session.Ping(); err != nil {
			k.reset()
			return
		}
	}
}

// reset closes the link and drops what was not delivered. Otherwise the system goes on
// sending it, and requests whose callers were told that they are lost are handled when a
// partition ends.
func (k *link) reset() {
	if c, ok := k.raw.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = k.session.Close()
}

// adopt starts serving k and makes it the link for new calls, unless an existing one
// is kept. The other link finishes the calls that it has. It reports false if the
// links are closed.
func (l *Links) adopt(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	if oldest := l.oldestOf(k.host); oldest != nil {
		delete(l.retired, oldest)
		go oldest.reset()
	}
	l.group.Add(2)
	go l.serve(k)
	go func() {
		defer l.group.Done()
		k.watch()
	}()
	old := l.links[k.host]
	if old == nil || l.replaces(old, k) {
		l.links[k.host] = k
		if old != nil {
			l.retired[old] = struct{}{}
		}
		return true
	}
	l.retired[k] = struct{}{}
	return true
}

// replaces reports whether the new link replaces the old one. The newer link wins,
// except that of two links dialed by both sides at the same time the one dialed by the
// host with the smaller name does.
func (l *Links) replaces(old, k *link) bool {
	if old.dialer == k.dialer || k.opened.Sub(old.opened) > raceWindow {
		return true
	}
	return k.dialer < old.dialer
}

// retire makes a link get no new calls. It finishes the calls that it has, and is closed with the
// others.
func (l *Links) retire(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[k.host] != k {
		return
	}
	delete(l.links, k.host)
	l.retired[k] = struct{}{}
}

// remove drops a closed link.
func (l *Links) remove(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[k.host] == k {
		delete(l.links, k.host)
	}
	delete(l.retired, k)
}
