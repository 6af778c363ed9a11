// Package mesh is a small network of hosts inside one process, for tests of what
// hosts do together. Calls can be cut between failure domains and delayed, and
// are counted.
package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft"
)

// ErrCut is the error of a call that didn't get through.
var ErrCut = errors.New("host can't be reached")

// CutTime is how long a call to a host that can't be reached takes to fail.
const CutTime = 200 * time.Millisecond

// Mesh is the network. Its fields are set before the first call.
type Mesh struct {
	// Delay is the time one way.
	Delay time.Duration
	// Clock times it; the real one if nil.
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

// Count is what a host has sent for one duty: requests and answers, and the bytes
// of their bodies.
type Count struct {
	Messages int
	Bytes    int
}

// Join adds a host, or replaces the one of this name.
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

// Leave takes a host off the network, as if it had died.
func (m *Mesh) Leave(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.ports, name)
}

// Cut drops calls between the domains, both ways, until they are healed.
func (m *Mesh) Cut(a, b string) { m.set(a, b, true) }

// Heal ends the cut between the domains.
func (m *Mesh) Heal(a, b string) { m.set(a, b, false) }

func (m *Mesh) set(a, b string, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cuts == nil {
		m.cuts = make(map[[2]string]bool)
	}
	m.cuts[[2]string{a, b}] = cut
	m.cuts[[2]string{b, a}] = cut
}

// reach returns the port of a host, or nil if calls don't get through.
func (m *Mesh) reach(from *Port, to string) *Port {
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

// Call carries a request to another host and its answer back.
func (p *Port) Call(ctx context.Context, host, duty string, body []byte) ([]byte, error) {
	p.count(duty, len(body))
	to := p.mesh.reach(p, host)
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
	if p.mesh.reach(p, host) != to {
		return nil, errors.Wrap(ErrCut, host)
	}
	return answer, err
}

func (p *Port) count(duty string, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.sent[duty]
	c.Messages++
	c.Bytes += bytes
	p.sent[duty] = c
}

// Sent returns what the host has sent for a duty.
func (p *Port) Sent(duty string) Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sent[duty]
}
