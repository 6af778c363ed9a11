package entry

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/boot"
	"coltsfootloft/io/mirror"
)

// startingCaller has not sent its startup yet.
type startingCaller struct {
	coltsfootloft.Caller
	ended chan struct{}
}

func (c startingCaller) ReadStartup() (coltsfootloft.Startup, error) {
	<-c.ended
	return coltsfootloft.Startup{}, io.EOF
}

// TestStartingSessionIsNotIdle guards against a session that is closed as idle, without an answer to
// its caller, after the connection was accepted and before its goroutine runs.
func TestStartingSessionIsNotIdle(t *testing.T) {
	ended := make(chan struct{})
	s := &Server{
		Clock: boot.Clock{},
		Codec: func(net.Conn) coltsfootloft.Caller { return startingCaller{ended: ended} },
		Log:   logr.Discard(),
	}
	s.prepare()
	closed := 0
	for range 100 {
		conn, peer := net.Pipe()
		defer peer.Close()
		s.open(conn)
		closed += s.CloseIdle()
	}
	close(ended)
	s.wg.Wait()
	assert.Equal(t, closed, 0)
}

// TestSessionsAreCountedWhileRunBegins guards against a map of sessions that is written while
// another goroutine counts them; the race detector sees it.
func TestSessionsAreCountedWhileRunBegins(t *testing.T) {
	s := &Server{
		Clock:  boot.Clock{},
		Listen: "127.0.0.1:0",
		Log:    logr.Discard(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	assert.Equal(t, s.Sessions()+s.CloseIdle(), 0)
	cancel()
	assert.NilError(t, <-ended)
}

// readyCaller has sent one statement, which Next returns once the test lets it.
type readyCaller struct {
	coltsfootloft.Caller
	read     chan struct{} // closed when the statement has been read
	proceed  chan struct{}
	answered int
}

func (c *readyCaller) Next() (coltsfootloft.Statement, error) {
	close(c.read)
	<-c.proceed
	return coltsfootloft.NewStatement("a1", "JUGGLE", coltsfootloft.VerbUnknown, "", ""), nil
}

func (c *readyCaller) HasNext() bool { return false }

func (c *readyCaller) Answer(coltsfootloft.Reply) error {
	c.answered++
	return nil
}

// TestStatementThatWasReadIsAnswered guards against a session that is closed as idle between the reading
// of its statement and its being marked as busy, so that the statement gets no answer.
func TestStatementThatWasReadIsAnswered(t *testing.T) {
	conn, peer := net.Pipe()
	defer peer.Close()
	caller := &readyCaller{
		read:    make(chan struct{}),
		proceed: make(chan struct{}),
	}
	s := &Server{
		Clock: boot.Clock{},
		Log:   logr.Discard(),
	}
	s.prepare()
	n := &session{
		server: s,
		conn:   conn,
		caller: caller,
		busy:   true,
	}
	s.sessions[n] = struct{}{}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.serveStatements()
	}()
	<-caller.read
	assert.Equal(t, s.CloseIdle(), 1)
	assert.Equal(t, s.CloseIdle(), 0, "ended twice")
	close(caller.proceed)
	<-ended
	assert.Equal(t, caller.answered, 1)
}

// TestDrainAwaitsAcceptedConnection guards against a session that is counted while Drain waits for the
// last one to end: Drain returned before it, or the process panicked ("WaitGroup misuse: Add called
// concurrently with Wait", "WaitGroup is reused before previous Wait has returned").
func TestDrainAwaitsAcceptedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	accepted := make(chan chan struct{})
	s := &Server{
		Clock:  boot.Clock{},
		Listen: address,
		Codec: func(net.Conn) coltsfootloft.Caller {
			open := make(chan struct{})
			accepted <- open
			<-open
			return startingCaller{ended: open}
		},
		Log: logr.Discard(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	var conn net.Conn
	for conn == nil {
		conn, _ = net.Dial("tcp", address)
	}
	defer conn.Close()
	open := <-accepted
	cancel()
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.Drain(context.Background(), time.Minute)
	}()
	select {
	case <-drained:
		t.Error("drained before the connection was served")
	case <-time.After(100 * time.Millisecond):
	}
	close(open)
	<-drained
	assert.NilError(t, <-ended)
}

// TestSessionsAreLimited guards against more sessions than the host has memory for.
func TestSessionsAreLimited(t *testing.T) {
	ended := make(chan struct{})
	s := &Server{
		Clock:        boot.Clock{},
		Codec:        func(net.Conn) coltsfootloft.Caller { return startingCaller{ended: ended} },
		Log:          logr.Discard(),
		SessionLimit: 2,
	}
	s.prepare()
	for range 4 {
		conn, peer := net.Pipe()
		defer peer.Close()
		s.open(conn)
	}
	assert.Equal(t, s.Sessions(), 2)
	close(ended)
	s.wg.Wait()
}

// restingCaller is inside a transaction. Its next statement arrives as the session is closed.
type restingCaller struct {
	coltsfootloft.Caller
	conn     net.Conn
	answered atomic.Int32
}

func (c *restingCaller) Next() (coltsfootloft.Statement, error) {
	_, _ = c.conn.Read(make([]byte, 1))
	time.Sleep(20 * time.Millisecond)
	return coltsfootloft.NewStatement("a1", "COMMIT", coltsfootloft.VerbCommit, "", ""), nil
}

func (c *restingCaller) HasNext() bool { return false }

func (c *restingCaller) Answer(coltsfootloft.Reply) error {
	c.answered.Add(1)
	return nil
}

// TestSessionsThatRestAreClosedBeforeDrainEnds guards against a host with little time to shut down, which
// closes the sessions of aborted transactions as it ends, so that a statement that arrives gets no answer.
func TestSessionsThatRestAreClosedBeforeDrainEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn, peer := net.Pipe()
		defer peer.Close()
		caller := &restingCaller{conn: conn}
		s := &Server{
			Clock:  boot.Clock{},
			Mirror: &mirror.Mirror{},
			Log:    logr.Discard(),
		}
		s.prepare()
		n := &session{
			server: s,
			conn:   conn,
			caller: caller,
			tx:     &transaction{failed: true},
		}
		s.sessions[n] = struct{}{}
		s.wg.Go(n.serveStatements)
		const left = 600 * time.Millisecond
		ctx, cancel := context.WithTimeout(t.Context(), left)
		defer cancel()
		s.Drain(ctx, 0)
		assert.Equal(t, caller.answered.Load(), int32(1))
		assert.NilError(t, ctx.Err(), "drained at the last moment")
	})
}
