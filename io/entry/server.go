// Package entry serves callers' sessions: it takes statements from a codec, decides
// whether and where they run, and answers each exactly once.
//
// A session is one goroutine. Its values and prepared statements live on the host
// and are brought to whichever connection it borrows (package prep). A transaction
// keeps one connection from its first statement to its end; BEGIN is answered by
// the host and sent with the first statement, so that the database is chosen late.
//
// An answer that promises that nothing ran or is kept is given only if no byte of
// the statement was sent, if the database itself said so, or if the transaction
// was open and its COMMIT was never sent.
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
	// greetTimeout ends connections that never start a session.
	greetTimeout = 5 * time.Second
	// settingsWait is how long a start waits for the first settings; a caller
	// waits 2 s for its answer.
	settingsWait = 1500 * time.Millisecond
	// acceptPause is the wait after a failed accept.
	acceptPause = 10 * time.Millisecond
	// maxSessions bounds the sessions of one host: a goroutine and two buffers
	// each, about 16 KB.
	maxSessions = 2500
)

// Admitter counts operations against the rates of client accounts.
type Admitter interface {
	// Admit takes one operation out of the account's rate, and waits a little
	// for it. It reports false if there is none.
	Admit(ctx context.Context, account string) bool
	// IsNew reports whether the host has had no rate of the account yet.
	IsNew(account string) bool
	// Return gives back an operation that was sent to no database.
	Return(account string)
}

// Server serves sessions. Its fields are set before Run.
type Server struct {
	// Listen is IP:port for callers.
	Listen string
	// Codec speaks to a caller on a connection.
	Codec func(net.Conn) coltsfootloft.Caller
	// Mirror is the host's copy of the store.
	Mirror *mirror.Mirror
	// Groups knows the databases.
	Groups *groups.Groups
	// Relay lends lines to databases.
	Relay *relay.Relay
	// Quota counts operations.
	Quota Admitter
	// Clock counts suspensions.
	Clock coltsfootloft.Clock
	// Log takes a line for each refusal, repeat and unknown outcome.
	Log logr.Logger
	// Metrics receives the counters.
	Metrics *metrics.Set
	// KeyLimit is the age of the settings past which no key is served.
	KeyLimit time.Duration
	// Missing tells that a primary was not reached or refused a write.
	Missing func(group, database string)

	mu       sync.Mutex
	sessions map[*session]struct{}
	closing  atomic.Bool
	once     sync.Once
	group    sync.WaitGroup
	served   atomic.Uint64
	repeats  repeats
}

// Run accepts callers until ctx ends. Sessions go on until Drain.
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
		s.repeats.clock = s.Clock
	})
}

func (s *Server) open(conn net.Conn) {
	n := &session{
		server: s,
		conn:   conn,
		caller: s.Codec(conn),
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
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		n.run()
		s.mu.Lock()
		delete(s.sessions, n)
		s.mu.Unlock()
	}()
}

// CloseIdle ends the sessions that rest outside a transaction, so that their
// callers connect again elsewhere, and returns how many it ended.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	all := make([]*session, 0, len(s.sessions))
	for n := range s.sessions {
		all = append(all, n)
	}
	s.mu.Unlock()
	closed := 0
	for _, n := range all {
		if n.closeIdle() {
			closed++
		}
	}
	return closed
}

// Drain ends each session as it comes to rest outside a transaction. Transactions
// that are open when ctx ends are aborted, and their callers told so.
func (s *Server) Drain(ctx context.Context) {
	s.closing.Store(true)
	s.Log.Info("sessions draining", "ended", s.CloseIdle())
	done := make(chan struct{})
	go func() {
		s.group.Wait()
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

// abortGrace is how long callers have to take the answer to an aborted
// transaction.
const abortGrace = time.Second

func (s *Server) abortAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n := range s.sessions {
		n.abortIdle("the host is leaving")
	}
}

// Sessions counts the open sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
