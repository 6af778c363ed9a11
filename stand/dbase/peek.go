package dbase

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// peekConn is a connection whose end can be detected without consuming data.
type peekConn struct {
	net.Conn
	reader *bufio.Reader
}

func newPeekConn(c net.Conn) *peekConn {
	return &peekConn{
		Conn:   c,
		reader: bufio.NewReader(c),
	}
}

// Read reads through the buffer.
func (p *peekConn) Read(b []byte) (int, error) { return p.reader.Read(b) }

// watch returns a context that is cancelled when the client disconnects. The
// returned function stops watching and must be called before the connection is
// read again.
func (p *peekConn) watch(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, err := p.reader.Peek(1)
		var n net.Error
		if err != nil && (!errors.As(err, &n) || !n.Timeout()) {
			cancel()
		}
	}()
	return ctx, func() {
		_ = p.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = p.SetReadDeadline(time.Time{})
		cancel()
	}
}
