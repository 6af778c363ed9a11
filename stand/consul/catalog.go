package consul

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"coltsfootloft"
)

// ServiceName is the catalog service that carries the host list.
const ServiceName = "coltsfootloft"

// service is one entry of a catalog service, as Consul encodes it.
type service struct {
	Node           string
	Address        string
	ServiceID      string
	ServiceName    string
	ServiceAddress string
	ServicePort    int
	ServiceMeta    map[string]string
}

// registration is the body of Consul's catalog registrations.
type registration struct {
	Node    string
	Address string
	Service struct {
		Service string
		Address string
		Port    int
		Meta    map[string]string
	}
}

// catalog is the host list from one point in time on.
type catalog struct {
	since time.Time
	index uint64
	hosts map[string]service
}

// Register adds the host to the host list or replaces its entry, as a platform does
// when it starts a host or announces its removal.
func (s *Server) Register(h coltsfootloft.HostRecord) {
	host, p, err := net.SplitHostPort(h.Address())
	if err != nil {
		host = h.Address()
	}
	port, _ := strconv.Atoi(p)
	kind, state := "entry", "live"
	if h.Upstream() {
		kind = "upstream"
	}
	if h.Leaving() {
		state = "leaving"
	}
	s.setEntry(h.Name(), &service{
		Node:           h.Name(),
		Address:        host,
		ServiceID:      h.Name(),
		ServiceName:    ServiceName,
		ServiceAddress: host,
		ServicePort:    port,
		ServiceMeta: map[string]string{
			"domain": h.Domain(),
			"kind":   kind,
			"state":  state,
		},
	})
}

// Deregister removes the host from the host list.
func (s *Server) Deregister(name string) { s.setEntry(name, nil) }

// setEntry replaces one entry of the host list; nil removes it.
func (s *Server) setEntry(name string, entry *service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	now := s.clock().Now()
	next := make(map[string]service)
	index := uint64(2)
	if n := len(s.catalogs); n > 0 {
		next = maps.Clone(s.catalogs[n-1].hosts)
		index = s.catalogs[n-1].index + 1
	}
	delete(next, name)
	if entry != nil {
		next[name] = *entry
	}
	old := 0
	for old+1 < len(s.catalogs) && now.Sub(s.catalogs[old+1].since) > historyAge {
		old++
	}
	s.catalogs = append(s.catalogs[old:], catalog{
		since: now,
		index: index,
		hosts: next,
	})
}

// hosts returns the entries of the named service as they were [Faults].ListLag ago,
// sorted by node, and the index of the last change until then.
func (s *Server) hosts(name string) ([]service, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	when := s.clock().Now().Add(-s.faults.ListLag)
	found := []service{}
	index := uint64(1)
	for _, c := range slices.Backward(s.catalogs) {
		if c.since.After(when) {
			continue
		}
		index = c.index
		for _, n := range slices.Sorted(maps.Keys(c.hosts)) {
			if c.hosts[n].ServiceName == name {
				found = append(found, c.hosts[n])
			}
		}
		break
	}
	return found, index
}

// awaitHosts returns the result of hosts once its index differs from known, at the
// latest after wait. It returns at once if known is 0.
func (s *Server) awaitHosts(ctx context.Context, name string, known uint64, wait time.Duration) ([]service, uint64) {
	timer := s.clock().NewTimer(wait)
	defer timer.Stop()
	for {
		found, index := s.hosts(name)
		if known == 0 || index != known {
			return found, index
		}
		select {
		case <-s.clock().After(pastPollPeriod):
		case <-timer.Chan():
			return found, index
		case <-ctx.Done():
			return found, index
		}
	}
}

func (s *Server) serveCatalog(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, "/v1/catalog/service/")
	after, wait, err := blockingParams(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.admitRead(w, after > 0) {
		return
	}
	found, index := s.awaitHosts(r.Context(), name, after, wait)
	w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
	writeJSON(w, http.StatusOK, found)
}

// serveRegister serves Consul's catalog registrations. They are neither counted nor
// limited, because the platform itself makes them.
func (s *Server) serveRegister(w http.ResponseWriter, r *http.Request) {
	var q registration
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.HasSuffix(r.URL.Path, "/deregister") {
		s.Deregister(q.Node)
		writeJSON(w, http.StatusOK, true)
		return
	}
	s.setEntry(q.Node, &service{
		Node:           q.Node,
		Address:        q.Address,
		ServiceID:      q.Node,
		ServiceName:    q.Service.Service,
		ServiceAddress: q.Service.Address,
		ServicePort:    q.Service.Port,
		ServiceMeta:    q.Service.Meta,
	})
	writeJSON(w, http.StatusOK, true)
}
