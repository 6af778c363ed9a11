package front

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// lateListener accepts one connection after it was closed, as one may be that arrives just before.
type lateListener struct {
	net.Listener
	conns chan net.Conn
}

func (l *lateListener) Close() error { return nil }

func (l *lateListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// TestDrainAwaitsAcceptedConnection guards against a session that is counted while Drain waits for the
// last one to end: Drain returned before it, or the process panicked ("WaitGroup misuse: Add called
// concurrently with Wait").
func TestDrainAwaitsAcceptedConnection(t *testing.T) {
	l := &lateListener{conns: make(chan net.Conn)}
	running := newTestServer(t).server
	s := &Server{
		Env:      running.Env,
		Clock:    running.Clock,
		Log:      logr.Discard(),
		listener: l,
		conns:    make(map[uint32]*callerConn),
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Run(t.Context()) }()
	time.Sleep(20 * time.Millisecond) // Run accepts
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(context.Background()) }()
	select {
	case <-drained:
		t.Error("drained before the connection was served")
	case <-time.After(100 * time.Millisecond):
	}
	conn, peer := net.Pipe()
	assert.NilError(t, peer.Close())
	l.conns <- conn
	close(l.conns)
	assert.NilError(t, <-ended)
}
