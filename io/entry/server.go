// Package entry serves the sessions of callers: it reads statements through a codec,
// decides whether and at which database they run, and answers each exactly once.
//
// Each session runs in one goroutine. Its session values and prepared statements are
// kept on the host and applied to whichever database connection it borrows (package
// prep). A transaction keeps one connection from its first statement to its end. The
// host answers BEGIN itself and sends it together with the first statement, so that the
// database is chosen as late as possible.
//
// A reply that says that nothing ran, or that nothing is kept, is given only if no byte
// of the statement was sent, if the database itself said so, or if the transaction was
// open and its COMMIT was never sent.
package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/groups"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/relay"
)

const (
	// handshakeTimeout closes connections that do not start a session.
	handshakeTimeout = 5 * time.Second
	// settingsWait is how long the start of a session waits for the first settings.
	// It is below the 2 s that a caller waits for its answer.
	settingsWait = 1500 * time.Millisecond
	// acceptPause is the wait after a failed accept.
	acceptPause = 10 * time.Millisecond
	// maxSessions bounds the sessions of one host. Each takes a goroutine and two
	// buffers, about 16 KB.
	maxSessions = 2500
)

// Admitter enforces the rates of client accounts.
type Admitter interface {
	// Admit takes one operation from the account's rate and waits for it until ctx
	// ends. It reports false if none became available.
	Admit(ctx context.Context, account string) bool
	// IsNew reports whether the host has not had a rate for the account yet.
	IsNew(account string) bool
	// Return gives back an operation that was not sent to any database.
	Return(account string)
}

// Server accepts callers and serves their sessions. Its exported fields are set before
// Run.
type Server struct {
	// Listen is the IP:port for callers.
	Listen string
	// Codec returns the protocol codec for a caller's connection.
	Codec func(net.Conn) coltsfootloft.Caller
	// Mirror is the host's copy of the store.
	Mirror *mirror.Mirror
	// Groups chooses the databases that may be used.
	Groups *groups.Groups
	// Relay lends connections to databases.
	Relay *relay.Relay
	// Quota enforces the accounts' rates.
	Quota Admitter
	// Clock is a monotonic clock that keeps running while the host is suspended.
	Clock coltsfootloft.Clock
	// Log receives refusals, retries, unknown outcomes and a sample of the successes.
	Log logr.Logger
	// Metrics receives the counters and histograms.
	Metrics *metrics.Set
	// ReportUnreachable is called when a primary could not be reached, did not answer or
	// refused a write.
	ReportUnreachable func(group, database string)

	mu       sync.Mutex
	sessions map[*session]struct{}
	draining atomic.Bool
	once     sync.Once
	wg       sync.WaitGroup
	served   atomic.Uint64
	retries  retryBudgets
}

// Run accepts callers until ctx ends. Open sessions continue until Drain. It fails if
// the address can't be bound.
func (s *Server) Run(ctx context.Context) error {
	s.prepare()
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "callers")
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			s.Log.Error(err, "connection not accepted")
			time.Sleep(acceptPause)
			continue
		}
		s.open(conn)
	}
}

func (s *Server) prepare() {
	s.once.Do(func() {
		s.sessions = make(map[*session]struct{})
		s.retries.clock = s.Clock
	})
}

func (s *Server) open(conn net.Conn) {
	n := &session{
		server: s,
		conn:   conn,
		caller: s.Codec(conn),
		busy:   true,
	}
	s.mu.Lock()
	if len(s.sessions) >= maxSessions {
		s.mu.Unlock()
		s.Log.Info("connection refused", "reason", "too many sessions", "sessions", maxSessions)
		conn.Close()
		return
	}
	s.sessions[n] = struct{}{}
	s.mu.Unlock()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		n.run()
		s.mu.Lock()
		delete(s.sessions, n)
		s.mu.Unlock()
	}()
}

// CloseIdle ends the sessions that are idle outside a transaction, so that their callers
// reconnect to another host. It returns how many it ended.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	sessions := make([]*session, 0, len(s.sessions))
	for n := range s.sessions {
		sessions = append(sessions, n)
	}
	s.mu.Unlock()
	closed := 0
	for _, n := range sessions {
		if n.closeIdle() {
			closed++
		}
	}
	return closed
}

// Drain ends each session as soon as it is idle outside a transaction. Transactions that
// are still open when ctx ends are aborted, and their callers get an answer that says so.
func (s *Server) Drain(ctx context.Context) {
	s.draining.Store(true)
	s.Log.Info("sessions draining", "ended", s.CloseIdle())
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return
	case <-ctx.Done():
	}
	s.abortAll()
	select {
	case <-done:
	case <-time.After(abortGrace):
	}
}

// abortGrace is how long callers have to receive the answer to an aborted
// transaction.
const abortGrace = time.Second

func (s *Server) abortAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.sessions {
		n.abortIdle("the host is leaving")
	}
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
