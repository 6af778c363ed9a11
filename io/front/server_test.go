package front

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/core/keys"
	"coltsfootloft/io/caller"
	"coltsfootloft/io/pool"
)

// testServer is a Server with one database.
type testServer struct {
	t        testing.TB
	server   *Server
	address  string
	upstream *upstream
	pool     *pool.Pool
	secret   string
}

func newTestServer(t testing.TB) *testServer {
	t.Helper()
	s := &testServer{
		t:        t,
		upstream: newUpstream(t),
	}
	secret, verifier, err := keys.Issue()
	assert.NilError(t, err)
	s.secret = secret
	address := s.upstream.listener.Addr().String()
	fleet, problems := conf.Merge(nil, map[string][]byte{
		"fleet/defaults":            []byte(`{"message_limit": "64KiB", "pool_wait": "2s"}`),
		"fleet/domains/d1":          []byte(`{"region": "r1", "seats": 1}`),
		"fleet/groups/g1":           fmt.Appendf(nil, `{"databases": {"g1-1": {"address": %q, "domain": "d1"}}, "connections": 10}`, address),
		"fleet/teams/alpha":         []byte(`{"groups": ["g1"]}`),
		"teams/alpha/accounts/main": []byte(`{"rate": "1000/s"}`),
		"teams/alpha/keys/app":      fmt.Appendf(nil, `{"account": "main", "verifier": %q}`, verifier.String()),
		"teams/alpha/routes/open":   []byte(`{"group": "g1", "open": true, "account": "main"}`),
		"teams/alpha/routes/keyed":  []byte(`{"group": "g1"}`),
		"teams/alpha/routes/reads":  []byte(`{"group": "g1", "open": true, "account": "main", "read_only": true}`),
	})
	assert.NilError(t, problems.Err())
	s.pool = &pool.Pool{
		Upstream: coltsfootloft.NewUpstream("g1-1", "d1", address),
		Login:    pool.Login{User: "x"},
		Shares:   noLimits{},
	}
	s.server = &Server{
		Name:   "h1",
		Listen: "127.0.0.1:0",
		Clock:  clockwork.NewRealClock(),
		Env: &caller.Env{
			Domain:      "d1",
			Groups:      singleDatabase{},
			Members:     singleHost{},
			Shares:      noLimits{},
			Fleet:       func() *conf.Fleet { return fleet },
			Pool:        func(string) (*pool.Pool, bool) { return s.pool, true },
			RetryBudget: noLimits{},
			Clock:       clockwork.NewRealClock(),
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	at, err := s.server.Start(ctx)
	assert.NilError(t, err)
	s.address = at.String()
	done := make(chan error, 1)
	go func() { done <- s.server.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
		s.server.running.Wait()
		s.pool.Close()
	})
	return s
}

// noLimits grants every request.
type noLimits struct{}

func (noLimits) Admit(context.Context, string, int) error                  { return nil }
func (noLimits) AcquireConnection(context.Context, string) (func(), error) { return func() {}, nil }
func (noLimits) OnReclaim(func(string) bool)                               {}
func (noLimits) Offer(string)                                              {}
func (noLimits) Succeed(string)                                            {}
func (noLimits) Spend(string) bool                                         { return true }

// noRetries grants every request but no retry.
type noRetries struct{ noLimits }

func (noRetries) Spend(string) bool { return false }

// singleHost is a fleet of one host.
type singleHost struct{}

func (singleHost) Self() coltsfootloft.HostRecord {
	return coltsfootloft.NewHost("h1", "d1", "127.0.0.1:1")
}

func (h singleHost) Alive() []coltsfootloft.HostRecord { return []coltsfootloft.HostRecord{h.Self()} }
func (singleHost) Leaving(string) bool                 { return false }

// singleDatabase is a group whose only database is its primary and is reachable.
type singleDatabase struct{}

func (singleDatabase) Readings(string) map[string]coltsfootloft.Reading {
	term := coltsfootloft.NewTerm(1, "x")
	p := coltsfootloft.NewPosition(term, 0)
	return map[string]coltsfootloft.Reading{"g1-1": coltsfootloft.NewReading(coltsfootloft.Primary, term, p, p)}
}
func (singleDatabase) Expedite(string)                {}
func (singleDatabase) Changed(string) <-chan struct{} { return make(chan struct{}) }
func (singleDatabase) Barrier(context.Context, string) (coltsfootloft.Position, error) {
	return coltsfootloft.Position{}, nil
}

func (singleDatabase) AwaitMajority(context.Context, string, coltsfootloft.Position) error {
	return nil
}
func (singleDatabase) SilentFor(string, string) (time.Duration, bool) { return 0, true }
func (singleDatabase) Age(string, string) (time.Duration, bool)       { return 0, true }

// send writes the input to a new connection, closes its sending side and returns the
// whole answer.
func (s *testServer) send(input []byte) []byte {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	assert.NilError(s.t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	go func() {
		_, _ = c.Write(input)
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}()
	answer, err := io.ReadAll(c)
	var n net.Error
	assert.Assert(s.t, !errors.As(err, &n) || !n.Timeout(), "the session did not end")
	return answer
}

// runSession opens a session on a route without a key, sends the messages and returns
// the replies after the first ReadyForQuery, without ParameterStatus.
func (s *testServer) runSession(messages ...pgproto3.FrontendMessage) []string {
	s.t.Helper()
	input := startupMessage("open")
	for _, m := range messages {
		input = appendMessage(input, m)
	}
	replies := s.replies(s.send(input))
	for i, w := range replies {
		if w == "Z I" {
			return slices.DeleteFunc(replies[i+1:], func(w string) bool { return w == "S" })
		}
	}
	s.t.Fatalf("no session: %q", replies)
	return nil
}

// replies decodes an answer to one text for each message. It fails the test if the
// answer is malformed.
func (s *testServer) replies(answer []byte) []string {
	s.t.Helper()
	var replies []string
	for len(answer) > 0 {
		assert.Assert(s.t, len(answer) >= headerBytes, "truncated answer after %q", replies)
		n := 1 + int(binary.BigEndian.Uint32(answer[1:]))
		assert.Assert(s.t, n >= headerBytes && n <= len(answer), "truncated answer after %q", replies)
		m, err := pgproto3.NewFrontend(bytes.NewReader(answer[:n]), io.Discard).Receive()
		assert.NilError(s.t, err, "%q after %q", answer[:n], replies)
		replies = append(replies, replyText(m))
		answer = answer[n:]
	}
	return replies
}

func replyText(m pgproto3.BackendMessage) string {
	switch m := m.(type) {
	case *pgproto3.ErrorResponse:
		w := m.Severity + " " + m.Code
		if m.Detail != "" {
			w += " " + m.Detail
		}
		return w
	case *pgproto3.ReadyForQuery:
		return "Z " + string(m.TxStatus)
	case *pgproto3.CommandComplete:
		return string(m.CommandTag)
	case *pgproto3.ParameterStatus:
		return "S"
	case *pgproto3.ParseComplete:
		return "1"
	case *pgproto3.BindComplete:
		return "2"
	case *pgproto3.CloseComplete:
		return "3"
	}
	return fmt.Sprintf("%T", m)
}

// startupMessage returns the startup message for a route of team alpha.
func startupMessage(route string) []byte {
	return appendMessage(nil, &pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersionNumber,
		Parameters: map[string]string{
			"user":     "alpha.app",
			"database": "alpha." + route,
		},
	})
}

func appendMessage(to []byte, m pgproto3.FrontendMessage) []byte {
	b, err := m.Encode(to)
	if err != nil {
		panic(err)
	}
	return b
}

// awaitCleanup waits until all sessions have ended, and fails the test if a
// connection stays in use or inside a transaction.
func (s *testServer) awaitCleanup() {
	s.t.Helper()
	for end := time.Now().Add(5 * time.Second); s.server.Sessions() > 0 || s.pool.Load() > 0; {
		assert.Assert(s.t, time.Now().Before(end), "%d sessions and pool load %d left", s.server.Sessions(), s.pool.Load())
		time.Sleep(time.Millisecond)
	}
	for end := time.Now().Add(5 * time.Second); ; {
		_, inside := s.upstream.countConns()
		if inside == 0 {
			return
		}
		assert.Assert(s.t, time.Now().Before(end), "%d connections inside a transaction", inside)
		time.Sleep(time.Millisecond)
	}
}
