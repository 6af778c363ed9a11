// Package mesh is a network of hosts inside one process, for tests of protocols
// between hosts. Calls can be delayed, and cut between failure domains. Messages are
// counted for each host and duty.
package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft"
)

// ErrCut is the error of a call to a host that can't be reached, or of a call whose
// answer was lost because the host became unreachable.
var ErrCut = errors.New("host can't be reached")

// CutTime is the time after which a call to an unreachable host fails.
const CutTime = 200 * time.Millisecond

// Mesh is the network. Its exported fields are set before the first call.
type Mesh struct {
	// Delay is the latency in one direction.
	Delay time.Duration
	// Clock drives the delays; the real clock if nil.
	Clock clockwork.Clock

	mu    sync.Mutex
	ports map[string]*Port
	cuts  map[[2]string]bool
}

// Port is one host's access to the network. It implements coltsfootloft.Peers.
type Port struct {
	mesh   *Mesh
	name   string
	domain string

	mu       sync.Mutex
	handlers map[string]coltsfootloft.Handler
	sent     map[string]Count
}

var _ coltsfootloft.Peers = (*Port)(nil)

// Count is the traffic that a host has sent for one duty: the number of requests and
// answers, and the bytes of their bodies.
type Count struct {
	Messages int
	Bytes    int
}

// Join adds a host in a failure domain, or replaces the host of this name.
func (m *Mesh) Join(name, domain string) *Port {
	p := &Port{
		mesh:     m,
		name:     name,
		domain:   domain,
		handlers: make(map[string]coltsfootloft.Handler),
		sent:     make(map[string]Count),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ports == nil {
		m.ports = make(map[string]*Port)
		m.cuts = make(map[[2]string]bool)
	}
	m.ports[name] = p
	return p
}

// Leave removes a host from the network without notice, as if it had crashed.
func (m *Mesh) Leave(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.ports, name)
}

// Cut fails calls between two failure domains, in both directions, until Heal.
func (m *Mesh) Cut(a, b string) { m.setCut(a, b, true) }

// Heal ends a Cut.
func (m *Mesh) Heal(a, b string) { m.setCut(a, b, false) }

func (m *Mesh) setCut(a, b string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cuts == nil {
		m.cuts = make(map[[2]string]bool)
	}
	m.cuts[[2]string{a, b}] = cut
	m.cuts[[2]string{b, a}] = cut
}

// route returns the port of a host, or nil if from can't reach it.
func (m *Mesh) route(from *Port, to string) *Port {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.ports[to]
	if p == nil || m.cuts[[2]string{from.domain, p.domain}] || m.ports[from.name] != from {
		return nil
	}
	return p
}

func (m *Mesh) sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	clock := m.Clock
	if clock == nil {
		clock = clockwork.NewRealClock()
	}
	select {
	case <-clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Register sets the handler of a duty.
func (p *Port) Register(duty string, h coltsfootloft.Handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handlers[duty] = h
}

// Call sends a request to another host and returns its answer.
func (p *Port) Call(ctx context.Context, host, duty string, body []byte) ([]byte, error) {
	p.count(duty, len(body))
	to := p.mesh.route(p, host)
	if to == nil {
		if err := p.mesh.sleep(ctx, CutTime); err != nil {
			return nil, err
		}
		return nil, errors.Wrap(ErrCut, host)
	}
	if err := p.mesh.sleep(ctx, p.mesh.Delay); err != nil {
		return nil, err
	}
	to.mu.Lock()
	h := to.handlers[duty]
	to.mu.Unlock()
	if h == nil {
		return nil, errors.Errorf("host %s has no duty %s", host, duty)
	}
	answer, err := h(ctx, p.name, body)
	to.count(duty, len(answer))
	if late := p.mesh.sleep(ctx, p.mesh.Delay); late != nil {
		return nil, late
	}
	if p.mesh.route(p, host) != to {
		return nil, errors.Wrap(ErrCut, host)
	}
	return answer, err
}

// count adds a message to the traffic that the host has sent.
func (p *Port) count(duty string, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.sent[duty]
	c.Messages++
	c.Bytes += bytes
	p.sent[duty] = c
}

// Sent returns the traffic that the host has sent for a duty.
func (p *Port) Sent(duty string) Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent[duty]
}
