package front

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/io/caller"
	"coltsfootloft/io/port"
)

// The sizes of the kernel's buffers for a caller's connection, in bytes, which the kernel doubles. It
// would otherwise let them grow to megabytes for each caller that sends ahead or does not read.
const (
	receiveBuffer = 32 << 10
	sendBuffer    = 32 << 10
)

// Server accepts connections from callers. Its exported fields are set before Start.
type Server struct {
	// Name is the name of this entry host.
	Name string
	// Listen is the address for callers, as IP:port.
	Listen string
	// Env holds what the sessions of the host share.
	Env *caller.Env
	// TLS is the configuration for connections from callers; nil disables TLS.
	TLS *tls.Config
	// RequireTLS refuses callers that don't use TLS.
	RequireTLS bool
	// Peers forwards cancel requests to other hosts; nil disables forwarding.
	Peers coltsfootloft.Peers
	// MaxSessions is the greatest number of connections; as many as there are numbers of sessions
	// if 0.
	MaxSessions int
	// Clock is the source of time.
	Clock clockwork.Clock
	// Log receives log messages.
	Log logr.Logger

	mu       sync.Mutex
	listener net.Listener
	conns    map[uint32]*callerConn
	// pending are the connections without a session, the oldest first.
	pending   []net.Conn
	sequence  uint32
	draining  bool
	running   sync.WaitGroup
	decoySeed []byte
}

// Start opens the listener and returns its address. Run accepts the connections.
func (s *Server) Start(ctx context.Context) (net.Addr, error) {
	s.decoySeed = make([]byte, 32)
	if _, err := rand.Read(s.decoySeed); err != nil {
		return nil, errors.Wrap(err, "random seed")
	}
	s.conns = make(map[uint32]*callerConn)
	if s.Peers != nil {
		s.Peers.Register(duty, s.cancelFromPeer)
	}
	l, err := port.TCP(ctx, &net.ListenConfig{Control: port.Buffers(receiveBuffer, sendBuffer)}, s.Log, s.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listening for callers")
	}
	s.listener = l
	return l.Addr(), nil
}

// Run serves callers until ctx ends or Drain is called. It requires a successful
// Start.
func (s *Server) Run(ctx context.Context) error {
	if !s.beginAccepting() {
		return nil
	}
	defer s.running.Done()
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.Error(err, "accepting a connection failed")
			s.Clock.Sleep(10 * time.Millisecond)
			continue
		}
		if !s.admit(c) {
			c.Close()
			continue
		}
		s.running.Go(func() { s.serve(ctx, c) })
	}
}

// beginAccepting counts the accepting goroutine, so that Drain does not find the WaitGroup at 0 while
// a connection is accepted. It reports false if Drain has been called.
func (s *Server) beginAccepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.running.Add(1)
	return true
}

func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer c.Close()
	defer s.endPending(c)
	cc := &callerConn{
		server: s,
		raw:    c,
	}
	cc.setConn(c)
	if err := cc.serve(ctx); err != nil {
		s.Log.V(1).Info("session ended", "remote", c.RemoteAddr().String(), "reason", err.Error())
	}
}

// admit counts an accepted connection. If there are as many as there may be, it closes the oldest
// that has no session yet, so that connections which send nothing keep nobody out. It reports false
// if all have sessions.
func (s *Server) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns)+len(s.pending) >= s.maxSessions() {
		if len(s.pending) == 0 {
			return false
		}
		s.pending[0].Close()
		s.pending = slices.Delete(s.pending, 0, 1)
	}
	s.pending = append(s.pending, c)
	return true
}

// endPending removes a connection that has ended, or whose session has started, from those without
// one.
func (s *Server) endPending(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropPending(c)
}

// dropPending is endPending with s.mu held.
func (s *Server) dropPending(c net.Conn) {
	if i := slices.Index(s.pending, c); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
}

// register assigns an id and a secret to the session. It refuses the session while
// the host shuts down, and when all session numbers are in use.
func (s *Server) register(cc *callerConn) error {
	cc.secret = make([]byte, 4)
	if _, err := rand.Read(cc.secret); err != nil {
		return errors.Wrap(err, "random secret")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return coltsfootloft.Refuse(coltsfootloft.CodeShutdown, "the host is shutting down")
	}
	if len(s.conns) >= s.maxSessions() {
		return coltsfootloft.Refuse(coltsfootloft.CodeConnections, "too many sessions on this host")
	}
	for {
		s.sequence++
		id := processID(s.Name, s.sequence)
		if _, taken := s.conns[id]; !taken {
			cc.session.ID = id
			s.conns[id] = cc
			s.dropPending(cc.raw)
			return nil
		}
	}
}

// maxSessions returns the greatest number of sessions.
func (s *Server) maxSessions() int {
	if s.MaxSessions == 0 {
		return int(sequenceMask) + 1
	}
	return s.MaxSessions
}

func (s *Server) unregister(cc *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, cc.session.ID)
}

// Sessions returns the number of sessions.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Refresh ends the sessions that the settings no longer permit: at once if no
// transaction is open, otherwise at its end and at the latest after the withdrawal
// bound.
func (s *Server) Refresh(f *conf.Fleet) {
	bound := f.Defaults().WithdrawalBound()
	for _, cc := range s.allConns() {
		if cc.grant.isValid(f) {
			continue
		}
		s.Log.Info("ending a session whose key or route was withdrawn", "key", cc.grant.key.Name(), "route", cc.grant.route.Name())
		cc.session.End("the key or the route was withdrawn")
		s.Clock.AfterFunc(bound, cc.session.Kill)
	}
}

// Drain stops accepting callers and ends every session after its transaction. It
// returns when all sessions have ended. If ctx ends first, it kills the rest and
// returns an error.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.listener.Close()
	for _, cc := range s.allConns() {
		cc.session.End("the host is shutting down")
	}
	done := make(chan struct{})
	go func() {
		s.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	left := s.allConns()
	for _, cc := range left {
		cc.session.Kill()
	}
	return errors.Errorf("%d sessions did not end in time", len(left))
}

func (s *Server) allConns() []*callerConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*callerConn, 0, len(s.conns))
	for _, cc := range s.conns {
		all = append(all, cc)
	}
	return all
}
