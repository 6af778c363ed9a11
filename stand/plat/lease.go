package plat

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
)

// lease is a session in Consul's terms.
type lease struct {
	ID          string
	Name        string
	Node        string
	LockDelay   time.Duration
	Behavior    string
	TTL         string
	CreateIndex uint64

	ttl     time.Duration
	expires time.Time
}

type leaseRequest struct {
	Name      string
	Node      string
	LockDelay string
	Behavior  string
	TTL       string
}

func (s *Server) serveSession(w http.ResponseWriter, r *http.Request) {
	verb, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/session/"), "/")
	if verb == "info" {
		s.leaseInfo(w, id)
		return
	}
	if r.Method != http.MethodPut {
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
		return
	}
	if !s.admitWrite(w) {
		return
	}
	code, answer := http.StatusNotFound, any("no such call")
	switch verb {
	case "create":
		code, answer = s.createLease(r)
	case "renew":
		code, answer = s.renewLease(id)
	case "destroy":
		code, answer = s.destroyLease(id)
	}
	if s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, code, answer)
}

func (s *Server) leaseInfo(w http.ResponseWriter, id string) {
	if !s.admitRead(w, false) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	found := []*lease{}
	if l := s.sessions[id]; l != nil {
		found = append(found, l)
	}
	writeJSON(w, http.StatusOK, found)
}

func (s *Server) createLease(r *http.Request) (int, any) {
	var q leaseRequest
	if r.ContentLength != 0 {
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			return http.StatusBadRequest, err.Error()
		}
	}
	var ttl, delay time.Duration
	var err error
	if q.TTL != "" {
		if ttl, err = time.ParseDuration(q.TTL); err != nil || ttl < s.MinTTL {
			return http.StatusBadRequest, "Invalid Session TTL"
		}
	}
	if q.LockDelay != "" {
		if delay, err = time.ParseDuration(q.LockDelay); err != nil {
			return http.StatusBadRequest, "Invalid lock delay"
		}
	}
	if q.Behavior != "" && q.Behavior != "release" {
		return http.StatusBadRequest, "only the behavior release is served"
	}
	l := &lease{
		ID:        uuid.NewString(),
		Name:      q.Name,
		Node:      q.Node,
		LockDelay: delay,
		Behavior:  "release",
		TTL:       q.TTL,
		ttl:       ttl,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys.index++
	l.CreateIndex = s.keys.index
	l.expires = s.clock().Now().Add(ttl)
	s.sessions[l.ID] = l
	return http.StatusOK, struct{ ID string }{ID: l.ID}
}

func (s *Server) renewLease(id string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.sessions[id]
	if l == nil {
		return http.StatusNotFound, "Session id not found"
	}
	l.expires = s.clock().Now().Add(l.ttl)
	return http.StatusOK, []lease{*l}
}

func (s *Server) destroyLease(id string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.sessions[id]; l != nil {
		s.endLease(l)
	}
	return http.StatusOK, true
}

// expire ends the sessions whose TTL has passed. The caller holds the lock.
func (s *Server) expire() {
	now := s.clock().Now()
	for _, l := range s.sessions {
		if l.ttl > 0 && !now.Before(l.expires) {
			s.endLease(l)
		}
	}
}

// endLease releases the locks of a session, each held off by its lock delay.
func (s *Server) endLease(l *lease) {
	now := s.clock().Now()
	delete(s.sessions, l.ID)
	s.keys.index++
	for k, p := range s.keys.pairs {
		if p.Session != l.ID {
			continue
		}
		freed := *p
		freed.Session = ""
		s.keys.put(now, freed)
		if l.LockDelay > 0 {
			s.delays[k] = now.Add(l.LockDelay)
		}
	}
	s.wake()
}
