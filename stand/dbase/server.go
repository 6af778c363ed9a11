package dbase

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
	"golang.org/x/sync/errgroup"

	"coltsfootloft"
)

// PlatformUser is the user of the platform's own connections. They are not limited
// by MaxConns.
const PlatformUser = "platform"

// platformConns is the maximum number of the platform's own connections.
const platformConns = 16

// BootstrapTerm is the term in which the initial primary of a group starts: 1@bootstrap.
var BootstrapTerm = coltsfootloft.NewTerm(1, "bootstrap")

// Server is a database of a database group. Its fields must be set before Run.
type Server struct {
	// Name is the database's name among its peers.
	Name string
	// Listen is the IP:port for the PostgreSQL protocol. Empty means a free port on
	// 127.0.0.1.
	Listen string
	// ReplicateListen is the IP:port where replicas fetch the log. Empty means a
	// free port on 127.0.0.1.
	ReplicateListen string
	// ReplicateListener is used instead of ReplicateListen if it is set, so that
	// peers can be configured with the address before any of them runs. Run closes
	// it.
	ReplicateListener net.Listener
	// Peers maps the names of the other databases to their replication addresses.
	Peers map[string]string
	// InitialPrimary is the name of the primary of term BootstrapTerm. Empty means that
	// the database starts without a term.
	InitialPrimary string
	// MaxConns is the maximum number of connections other than the platform's. 0
	// means 100.
	MaxConns int
	// IdleTransactionTimeout is the time after which a session that holds the write lock
	// and sends nothing is ended with SQLSTATE 25P03. 0 means no limit.
	IdleTransactionTimeout time.Duration
	// ConnectDelay delays the handling of every new connection.
	ConnectDelay time.Duration
	// Lag is the replication lag: the time from receiving a record to applying it.
	Lag time.Duration
	// Dir is the directory of the log and the terms. Empty means that they are only
	// held in memory.
	Dir string
	// User and Password are the credentials of clients. With an empty Password every
	// client is accepted. PlatformUser has the same password.
	User     string
	Password string
	// Cleartext requests the password in clear text instead of SCRAM-SHA-256.
	Cleartext bool
	// TLS is offered to clients if it is set.
	TLS *tls.Config
	// Clock is the time source. Nil means the system clock.
	Clock clockwork.Clock
	// Log receives log messages.
	Log logr.Logger

	ran       atomic.Bool
	readyOnce sync.Once
	ready     chan struct{}
	listener  net.Listener
	replicate net.Listener

	mu      sync.Mutex
	state   replState
	journal *journal
	version uint64
	changed chan struct{}
	// arrivals holds the receive times of the records that are not yet applied.
	arrivals  []time.Time
	lag       time.Duration
	skipLag   bool
	stateLost bool
	// syncTo is the offset up to which a rebuilt database must apply its log
	// before it accepts clients again.
	syncTo       uint64
	blockedPeers map[string]bool
	frozenUntil  time.Time
	sessions     map[uint32]*session
	peakSessions int
	pid          uint32

	tmp           string
	path          atomic.Pointer[string]
	fileCount     int
	writeLock     chan struct{}
	lockHolder    atomic.Pointer[session]
	verifier      scram.StoredCredentials
	schemaVersion atomic.Uint64
	counts        counter
}

// Ready returns a channel that is closed once the database accepts connections. It
// stays open if Run fails before that.
func (s *Server) Ready() <-chan struct{} {
	s.readyOnce.Do(func() { s.ready = make(chan struct{}) })
	return s.ready
}

// Addr returns the address for the PostgreSQL protocol. It is nil before Ready is
// closed.
func (s *Server) Addr() net.Addr { return addrOf(s.listener) }

// ReplicateAddr returns the address where replicas fetch the log. It is nil before
// Ready is closed.
func (s *Server) ReplicateAddr() net.Addr { return addrOf(s.replicate) }

func addrOf(l net.Listener) net.Addr {
	if l == nil {
		return nil
	}
	return l.Addr()
}

// Run serves connections until ctx ends. A second call fails: a database without
// its state is a new database, which needs a new Server.
func (s *Server) Run(ctx context.Context) error {
	if s.ran.Swap(true) {
		return errors.New("database has run before, a Server runs only once")
	}
	defer s.cleanup()
	if err := s.start(ctx); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		s.listener.Close()
		s.replicate.Close()
		s.closeSessions()
		return nil
	})
	g.Go(func() error { return s.accept(ctx, s.replicate, s.ship) })
	g.Go(func() error {
		if err := s.bootstrap(ctx); err != nil {
			return err
		}
		g.Go(func() error { return s.apply(ctx) })
		g.Go(func() error { return s.pull(ctx) })
		close(s.ready)
		s.Log.Info("database is listening", "name", s.Name, "address", s.Addr().String(), "replicate", s.ReplicateAddr().String())
		return s.accept(ctx, s.listener, s.serve)
	})
	return g.Wait()
}

// start opens files and listeners.
func (s *Server) start(ctx context.Context) error {
	s.Ready()
	if s.Clock == nil {
		s.Clock = clockwork.NewRealClock()
	}
	s.changed = make(chan struct{})
	s.sessions = make(map[uint32]*session)
	s.writeLock = make(chan struct{}, 1)
	s.blockedPeers = make(map[string]bool)
	s.lag = s.Lag
	s.version = uint64(s.Clock.Now().UnixNano())
	var err error
	if s.verifier, err = credentials(s.Password); err != nil {
		return err
	}
	if s.tmp, err = os.MkdirTemp("", "dbase-"); err != nil {
		return errors.Wrap(err, "database")
	}
	if err := s.newDataFile(); err != nil {
		return err
	}
	if s.journal, err = openJournal(s.Dir, &s.state); err != nil {
		return err
	}
	if s.listener, err = listen(ctx, s.Listen); err != nil {
		return err
	}
	if s.replicate = s.ReplicateListener; s.replicate == nil {
		s.replicate, err = listen(ctx, s.ReplicateListen)
	}
	return err
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address)
	return l, errors.Wrap(err, "database")
}

// bootstrap sets the initial state: the one restored from the directory or, for a
// new database, the first state of the group. If a peer has replicated with this
// database before, its state is lost.
func (s *Server) bootstrap(ctx context.Context) error {
	known := s.state.fence.IsZero() && s.isKnown(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.fence.IsZero() {
		return s.recover()
	}
	if known {
		s.stateLost = true
		s.Log.Info("peers have replicated with this database before, but its state is lost", "name", s.Name)
		return nil
	}
	if s.InitialPrimary == "" {
		return nil
	}
	s.state.fence = BootstrapTerm
	if s.InitialPrimary != s.Name {
		s.state.followed = BootstrapTerm
		s.state.primary = s.InitialPrimary
		return s.journal.state(&s.state)
	}
	s.state.role = coltsfootloft.Primary
	s.state.primaryTerm = BootstrapTerm
	if err := s.journal.record(s.state.write(nil)); err != nil {
		return err
	}
	return s.journal.state(&s.state)
}

// accept serves each connection in its own goroutine. It waits for them before it
// returns.
func (s *Server) accept(ctx context.Context, l net.Listener, serve func(context.Context, net.Conn)) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accept")
		}
		wg.Go(func() {
			defer c.Close()
			stop := context.AfterFunc(ctx, func() { c.Close() })
			defer stop()
			serve(ctx, c)
		})
	}
}

func (s *Server) cleanup() {
	for _, l := range []net.Listener{s.listener, s.replicate} {
		if l != nil {
			l.Close()
		}
	}
	s.journal.close()
	if err := os.RemoveAll(s.tmp); err != nil {
		s.Log.Error(err, "cleanup", "name", s.Name)
	}
}

func (s *Server) closeSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.sessions {
		x.interrupt()
		x.conn.Close()
	}
}

// notify increments the version and wakes all goroutines that wait for a change.
// The caller holds s.mu.
func (s *Server) notify() {
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// sleep waits for d, or until ctx ends.
func (s *Server) sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := s.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.Chan():
		return nil
	}
}

// awaitUnfrozen waits while the database is frozen.
func (s *Server) awaitUnfrozen(ctx context.Context) error {
	for {
		s.mu.Lock()
		d := s.frozenUntil.Sub(s.Clock.Now())
		s.mu.Unlock()
		if d <= 0 {
			return ctx.Err()
		}
		if err := s.sleep(ctx, d); err != nil {
			return err
		}
	}
}
