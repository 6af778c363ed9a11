// Package badlink misbehaves on the port on which hosts accept links of other hosts.
package badlink

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft/io/peer/peerpb"
)

// Link is a link to a host.
type Link struct {
	conn    *gate
	session *yamux.Session
	ids     uint64
}

// Open opens a link to the host of that name at address, under the name from.
func Open(address, from, to string) (*Link, error) {
	c, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write(Frame(&peerpb.Hello{
		From: from,
		To:   to,
	}, 0)); err != nil {
		c.Close()
		return nil, errors.WithStack(err)
	}
	// The host's Hello is small, and comes in one piece.
	if _, err := c.Read(make([]byte, 4<<10)); err != nil {
		c.Close()
		return nil, errors.WithStack(err)
	}
	_ = c.SetDeadline(time.Time{})
	g := &gate{Conn: c}
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = 5 * time.Second
	config.LogOutput = discard{}
	s, err := yamux.Client(g, config)
	if err != nil {
		c.Close()
		return nil, errors.WithStack(err)
	}
	return &Link{
		conn:    g,
		session: s,
	}, nil
}

// StopReading reads nothing any more of what the host sends.
func (l *Link) StopReading() {
	if c, ok := l.conn.Conn.(*net.TCPConn); ok {
		_ = c.SetReadBuffer(4 << 10) // what the host has sent is to stay on its side
	}
	l.conn.stop()
}

// Send begins a request: it announces a body of size bytes and sends those of body.
func (l *Link) Send(duty string, size int, body []byte) error {
	_, err := l.begin(duty, size, body)
	return err
}

// AnswerSize makes a request and returns the size of its answer's body.
func (l *Link) AnswerSize(duty string, body []byte) (int, error) {
	s, err := l.begin(duty, len(body), body)
	if err != nil {
		return 0, err
	}
	var lengths [8]byte
	_ = s.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.ReadFull(s, lengths[:]); err != nil {
		return 0, errors.WithStack(err)
	}
	size := binary.BigEndian.Uint32(lengths[4:])
	_, err = io.CopyN(io.Discard, s, int64(binary.BigEndian.Uint32(lengths[:]))+int64(size))
	return int(size), errors.WithStack(err)
}

func (l *Link) begin(duty string, size int, body []byte) (*yamux.Stream, error) {
	s, err := l.session.OpenStream()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	l.ids++
	_ = s.SetWriteDeadline(time.Now().Add(2 * time.Second))
	_, err = s.Write(append(Frame(&peerpb.Request{
		Id:   l.ids,
		Duty: duty,
	}, size), body...))
	return s, errors.WithStack(err)
}

// Close closes the link.
func (l *Link) Close() {
	_ = l.conn.Close()
	_ = l.session.Close()
}

// Frame returns the beginning of a frame with a body of size bytes.
func Frame(header proto.Message, size int) []byte {
	h, err := proto.Marshal(header)
	if err != nil {
		panic(err)
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(len(h)))
	return append(binary.BigEndian.AppendUint32(b, uint32(size)), h...)
}

// gate is a connection whose reads can be stopped.
type gate struct {
	net.Conn
	mu      sync.Mutex
	stopped bool
}

func (g *gate) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
}

// Read reads, or waits until the connection is closed.
func (g *gate) Read(p []byte) (int, error) {
	for {
		g.mu.Lock()
		stopped := g.stopped
		g.mu.Unlock()
		if !stopped {
			return g.Conn.Read(p)
		}
		time.Sleep(10 * time.Millisecond)
		if err := g.SetReadDeadline(time.Time{}); err != nil {
			return 0, err
		}
	}
}

type discard struct{}

// Write drops p.
func (discard) Write(p []byte) (int, error) { return len(p), nil }
