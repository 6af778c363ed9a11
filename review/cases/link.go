package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// link is the way from all hosts to one database, or to an interface of the platform. It
// forwards connections, records what passes on each, and can hold up all bytes for a while, as a
// partition does.
type link struct {
	record   *record
	name     string // id of the database, or name of the interface
	target   string
	listener net.Listener
	// raw is set if what passes is not made of lines; it is then forwarded as it comes and
	// not recorded.
	raw bool
	// seen is called with the IP of the host and what it has sent, before that is passed on,
	// if raw is set; may be nil.
	seen func(ip string, b []byte)

	mu    sync.Mutex
	open  map[string]chan struct{} // by IP of the host; closed while bytes pass, missing if they always did
	conns atomic.Int64
}

func (l *link) run(ctx context.Context) {
	context.AfterFunc(ctx, func() { l.listener.Close() })
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(ctx, conn, l.conns.Add(1))
	}
}

// cut holds up all bytes between a host and the other end for a time, in both directions.
func (l *link) cut(h *host, d time.Duration) {
	heal := l.beginCut(h)
	time.Sleep(d)
	heal()
}

// beginCut holds up all bytes between a host and the other end until heal is called.
func (l *link) beginCut(h *host) (heal func()) {
	closed := make(chan struct{})
	l.mu.Lock()
	if l.open == nil {
		l.open = make(map[string]chan struct{})
	}
	l.open[h.ip] = closed
	l.mu.Unlock()
	l.record.add("link", "%s and %s are partitioned", l.name, h.name)
	return func() {
		l.record.add("link", "%s and %s reach each other again", l.name, h.name)
		close(closed)
	}
}

// pass waits while the link to a host is cut.
func (l *link) pass(ctx context.Context, ip string) {
	l.mu.Lock()
	open := l.open[ip]
	l.mu.Unlock()
	if open == nil {
		return
	}
	select {
	case <-open:
	case <-ctx.Done():
	}
}

func (l *link) forward(ctx context.Context, near net.Conn, n int64) {
	defer near.Close()
	ip, _, _ := net.SplitHostPort(near.RemoteAddr().String())
	l.pass(ctx, ip)
	var d net.Dialer
	far, err := d.DialContext(ctx, "tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.copy(ctx, far, near, ip, fmt.Sprintf("%s#%d >", l.name, n))
		far.Close()
	}()
	l.copy(ctx, near, far, ip, fmt.Sprintf("%s#%d <", l.name, n))
	near.Close()
	<-done
	l.record.add("link", "%s#%d closed", l.name, n)
}

// copy forwards lines, which all messages are, and records them.
func (l *link) copy(ctx context.Context, to, from net.Conn, ip, label string) {
	if l.raw {
		l.copyRaw(ctx, to, from, ip, strings.HasSuffix(label, ">"))
		return
	}
	r := bufio.NewReader(from)
	for {
		line, err := r.ReadString('\n')
		if len(line) > 0 {
			l.pass(ctx, ip)
			l.record.add("link", "%s %q", label, line)
			if _, err := io.WriteString(to, line); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// copyRaw forwards bytes as they come. What was sent before a connection is closed still
// arrives, also after the link was cut meanwhile.
func (l *link) copyRaw(ctx context.Context, to, from net.Conn, ip string, sent bool) {
	b := make([]byte, 64<<10)
	for {
		n, err := from.Read(b)
		if n > 0 {
			if sent && l.seen != nil {
				l.seen(ip, b[:n])
			}
			l.pass(ctx, ip)
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
