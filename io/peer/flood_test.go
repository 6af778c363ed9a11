package peer

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootloft/io/peer/peerpb"
)

const floodHeld = 1 << 20

// startFlooded starts a host that may hold floodHeld bytes of requests.
func startFlooded(t *testing.T) *Links {
	t.Helper()
	l := &Links{
		Self:     "b",
		MaxCalls: 16,
		MaxHeld:  floodHeld,
		Hosts:    func() int { return 1 },
	}
	f := &fleet{addresses: make(map[string]string)}
	f.start(t, l)
	return l
}

// rawLink opens a link under a name and returns its session, or the refusal.
func rawLink(t *testing.T, l *Links, name string) (*yamux.Session, string) {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	b, err := encodeFrame(&peerpb.Hello{
		From: name,
		To:   l.Self,
	}, nil)
	assert.NilError(t, err)
	_, err = conn.Write(b)
	assert.NilError(t, err)
	var hello peerpb.Hello
	_, _, err = readHeader(conn, &hello, maxRequestHeader, 0)
	assert.NilError(t, err)
	if hello.GetRefusal() != "" {
		return nil, hello.GetRefusal()
	}
	s, err := yamux.Client(conn, sessionConfig())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = s.Close() })
	return s, ""
}

// begin opens a stream with the header of a request and the first bytes of its body.
func begin(t *testing.T, s *yamux.Session, duty string, body int, sent []byte) *yamux.Stream {
	t.Helper()
	st, err := s.OpenStream()
	assert.NilError(t, err)
	b, err := encodeFrame(&peerpb.Request{
		Id:   1,
		Duty: duty,
	}, nil)
	assert.NilError(t, err)
	binary.BigEndian.PutUint32(b[4:], uint32(body))
	_, err = st.Write(append(b, sent...))
	assert.NilError(t, err)
	return st
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestAnnouncedBytesTakeNoMemory guards against a host that allocates what the lengths at the
// head of a frame say before the bytes arrive: 32 requests of 8 bytes held 256 MB.
func TestAnnouncedBytesTakeNoMemory(t *testing.T) {
	l := startFlooded(t)
	s, _ := rawLink(t, l, "a")
	before := heap()
	for range 32 {
		begin(t, s, "echo", DefaultMaxFrame, nil)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := l.streams.Load(); n != 32 {
			return poll.Continue("%d requests", n)
		}
		return poll.Success()
	})
	time.Sleep(50 * time.Millisecond)
	after := heap()
	assert.Assert(t, after < before+8<<20, "%d bytes before, %d after", before, after)
}

// TestRequestsBeyondTheRoomAreRefused guards against bodies that are held without a limit: a
// request that finds no room is told as not handled, and the next one is served.
func TestRequestsBeyondTheRoomAreRefused(t *testing.T) {
	l := startFlooded(t)
	a := &Links{Self: "a"}
	f := &fleet{addresses: map[string]string{"b": l.Addr()}}
	f.start(t, a)
	_, err := a.Call(t.Context(), "b", "echo", make([]byte, 2*floodHeld))
	assert.ErrorIs(t, err, ErrBusy)
	assert.Assert(t, NotHandled(err))
	got, err := a.Call(t.Context(), "b", "echo", make([]byte, floodHeld/4))
	assert.NilError(t, err)
	assert.Equal(t, len(got), floodHeld/4+2)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := l.requests.used.Load(); n != 0 {
			return poll.Continue("%d bytes still counted", n)
		}
		return poll.Success()
	})
}

// TestLinkWithTooManyRequestsIsClosed guards against requests without number on one link.
func TestLinkWithTooManyRequestsIsClosed(t *testing.T) {
	l := startFlooded(t)
	s, _ := rawLink(t, l, "a")
	for range streamsPerCall*l.MaxCalls + 1 {
		st, err := s.OpenStream()
		if err != nil {
			break
		}
		_, _ = st.Write([]byte{0})
	}
	select {
	case <-s.CloseChan():
	case <-time.After(5 * time.Second):
		t.Fatal("link still open")
	}
}

// TestLinksOfUnknownHostsAreBounded guards against links without number, under names that
// anybody may make up and under one name.
func TestLinksOfUnknownHostsAreBounded(t *testing.T) {
	l := startFlooded(t)
	for i := range linksPerHost + spareLinks {
		_, refusal := rawLink(t, l, fmt.Sprintf("x%d", i))
		assert.Equal(t, refusal, "")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !l.isFull() {
			return poll.Continue("not full")
		}
		return poll.Success()
	})
	_, refusal := rawLink(t, l, "y")
	assert.Equal(t, refusal, "too many links")
	other := startFlooded(t)
	for range 3 * maxLinksOfHost {
		rawLink(t, other, "x")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		other.mu.Lock()
		defer other.mu.Unlock()
		if n := len(other.retired); n > maxLinksOfHost {
			return poll.Continue("%d links", n)
		}
		return poll.Success()
	})
}

// TestSilentConnectionsKeepNoHostOut guards against connections that say nothing, which
// hold a descriptor and a goroutine each: the oldest are closed, and a host still gets its link.
func TestSilentConnectionsKeepNoHostOut(t *testing.T) {
	l := startFlooded(t)
	for range 2 * maxPending {
		conn, err := net.Dial("tcp", l.Addr())
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
	}
	_, refusal := rawLink(t, l, "a")
	assert.Equal(t, refusal, "")
	l.mu.Lock()
	n := len(l.pending)
	l.mu.Unlock()
	assert.Assert(t, n <= maxPending, "%d connections", n)
}

// TestNamesOfDutiesAreNotKept guards against a counter for each name of a duty that the other
// side makes up.
func TestNamesOfDutiesAreNotKept(t *testing.T) {
	l := startFlooded(t)
	a := &Links{Self: "a"}
	f := &fleet{addresses: map[string]string{"b": l.Addr()}}
	f.start(t, a)
	_, err := a.Call(t.Context(), "b", "made up", nil)
	assert.ErrorIs(t, err, ErrUnknownDuty)
	assert.Assert(t, l.counts.duties["made up"] == nil)
}

// TestLongMessageOfAnErrorIsAnswered guards against an error whose text is longer than the
// header of an answer may be, which the caller took for a lost link.
func TestLongMessageOfAnErrorIsAnswered(t *testing.T) {
	l := startFlooded(t)
	l.Register("long", func(context.Context, string, []byte) ([]byte, error) {
		return nil, errors.New(strings.Repeat("x", 2*maxHeader))
	})
	a := &Links{Self: "a"}
	f := &fleet{addresses: map[string]string{"b": l.Addr()}}
	f.start(t, a)
	_, err := a.Call(t.Context(), "b", "long", nil)
	var remote *RemoteError
	assert.Assert(t, errors.As(err, &remote), "%v", err)
}

// TestBytesAfterARequestAreNotKept guards against a stream that keeps what the other side sends after
// its request, a window on each, until it is closed: for a request that is refused and for one that
// is malformed.
func TestBytesAfterARequestAreNotKept(t *testing.T) {
	for name, head := range map[string][]byte{
		"unknown duty": nil,
		"malformed":    {0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0},
	} {
		l := startFlooded(t)
		s, _ := rawLink(t, l, "a")
		var st *yamux.Stream
		if head == nil {
			st = begin(t, s, "none", 0, nil)
		} else {
			var err error
			st, err = s.OpenStream()
			assert.NilError(t, err)
			_, _ = st.Write(head) // the host may close the link at once
		}
		_, _ = st.Write(make([]byte, 128<<10))
		select {
		case <-s.CloseChan():
		case <-time.After(3 * time.Second):
			t.Fatalf("%s: link still open", name)
		}
	}
}
