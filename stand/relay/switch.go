package relay

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Switch forwards connections to one target through a relay for each IP of origin, so that
// faults can be injected between one host and the target alone. Its exported fields are set
// before Run.
type Switch struct {
	// Listener accepts the connections.
	Listener net.Listener
	// Target is the address to forward to, IP:port.
	Target string
	// KeepSource lets the target see the IP of origin. The IP must be one of this machine.
	KeepSource bool

	mu     sync.Mutex
	relays map[string]*Relay
}

// Run forwards until ctx ends, and then returns nil.
func (s *Switch) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.Listener.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := s.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "switch")
		}
		ip, _, err := net.SplitHostPort(c.RemoteAddr().String())
		if err != nil {
			c.Close()
			continue
		}
		wg.Go(func() { s.From(ip).Serve(ctx, c) })
	}
}

// From returns the relay for connections from an IP.
func (s *Switch) From(ip string) *Relay {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.relays[ip]
	if !ok {
		r = &Relay{Target: s.Target}
		if s.KeepSource {
			r.Source = ip
		}
		if s.relays == nil {
			s.relays = make(map[string]*Relay)
		}
		s.relays[ip] = r
	}
	return r
}
