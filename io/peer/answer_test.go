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
	// late is how long the own answer is held back.
	late func(n int) time.Duration

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
	wait := h.late(len(h.answers))
	h.mu.Unlock()
	time.Sleep(wait)
	_, _ = st.Write(append(append(before, answer...), after...))
}

// TestRepeatedAnswersReachNoOtherCall guards against a host whose answers come twice, late, or on the
// stream of another call: a call must get its own answer or none.
func TestRepeatedAnswersReachNoOtherCall(t *testing.T) {
	none := func([][]byte) (before, after []byte) { return nil, nil }
	inTime := func(int) time.Duration { return 0 }
	for name, h := range map[string]*twiceAnswering{
		"twice": {
			repeat: func(a [][]byte) (before, after []byte) { return nil, a[len(a)-1] },
			late:   inTime,
		},
		"an older one before it": {
			repeat: func(a [][]byte) (before, after []byte) {
				if len(a)%3 != 0 {
					return nil, nil
				}
				return append([]byte(nil), a[len(a)-2]...), nil
			},
			late: inTime,
		},
		"late": {
			repeat: none,
			late: func(n int) time.Duration {
				if n%2 == 1 {
					return 150 * time.Millisecond
				}
				return 0
			},
		},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		h.listener = l
		go h.accept(t)
		a := &Links{Self: "a"}
		f := &fleet{addresses: map[string]string{"b": l.Addr().String()}}
		f.start(t, a)
		answered := 0
		for i := range 12 {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			body, err := a.Call(ctx, "b", "echo", []byte(strconv.Itoa(i)))
			cancel()
			if err == nil {
				answered++
				assert.Equal(t, string(body), strconv.Itoa(i), name)
				continue
			}
			assert.Assert(t, !NotHandled(err) || errors.Is(err, ErrUnreachable), "%s: %v", name, err)
		}
		assert.Assert(t, answered >= 4, "%s: %d calls answered", name, answered)
		l.Close()
	}
}
