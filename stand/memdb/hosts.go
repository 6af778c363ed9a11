package memdb

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// ErrNoHost says that the peer is not there.
var ErrNoHost = errors.New("no such host")

// Hosts are entry hosts in memory, linked to each other and to the members of a
// group. Cuts of the group apply to the links between hosts as well.
type Hosts struct {
	group *Group

	mu      sync.Mutex
	hosts   map[string]*Host
	leaving map[string]bool
}

// NewHosts returns an empty fleet before the group.
func NewHosts(g *Group) *Hosts {
	return &Hosts{
		group:   g,
		hosts:   make(map[string]*Host),
		leaving: make(map[string]bool),
	}
}

// Add starts a host.
func (f *Hosts) Add(name, domain string) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &Host{
		fleet:    f,
		record:   coltsfootloft.NewHost(name, domain, "127.0.0.1:1"),
		handlers: make(map[string]coltsfootloft.Handler),
	}
	f.hosts[name] = h
	return h
}

// Remove takes a host out of every list and ends its links.
func (f *Hosts) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.hosts, name)
}

// Leave announces that a member leaves.
func (f *Hosts) Leave(upstream string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving[upstream] = true
}

func (f *Hosts) host(name string) *Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[name]
}

// Host is one entry host. It implements [coltsfootloft.Peers] and
// [coltsfootloft.Members].
type Host struct {
	fleet    *Hosts
	record   coltsfootloft.HostRecord
	mu       sync.Mutex
	handlers map[string]coltsfootloft.Handler
	calls    int
	bytes    int
}

var (
	_ coltsfootloft.Peers   = (*Host)(nil)
	_ coltsfootloft.Members = (*Host)(nil)
)

// Call carries a request to another host.
func (h *Host) Call(ctx context.Context, host, duty string, body []byte) ([]byte, error) {
	to := h.fleet.host(host)
	if to == nil {
		return nil, ErrNoHost
	}
	if err := h.fleet.group.pass(ctx, h.record.Name(), host); err != nil {
		return nil, err
	}
	to.mu.Lock()
	f := to.handlers[duty]
	to.mu.Unlock()
	if f == nil {
		return nil, errors.Errorf("host %s has no duty %s", host, duty)
	}
	answer, err := f(ctx, h.record.Name(), body)
	if lost := h.fleet.group.pass(ctx, host, h.record.Name()); lost != nil {
		return nil, lost
	}
	if h.fleet.host(host) != to {
		return nil, ErrNoHost
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls++
	h.bytes += len(body) + len(answer)
	return answer, err
}

// Register sets the handler of a duty.
func (h *Host) Register(duty string, f coltsfootloft.Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handlers[duty] = f
}

// Self is this host.
func (h *Host) Self() coltsfootloft.HostRecord { return h.record }

// Alive returns every host that hasn't been removed.
func (h *Host) Alive() []coltsfootloft.HostRecord {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	var all []coltsfootloft.HostRecord
	for _, o := range h.fleet.hosts {
		all = append(all, o.record)
	}
	return all
}

// Leaving reports whether the member was announced to leave.
func (h *Host) Leaving(upstream string) bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.fleet.leaving[upstream]
}

// Sent returns the calls that this host has made and the bytes of their bodies,
// both ways.
func (h *Host) Sent() (calls, bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls, h.bytes
}

// pass waits until a message can go from one host to another.
func (g *Group) pass(ctx context.Context, from, to string) error {
	for {
		g.mu.Lock()
		moved := g.moved
		cut := g.cuts[link{from: from, to: to}]
		g.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-moved:
		}
	}
}
