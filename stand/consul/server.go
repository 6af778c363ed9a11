package consul

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// sweepPeriod is the interval at which expired sessions are ended.
const sweepPeriod = 50 * time.Millisecond

// Server is the service. Its exported fields are set before Run.
type Server struct {
	// Listen is the address of the service, IP:port; port 0 selects a free one.
	Listen string
	// Control is a second address, IP:port, that serves only /standin/ and the
	// catalog registrations, and stays up when the service is down; none if empty.
	Control string
	// Clock drives session TTLs, lags and waits; the real clock if nil.
	Clock clockwork.Clock
	// Log receives a line at start and at stop, and errors.
	Log logr.Logger
	// WritesPerSecond and ReadsPerSecond limit the rates of calls; unlimited if 0.
	// Calls over a limit are answered 429.
	WritesPerSecond int
	ReadsPerSecond  int
	// MinTTL is the minimum TTL of a session. Consul's own is 10 s.
	MinTTL time.Duration

	mu         sync.Mutex
	keys       history
	sessions   map[string]*session
	lockDelays map[string]time.Time // end of the lock delay of each key
	catalogs   []catalog
	faults     Faults
	counts     Counts
	reads      limiter
	writes     limiter
	changed    chan struct{}
	listening  chan struct{}
	addr       string
	control    string
	listener   net.Listener
	conns      map[net.Conn]struct{}
	http       *http.Server
}

// Run serves until ctx ends. It returns an error if an address can't be bound.
func (s *Server) Run(ctx context.Context) error {
	s.mu.Lock()
	s.prepare()
	s.http = &http.Server{
		Handler:           s.withFaults(s.mux(true)),
		ReadHeaderTimeout: time.Minute,
		ConnState:         s.track,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	s.mu.Unlock()
	admin := &http.Server{
		Handler:           s.mux(false),
		ReadHeaderTimeout: time.Minute,
	}
	if err := s.bind(ctx, admin); err != nil {
		return err
	}
	s.Log.Info("platform stand-in listens", "address", s.Addr(), "control", s.control)
	s.sweep(ctx)
	s.Log.Info("platform stand-in stops")
	err := s.http.Close()
	if e := admin.Close(); err == nil {
		err = e
	}
	return err
}

// sweep ends expired sessions until ctx ends, so that blocking queries on their locks
// return without another call.
func (s *Server) sweep(ctx context.Context) {
	t := s.clock().NewTicker(sweepPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			s.mu.Lock()
			s.endExpired()
			s.mu.Unlock()
		}
	}
}

// Addr returns the bound IP:port. It waits until Run has bound it.
func (s *Server) Addr() string {
	s.mu.Lock()
	s.prepare()
	b := s.listening
	s.mu.Unlock()
	<-b
	return s.addr
}

// ControlAddr returns the bound control IP:port; empty if Control is empty. It waits
// until Run has bound it.
func (s *Server) ControlAddr() string {
	_ = s.Addr()
	return s.control
}

func (s *Server) bind(ctx context.Context, admin *http.Server) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "platform stand-in")
	}
	if s.Control != "" {
		c, err := lc.Listen(ctx, "tcp", s.Control)
		if err != nil {
			l.Close()
			return errors.Wrap(err, "platform stand-in: control")
		}
		s.control = c.Addr().String()
		go func() { _ = admin.Serve(c) }()
	}
	s.mu.Lock()
	s.serve(l)
	s.addr = l.Addr().String()
	down := s.faults.Down
	s.mu.Unlock()
	close(s.listening)
	if down != Up {
		s.listenAgain(down)
	}
	return nil
}

// listenAgain closes the listener and all connections if d is [Refuse]. Otherwise it
// listens again at the same address if the listener is closed.
func (s *Server) listenAgain(d Down) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == "" {
		return
	}
	if d == Refuse {
		if s.listener != nil {
			s.listener.Close()
			s.listener = nil
		}
		for c := range s.conns {
			c.Close()
		}
		return
	}
	if s.listener != nil {
		return
	}
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", s.addr)
	if err != nil {
		s.Log.Error(err, "platform stand-in can't listen again", "address", s.addr)
		return
	}
	s.serve(l)
}

// serve accepts connections at l. The caller holds the lock.
func (s *Server) serve(l net.Listener) {
	s.listener = &closeOnce{Listener: l}
	go func(l net.Listener) { _ = s.http.Serve(l) }(s.listener)
}

// track keeps the set of open connections, which listenAgain closes.
func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	case http.StateActive, http.StateIdle:
	}
}

// mux returns the handler of the service address, or that of the control address if
// service is false.
func (s *Server) mux(service bool) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("/standin/faults", s.serveFaults)
	m.HandleFunc("/standin/counts", s.serveCounts)
	m.HandleFunc("/v1/catalog/register", s.serveRegister)
	m.HandleFunc("/v1/catalog/deregister", s.serveRegister)
	if !service {
		return m
	}
	m.HandleFunc("/v1/kv/", s.serveKey)
	m.HandleFunc("/v1/txn", s.serveTxn)
	m.HandleFunc("/v1/session/", s.serveSession)
	m.HandleFunc("/v1/catalog/service/", s.serveCatalog)
	return m
}

// withFaults delays and holds calls according to the faults. Calls of /standin/ are
// exempt.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/standin/") {
			next.ServeHTTP(w, r)
			return
		}
		s.mu.Lock()
		f, changed := s.faults, s.changed
		s.mu.Unlock()
		if f.Delay > 0 {
			select {
			case <-s.clock().After(f.Delay):
			case <-r.Context().Done():
				return
			}
		}
		for f.Down == Hold {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
			s.mu.Lock()
			f, changed = s.faults, s.changed
			s.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// prepare makes the zero value usable. The caller holds the lock.
func (s *Server) prepare() {
	if s.listening != nil {
		return
	}
	s.listening = make(chan struct{})
	s.changed = make(chan struct{})
	s.keys = history{space: newSpace()}
	s.sessions = make(map[string]*session)
	s.lockDelays = make(map[string]time.Time)
	s.conns = make(map[net.Conn]struct{})
}

// wake lets blocking queries read again. The caller holds the lock.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) clock() clockwork.Clock {
	if s.Clock == nil {
		return clockwork.NewRealClock()
	}
	return s.Clock
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}
