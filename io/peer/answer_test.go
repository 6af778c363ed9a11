package peer

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/peer/peerpb"
)

// twiceAnswering is a host b whose answers hold the body of their request, and which repeats them.
type twiceAnswering struct {
	listener net.Listener
	// repeat returns what is written to the stream of a request besides its own answer: before
	// and after it, given the answers so far with the own one as the last.
	repeat func(answers [][]byte) (before, after []byte)
	// isHeld reports whether the answer to request n, from 1, is held back until its caller has given up.
	isHeld func(n int) bool
	// arrived, givenUp and sent follow a request whose answer is held back: it has arrived, its caller
	// has given up, and its answer was sent all the same.
	arrived, givenUp, sent chan struct{}

	mu      sync.Mutex
	answers [][]byte
}

func (h *twiceAnswering) accept(t *testing.T) {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return
		}
		var hello peerpb.Hello
		_, _, err = readHeader(conn, &hello, maxRequestHeader, 0)
		assert.Check(t, err)
		mine, err := encodeFrame(&peerpb.Hello{From: "b"}, nil)
		assert.Check(t, err)
		_, _ = conn.Write(mine)
		s, err := yamux.Server(conn, sessionConfig())
		assert.Check(t, err)
		go func() {
			defer s.Close()
			for {
				st, err := s.AcceptStream()
				if err != nil {
					return
				}
				go h.serve(st)
			}
		}()
	}
}

func (h *twiceAnswering) serve(st *yamux.Stream) {
	defer st.Close()
	var request peerpb.Request
	first, size, err := readHeader(st, &request, maxRequestHeader, 1<<20)
	if err != nil {
		return
	}
	body, err := readBody(st, first, size, &room{limit: 1 << 20})
	if err != nil {
		return
	}
	answer, err := encodeFrame(&peerpb.Answer{Id: request.GetId()}, body)
	if err != nil {
		return
	}
	h.mu.Lock()
	h.answers = append(h.answers, answer)
	before, after := h.repeat(h.answers)
	held := h.isHeld(len(h.answers))
	h.mu.Unlock()
	if held {
		h.arrived <- struct{}{}
		<-h.givenUp
		defer func() { h.sent <- struct{}{} }()
	}
	_, _ = st.Write(append(append(before, answer...), after...))
}

// call calls host b, and gives up when an answer that is held back is due.
func (h *twiceAnswering) call(t *testing.T, a *Links, n int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	body := []byte(strconv.Itoa(n))
	if !h.isHeld(n) {
		return a.Call(ctx, "b", "echo", body)
	}
	go func() {
		<-h.arrived
		cancel()
	}()
	answer, err := a.Call(ctx, "b", "echo", body)
	assert.ErrorIs(t, err, context.Canceled)
	h.givenUp <- struct{}{}
	<-h.sent
	return answer, err
}

// TestRepeatedAnswersReachNoOtherCall guards against a host whose answers come twice, late, or on the
// stream of another call: a call must get its own answer or none.
func TestRepeatedAnswersReachNoOtherCall(t *testing.T) {
	none := func([][]byte) (before, after []byte) { return nil, nil }
	inTime := func(int) bool { return false }
	for name, c := range map[string]struct {
		host     *twiceAnswering
		answered int // at least, of 12 calls
	}{
		"twice": {&twiceAnswering{
			repeat: func(a [][]byte) (before, after []byte) { return nil, a[len(a)-1] },
			isHeld: inTime,
		}, 12},
		"an older one before it": {&twiceAnswering{
			repeat: func(a [][]byte) (before, after []byte) {
				if len(a)%3 != 0 {
					return nil, nil
				}
				return append([]byte(nil), a[len(a)-2]...), nil
			},
			isHeld: inTime,
		}, 4},
		"late": {&twiceAnswering{
			repeat:  none,
			isHeld:  func(n int) bool { return n%2 == 1 },
			arrived: make(chan struct{}),
			givenUp: make(chan struct{}),
			sent:    make(chan struct{}),
		}, 6},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		h := c.host
		h.listener = l
		go h.accept(t)
		a := &Links{Self: "a"}
		f := &fleet{addresses: map[string]string{"b": l.Addr().String()}}
		f.start(t, a)
		answered := 0
		for n := 1; n <= 12; n++ {
			body, err := h.call(t, a, n)
			if err == nil {
				answered++
				assert.Equal(t, string(body), strconv.Itoa(n), name)
				continue
			}
			assert.Assert(t, !NotHandled(err) || errors.Is(err, ErrUnreachable), "%s: %v", name, err)
		}
		assert.Assert(t, answered >= c.answered, "%s: %d calls answered", name, answered)
		l.Close()
	}
}
