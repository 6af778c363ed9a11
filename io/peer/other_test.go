package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/peer/peerpb"
)

// answerOthers accepts links as host b and answers each request with the id that answerTo returns for it. If
// twice is set, it sends the answer again, with another body.
func answerOthers(listener net.Listener, answerTo func(id uint64) uint64, twice bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		var hello peerpb.Hello
		if _, _, err := readHeader(conn, &hello, maxRequestHeader, 0); err != nil {
			return
		}
		b, err := encodeFrame(&peerpb.Hello{
			From: "b",
			To:   hello.GetFrom(),
		}, nil)
		if err != nil {
			return
		}
		if _, err := conn.Write(b); err != nil {
			return
		}
		session, err := yamux.Server(conn, sessionConfig())
		if err != nil {
			return
		}
		go serveOthers(session, answerTo, twice)
	}
}

func serveOthers(session *yamux.Session, answerTo func(id uint64) uint64, twice bool) {
	for {
		s, err := session.AcceptStream()
		if err != nil {
			return
		}
		var request peerpb.Request
		body, _, err := readHeader(s, &request, maxRequestHeader, firstStep)
		if err != nil {
			return
		}
		answer := &peerpb.Answer{Id: answerTo(request.GetId())}
		b, err := encodeFrame(answer, body)
		if err != nil {
			return
		}
		if twice {
			second, err := encodeFrame(answer, []byte("second"))
			if err != nil {
				return
			}
			b = append(b, second...)
		}
		_, _ = s.Write(b)
	}
}

// TestAnswerToAnotherRequestIsRefused guards against an answer that is taken for that to another call. It
// ends the link, since what else comes on it belongs to no known call.
func TestAnswerToAnotherRequestIsRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go answerOthers(listener, func(id uint64) uint64 { return id - 1 }, false)
	f := &fleet{addresses: map[string]string{"b": listener.Addr().String()}}
	a := &Links{Self: "a"}
	f.start(t, a)
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		_, err := a.Call(ctx, "b", "echo", []byte("x"))
		cancel()
		assert.Assert(t, errors.Is(err, ErrNoAnswer), "%v", err)
	}
}

// TestSecondAnswerIsDropped guards against a second answer to a call that is taken for that to the next.
func TestSecondAnswerIsDropped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go answerOthers(listener, func(id uint64) uint64 { return id }, true)
	f := &fleet{addresses: map[string]string{"b": listener.Addr().String()}}
	a := &Links{Self: "a"}
	f.start(t, a)
	for _, body := range []string{"x", "y", "z"} {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		answer, err := a.Call(ctx, "b", "echo", []byte(body))
		cancel()
		assert.NilError(t, err)
		assert.Equal(t, string(answer), body)
	}
}
