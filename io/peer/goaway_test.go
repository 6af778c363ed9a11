package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/peer/peerpb"
)

// giveUp makes l give up its link to a host as idle, and returns once the other side knows.
func giveUp(t *testing.T, l *Links, host string) {
	t.Helper()
	current := func() *link {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.links[host]
	}
	k := current()
	for current() == k { // its last call may still be ending
		k.lastUsed.Store(0)
		l.reapOnce()
	}
	for k.calls.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := k.session.Ping()
	assert.NilError(t, err)
}

// TestCallAfterTheOtherSideGaveUpItsLinkIsHandled guards against a call that fails as if the other host
// were out of reach, because that one has had no call on their link for a while and is closing it.
func TestCallAfterTheOtherSideGaveUpItsLinkIsHandled(t *testing.T) {
	a, b, _ := pairOf(t)
	_, err := a.Call(t.Context(), "b", "echo", nil)
	assert.NilError(t, err)
	for range 3 {
		giveUp(t, a, "b")
		answer, err := b.Call(t.Context(), "a", "echo", []byte("x"))
		assert.NilError(t, err)
		assert.Equal(t, string(answer), "b:x")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Equal(t, len(b.links), 1)
}

// TestHostEndsThoughItsLinkWasGivenUp guards against a host that waits, as it ends, for another one to close
// a link on which a call of its own was refused.
func TestHostEndsThoughItsLinkWasGivenUp(t *testing.T) {
	f := &fleet{addresses: make(map[string]string)}
	a, b := &Links{Self: "a"}, &Links{Self: "b", Listen: "127.0.0.1:0", Resolve: f.resolve}
	f.start(t, a)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- b.Run(ctx) }()
	_, err := b.Call(t.Context(), "a", "echo", nil)
	assert.NilError(t, err)
	giveUp(t, a, "b")
	_, _ = b.Call(t.Context(), "a", "echo", nil)
	stop()
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("still waits for the other side")
	}
}

// gatedConn delivers nothing while its gate is held.
type gatedConn struct {
	net.Conn
	gate *sync.RWMutex
}

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.gate.RLock()
	defer c.gate.RUnlock()
	return n, err
}

// TestCallWhileTheOtherSideGivesUpItsLinkIsHandled guards against a call without an answer, which may have
// run as far as its caller knows: the other host gives up their link as idle, and refuses the call that
// this one has sent before it learned of that.
func TestCallWhileTheOtherSideGivesUpItsLinkIsHandled(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	f := &fleet{addresses: make(map[string]string)}
	var gate sync.RWMutex
	a := &Links{Self: "a"}
	b := &Links{
		Self: "b",
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return gatedConn{
				Conn: c,
				gate: &gate,
			}, err
		},
	}
	f.start(t, a)
	f.start(t, b)
	_, err := b.Call(t.Context(), "a", "echo", nil)
	assert.NilError(t, err)
	a.mu.Lock()
	k := a.links["b"]
	a.mu.Unlock()
	for k.idle(a.Clock.Now()) == 0 { // the call may still be ending
		time.Sleep(time.Millisecond)
	}
	gate.Lock()
	k.lastUsed.Store(0)
	a.reapOnce()
	time.AfterFunc(100*time.Millisecond, gate.Unlock)
	answer, err := b.Call(t.Context(), "a", "echo", []byte("x"))
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "b:x")
	for { // the link is closed all the same
		k.lastUsed.Store(0)
		a.reapOnce()
		select {
		case <-k.session.CloseChan():
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// acceptOldHost accepts a link as host b of a version that knows no duty, and returns its session.
func acceptOldHost(t *testing.T, listener net.Listener) *yamux.Session {
	conn, err := listener.Accept()
	assert.Check(t, err)
	_, _, err = readHeader(conn, &peerpb.Hello{}, maxRequestHeader, 0)
	assert.Check(t, err)
	hello, err := encodeFrame(&peerpb.Hello{From: "b"}, nil)
	assert.Check(t, err)
	_, err = conn.Write(hello)
	assert.Check(t, err)
	session, err := yamux.Server(conn, sessionConfig())
	assert.Check(t, err)
	go func() {
		for {
			s, err := session.AcceptStream()
			if err != nil {
				return
			}
			var request peerpb.Request
			_, _, err = readHeader(s, &request, maxRequestHeader, firstStep)
			assert.Check(t, err)
			b, err := encodeFrame(&peerpb.Answer{
				Id:     request.GetId(),
				Status: peerpb.Status_STATUS_UNKNOWN_DUTY,
			}, nil)
			assert.Check(t, err)
			_, _ = s.Write(b)
			_ = s.Close()
		}
	}()
	return session
}

// TestHostOfEarlierVersionIsToldOfAnIdleLink guards against a link that is never given up, because the
// other host knows no such request.
func TestHostOfEarlierVersionIsToldOfAnIdleLink(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	accepted := make(chan *yamux.Session, 1)
	go func() { accepted <- acceptOldHost(t, listener) }()
	f := &fleet{addresses: map[string]string{"b": listener.Addr().String()}}
	a := &Links{Self: "a"}
	f.start(t, a)
	_, err = a.Call(t.Context(), "b", "echo", nil)
	assert.Assert(t, errors.Is(err, ErrUnknownDuty), "%v", err)
	session := <-accepted
	defer session.Close()
	giveUp(t, a, "b")
	_, err = session.Open()
	assert.Equal(t, err, yamux.ErrRemoteGoAway)
}
