package memdb

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// ErrNoHost is the error of a call to a host that doesn't exist or was removed.
var ErrNoHost = errors.New("no such host")

// Hosts is a fleet of entry hosts in memory, linked to each other and to the members
// of a group. Cuts of the group apply to the links between hosts as well.
type Hosts struct {
	group *Group

	mu      sync.Mutex
	hosts   map[string]*Host
	leaving map[string]bool
}

// NewHosts returns an empty fleet that serves the group.
func NewHosts(g *Group) *Hosts {
	return &Hosts{
		group:   g,
		hosts:   make(map[string]*Host),
		leaving: make(map[string]bool),
	}
}

// Add starts a host in a failure domain.
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

// Remove removes a host from the fleet. Calls to it fail from then on, those under
// way included.
func (f *Hosts) Remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.hosts, name)
}

// AnnounceLeaving announces the removal of an upstream, which [Host.Leaving] reports.
func (f *Hosts) AnnounceLeaving(upstream string) {
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

// Call sends a request to another host and returns its answer. It waits while the
// link is cut in either direction.
func (h *Host) Call(ctx context.Context, host, duty string, body []byte) ([]byte, error) {
	to := h.fleet.host(host)
	if to == nil {
		return nil, ErrNoHost
	}
	if err := h.fleet.group.awaitLink(ctx, h.record.Name(), host); err != nil {
		return nil, err
	}
	to.mu.Lock()
	f := to.handlers[duty]
	to.mu.Unlock()
	if f == nil {
		return nil, errors.Errorf("host %s has no duty %s", host, duty)
	}
	answer, err := f(ctx, h.record.Name(), body)
	if lost := h.fleet.group.awaitLink(ctx, host, h.record.Name()); lost != nil {
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

// Self returns the record of this host.
func (h *Host) Self() coltsfootloft.HostRecord { return h.record }

// Alive returns all hosts that haven't been removed, in no particular order.
func (h *Host) Alive() []coltsfootloft.HostRecord {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	var all []coltsfootloft.HostRecord
	for _, o := range h.fleet.hosts {
		all = append(all, o.record)
	}
	return all
}

// Leaving reports whether the removal of the upstream was announced.
func (h *Host) Leaving(upstream string) bool {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.fleet.leaving[upstream]
}

// Sent returns the number of answered calls that this host has made, and the bytes of
// their requests and answers.
func (h *Host) Sent() (calls, bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls, h.bytes
}

// awaitLink waits until messages can go from one host to another.
func (g *Group) awaitLink(ctx context.Context, from, to string) error {
	for {
		g.mu.Lock()
		changed := g.changed
		cut := g.cuts[link{from: from, to: to}]
		g.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
