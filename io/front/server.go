package front

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/io/caller"
)

// Server takes callers' connections. Its exported fields are set before Run.
type Server struct {
	// Name is the name of this entry host.
	Name string
	// Listen is the address for callers, as IP:port.
	Listen string
	// Env serves the sessions.
	Env *caller.Env
	// TLS is the certificate for callers; nil offers no TLS.
	TLS *tls.Config
	// RequireTLS refuses callers without TLS.
	RequireTLS bool
	// Peers carries cancel requests to other hosts; nil keeps them here.
	Peers coltsfootloft.Peers
	// Clock tells the time.
	Clock clockwork.Clock
	// Log takes events.
	Log logr.Logger

	mu        sync.Mutex
	listener  net.Listener
	visits    map[uint32]*visit
	sequence  uint32
	draining  bool
	running   sync.WaitGroup
	decoySeed []byte
}

// Start opens the listener and returns its address. Run serves it.
func (s *Server) Start(ctx context.Context) (net.Addr, error) {
	s.decoySeed = make([]byte, 32)
	if _, err := rand.Read(s.decoySeed); err != nil {
		return nil, errors.Wrap(err, "random seed")
	}
	s.visits = make(map[uint32]*visit)
	if s.Peers != nil {
		s.Peers.Register(duty, s.cancelFromPeer)
	}
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listening for callers")
	}
	s.listener = l
	return l.Addr(), nil
}

// Run serves callers until ctx ends or Drain is called. Start comes first.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.Log.Error(err, "accepting a caller")
			s.Clock.Sleep(10 * time.Millisecond)
			continue
		}
		s.running.Go(func() { s.serve(ctx, c) })
	}
}

func (s *Server) serve(ctx context.Context, c net.Conn) {
	defer c.Close()
	v := &visit{server: s}
	v.use(c)
	if err := v.serve(ctx); err != nil {
		s.Log.V(1).Info("session over", "remote", c.RemoteAddr().String(), "reason", err.Error())
	}
}

// enter gives the visit an id and a secret.
func (s *Server) enter(v *visit) error {
	v.secret = make([]byte, 4)
	if _, err := rand.Read(v.secret); err != nil {
		return errors.Wrap(err, "random secret")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return coltsfootloft.Refuse(coltsfootloft.CodeShutdown, "the host is shutting down")
	}
	if len(s.visits) > int(sequenceMask) {
		return coltsfootloft.Refuse(coltsfootloft.CodeConnections, "too many sessions on this host")
	}
	for {
		s.sequence++
		id := processID(s.Name, s.sequence)
		if _, taken := s.visits[id]; !taken {
			v.session.ID = id
			s.visits[id] = v
			return nil
		}
	}
}

func (s *Server) leave(v *visit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.visits, v.session.ID)
}

// Sessions is the number of admitted callers.
func (s *Server) Sessions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.visits)
}

// Refresh ends the sessions that the settings no longer grant: at once between
// transactions, and at the withdrawal bound otherwise.
func (s *Server) Refresh(f *conf.Fleet) {
	bound := f.Defaults().WithdrawalBound()
	for _, v := range s.all() {
		if v.grant.holds(f) {
			continue
		}
		s.Log.Info("ending a session whose key or route was withdrawn", "key", v.grant.key.Name(), "route", v.grant.route.Name())
		v.session.End("the key or the route was withdrawn")
		s.Clock.AfterFunc(bound, v.session.Kill)
	}
}

// Drain stops taking callers and ends every session when its transaction is over.
// It returns once all are gone, or kills the rest when ctx ends.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.listener.Close()
	for _, v := range s.all() {
		v.session.End("the host is shutting down")
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
	left := s.all()
	for _, v := range left {
		v.session.Kill()
	}
	return errors.Errorf("%d sessions did not end in time", len(left))
}

func (s *Server) all() []*visit {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*visit, 0, len(s.visits))
	for _, v := range s.visits {
		all = append(all, v)
	}
	return all
}
