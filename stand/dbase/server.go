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

// PlatformUser is the user of the platform's own connections. They do not count
// against the connection limit.
const PlatformUser = "platform"

// platformConns bounds the platform's own connections.
const platformConns = 16

// Bootstrap is the term in which the initial primary of a group starts.
var Bootstrap = coltsfootloft.NewTerm(1, "bootstrap")

// Server is one database of a group. The fields are set before Run.
type Server struct {
	// Name is the database's name among its peers.
	Name string
	// Listen is the IP:port for the PostgreSQL protocol; empty means a free port
	// of 127.0.0.1.
	Listen string
	// ReplicateListen is the IP:port where replicas fetch the log; empty means a
	// free port of 127.0.0.1.
	ReplicateListen string
	// ReplicateListener is used instead of ReplicateListen if it is set, so that
	// peers can know the address before any of them runs. Run closes it.
	ReplicateListener net.Listener
	// Peers maps the names of the other databases to their ReplicateListen.
	Peers map[string]string
	// Initial names the primary of the bootstrap term.
	Initial string
	// MaxConns bounds connections other than the platform's; 0 means 100.
	MaxConns int
	// IdleTransaction ends a session that holds the write lock and sends nothing
	// for this long, with SQLSTATE 25P03; 0 means never.
	IdleTransaction time.Duration
	// ConnectDelay is added to every new connection.
	ConnectDelay time.Duration
	// Lag is the time from receiving a record to applying it.
	Lag time.Duration
	// Dir is where log and terms are kept; empty means in memory.
	Dir string
	// User and Password are what callers log in with; an empty Password lets
	// everyone in. The platform's user has the same password.
	User     string
	Password string
	// Cleartext asks for the password itself instead of SCRAM-SHA-256.
	Cleartext bool
	// TLS offers TLS to callers if it is set.
	TLS *tls.Config
	// Clock is the real one if nil.
	Clock clockwork.Clock
	Log   logr.Logger

	ran       atomic.Bool
	readyOnce sync.Once
	ready     chan struct{}
	listener  net.Listener
	replicate net.Listener

	mu      sync.Mutex
	ledger  ledger
	journal *journal
	version uint64
	changed chan struct{}
	// arrivals are the times at which the records not yet applied were received.
	arrivals []time.Time
	lag      time.Duration
	hurry    bool
	lost     bool
	// syncTo is the offset up to which a rebuilt database must apply its log
	// before it takes callers again.
	syncTo   uint64
	cuts     map[string]bool
	frozen   time.Time
	sessions map[uint32]*session
	most     int
	pid      uint32

	tmp    string
	path   atomic.Pointer[string]
	files  int
	writer chan struct{}
	holder atomic.Pointer[session]
	stored scram.StoredCredentials
	ddl    atomic.Uint64
	counts counter
}

// Ready is closed once the database listens. It stays open if Run fails before.
func (s *Server) Ready() <-chan struct{} {
	s.readyOnce.Do(func() { s.ready = make(chan struct{}) })
	return s.ready
}

// Addr is the address for the PostgreSQL protocol. It is nil before Ready.
func (s *Server) Addr() net.Addr { return addrOf(s.listener) }

// ReplicateAddr is where replicas fetch the log. It is nil before Ready.
func (s *Server) ReplicateAddr() net.Addr { return addrOf(s.replicate) }

func addrOf(l net.Listener) net.Addr {
	if l == nil {
		return nil
	}
	return l.Addr()
}

// Run serves until ctx ends. A Server runs once.
func (s *Server) Run(ctx context.Context) error {
	if s.ran.Swap(true) {
		return errors.New("database has run before; without its state it is a new one")
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
		s.Log.Info("database listens", "name", s.Name, "address", s.Addr().String(), "replicate", s.ReplicateAddr().String())
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
	s.writer = make(chan struct{}, 1)
	s.cuts = make(map[string]bool)
	s.lag = s.Lag
	s.version = uint64(s.Clock.Now().UnixNano())
	var err error
	if s.stored, err = credentials(s.Password); err != nil {
		return err
	}
	if s.tmp, err = os.MkdirTemp("", "dbase-"); err != nil {
		return errors.Wrap(err, "database")
	}
	if err := s.freshFile(); err != nil {
		return err
	}
	if s.journal, err = openJournal(s.Dir, &s.ledger); err != nil {
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

// bootstrap sets the state of a database that starts: what its directory holds,
// or the first state of the group.
func (s *Server) bootstrap(ctx context.Context) error {
	known := s.ledger.fence.IsZero() && s.isKnown(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ledger.fence.IsZero() {
		return s.recover()
	}
	if known {
		s.lost = true
		s.Log.Info("peers know this database, but its state is lost", "name", s.Name)
		return nil
	}
	if s.Initial == "" {
		return nil
	}
	s.ledger.fence = Bootstrap
	if s.Initial != s.Name {
		s.ledger.followed = Bootstrap
		s.ledger.primary = s.Initial
		return s.journal.state(&s.ledger)
	}
	s.ledger.role = coltsfootloft.Primary
	s.ledger.reign = Bootstrap
	if err := s.journal.record(s.ledger.write(nil)); err != nil {
		return err
	}
	return s.journal.state(&s.ledger)
}

// accept hands each connection to its own goroutine and waits for them.
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

// notify wakes everyone who waits for a change. The caller holds the lock.
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

// thaw waits while the database is frozen.
func (s *Server) thaw(ctx context.Context) error {
	for {
		s.mu.Lock()
		d := s.frozen.Sub(s.Clock.Now())
		s.mu.Unlock()
		if d <= 0 {
			return ctx.Err()
		}
		if err := s.sleep(ctx, d); err != nil {
			return err
		}
	}
}
