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
	"cmp"
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"golang.org/x/sync/singleflight"

	"coltsfootloft"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/groups"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/port"
	"coltsfootloft/io/relay"
)

const (
	// handshakeTimeout closes connections that do not start a session.
	handshakeTimeout = 5 * time.Second
	// settingsWait is how long the start of a session waits for the first settings, and for the
	// first answer of the quota keeper. It is below the 2 s that a caller waits for its answer.
	settingsWait = 1500 * time.Millisecond
	// startPeriod is the time after the start of the host in which sessions wait for the quota
	// keeper: after a loss of all hosts, a new keeper is found within its lease of 2 s. A keeper
	// that is still missing later is lost, and waiting for it would only delay callers.
	startPeriod = 3 * time.Second
	// MaxSessions is the largest number of sessions of one host.
	MaxSessions = 2500
	// SessionSize is what a session takes, in bytes: a goroutine, two buffers, and
	// garbage.
	SessionSize = 16 << 10
)

// Admitter enforces the rates of client accounts.
type Admitter interface {
	// Admit takes one operation from the account's rate and waits for it until ctx
	// ends. It reports false if none became available. The operation is held until Send,
	// and to be sent by the time until.
	Admit(ctx context.Context, account string) (until time.Duration, ok bool)
	// Send reports whether an operation that was admitted until a time may be sent now, and
	// no longer holds it. If the time has passed, it takes another one, without waiting, and
	// returns the time of that.
	Send(account string, until time.Duration) (time.Duration, bool)
	// Hold records that an operation could not be sent after Send.
	Hold(account string, until time.Duration)
	// IsNew reports whether the host has not had a rate for the account yet.
	IsNew(account string) bool
	// AwaitKeeper waits until the host can learn the account's rate, or until ctx ends.
	AwaitKeeper(ctx context.Context, account string)
	// Return returns an operation that is held, after Admit or Hold, and was not sent to any
	// database, to the account's rate.
	Return(account string, until time.Duration)
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
	// Memory bounds the answers that sessions hold, ValueMemory their values and prepared
	// statements, which are held as long as the session.
	Memory, ValueMemory coltsfootloft.Memory
	// SessionLimit is the maximum number of sessions, MaxSessions if 0.
	SessionLimit int
	// JitterRetries spreads the times after which refused callers are asked to return.
	JitterRetries bool
	// Log receives refusals, retries, unknown outcomes and a sample of the successes.
	Log logr.Logger
	// Metrics receives the counters and histograms.
	Metrics *metrics.Set
	// ReportUnreachable is called when a primary could not be reached, did not answer or
	// refused a write.
	ReportUnreachable func(group, database string)
	// ReadPosition asks a primary for its position, without a statement of a caller.
	ReadPosition func(ctx context.Context, t dbpool.Target) (coltsfootloft.Position, error)

	listener net.Listener
	started  time.Duration // on Clock
	mu       sync.Mutex
	sessions map[*session]struct{}
	// draining is set when sessions end outside a transaction, aborting when transactions
	// end too, and closing when sessions end after the statement that they serve.
	draining, aborting, closing atomic.Bool

	once    sync.Once
	wg      sync.WaitGroup
	served  atomic.Uint64
	retries retryBudgets
	// positions has one request for the position of each group's primary at a time.
	positions singleflight.Group
}

// Bind listens on the address, and waits until ctx ends while the address is taken.
func (s *Server) Bind(ctx context.Context) error {
	listener, err := port.TCP(ctx, &net.ListenConfig{Control: port.Buffers(receiveBuffer, sendBuffer)}, s.Log, s.Listen)
	if err != nil {
		return errors.Wrap(err, "callers")
	}
	s.listener = listener
	return nil
}

// Run accepts callers until ctx ends. Open sessions continue until Drain. It calls Bind if
// that was not called before, and fails if the address can't be bound.
func (s *Server) Run(ctx context.Context) error {
	s.prepare()
	if !s.beginAccepting() {
		return nil
	}
	defer s.wg.Done()
	if s.listener == nil {
		if err := s.Bind(ctx); err != nil {
			return err
		}
	}
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return nil // only once the listener is closed
		}
		if ctx.Err() != nil {
			conn.Close()
			return nil
		}
		s.open(conn)
	}
}

// beginAccepting counts the accepting goroutine, so that Drain does not find the WaitGroup at 0 while
// a connection is accepted. It reports false if Drain has been called.
func (s *Server) beginAccepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return false
	}
	s.wg.Add(1)
	return true
}

func (s *Server) prepare() {
	s.once.Do(func() {
		s.mu.Lock() // callers of Sessions and CloseIdle may come before Run
		defer s.mu.Unlock()
		s.sessions = make(map[*session]struct{})
		s.retries.clock = s.Clock
		s.started = s.Clock.Elapsed()
	})
}

func (s *Server) open(conn net.Conn) {
	n := &session{
		server: s,
		conn:   conn,
		caller: s.Codec(conn),
		busy:   true,
	}
	limit := cmp.Or(s.SessionLimit, MaxSessions)
	s.mu.Lock()
	if len(s.sessions) >= limit {
		s.mu.Unlock()
		s.Log.Info("connection refused", "reason", "too many sessions", "sessions", limit)
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
func (s *Server) CloseIdle() int { return s.endWaits(false) }

// endWaits ends the sessions that wait for a statement, with those inside transactions if inTx is set.
func (s *Server) endWaits(inTx bool) int {
	return s.forEach(func(n *session) bool { return n.endWait(inTx) })
}

// Drain ends each session as soon as it is idle outside a transaction. Transactions that
// are still open after txTime are aborted between two of their statements, and their callers
// get an answer that says so, or find the session closed if they send nothing for a while. A
// statement that is being served is answered, unless ctx ends first.
func (s *Server) Drain(ctx context.Context, txTime time.Duration) {
	s.mu.Lock()
	s.draining.Store(true)
	s.mu.Unlock()
	s.Log.Info("sessions draining", "ended", s.CloseIdle())
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	if await(ctx, done, txTime) {
		return
	}
	s.Log.Info("transactions aborted", "sessions", s.Sessions(), "aborted", s.abortAll())
	if await(ctx, done, abortTime(ctx)) {
		return
	}
	s.Log.Info("resting sessions closed", "sessions", s.Sessions(), "closed", s.closeResting())
	select {
	case <-done:
	case <-ctx.Done():
		s.Log.Info("sessions not drained in time", "sessions", s.Sessions())
	}
}

// abortGrace is how long callers have at most to receive the answer to an aborted
// transaction.
const abortGrace = time.Second

// abortTime returns how long callers have until ctx ends to receive the answer to an aborted
// transaction. Half of the time is left for statements that arrive as their sessions are closed.
func abortTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return abortGrace
	}
	return min(abortGrace, time.Until(deadline)/2)
}

// await reports whether done is closed before d has passed and before ctx ends.
func await(ctx context.Context, done <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// abortAll aborts all open transactions: those of resting sessions at once, the others when
// their statement has been answered. It returns how many were resting.
func (s *Server) abortAll() int {
	s.aborting.Store(true)
	return s.forEach(func(n *session) bool { return n.abortIdle(hostLeaving) })
}

// closeResting ends all sessions that serve no statement; the others end after theirs. It
// returns how many were resting.
func (s *Server) closeResting() int {
	s.closing.Store(true)
	return s.endWaits(true)
}

// forEach calls f for each session and returns for how many it reported true.
func (s *Server) forEach(f func(*session) bool) int {
	s.mu.Lock()
	sessions := slices.Collect(maps.Keys(s.sessions))
	s.mu.Unlock()
	count := 0
	for _, n := range sessions {
		if f(n) {
			count++
		}
	}
	return count
}

// Sessions returns the number of open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
