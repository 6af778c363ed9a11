package consul

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
)

// session is a session as Consul encodes it. It holds locks on keys until it is
// destroyed or its TTL passes without a renewal.
type session struct {
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

// sessionRequest is the body of a call that creates a session.
type sessionRequest struct {
	Name      string
	Node      string
	LockDelay string
	Behavior  string
	TTL       string
}

func (s *Server) serveSession(w http.ResponseWriter, r *http.Request) {
	verb, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/session/"), "/")
	if verb == "info" {
		s.sessionInfo(w, id)
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
		code, answer = s.createSession(r)
	case "renew":
		code, answer = s.renewSession(id)
	case "destroy":
		code, answer = s.destroySession(id)
	}
	if s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, code, answer)
}

func (s *Server) sessionInfo(w http.ResponseWriter, id string) {
	if !s.admitRead(w, false) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpired()
	found := []*session{}
	if l := s.sessions[id]; l != nil {
		found = append(found, l)
	}
	writeJSON(w, http.StatusOK, found)
}

func (s *Server) createSession(r *http.Request) (int, any) {
	var q sessionRequest
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
	l := &session{
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

func (s *Server) renewSession(id string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpired()
	l := s.sessions[id]
	if l == nil {
		return http.StatusNotFound, "Session id not found"
	}
	l.expires = s.clock().Now().Add(l.ttl)
	return http.StatusOK, []session{*l}
}

func (s *Server) destroySession(id string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.sessions[id]; l != nil {
		s.endSession(l)
	}
	return http.StatusOK, true
}

// endExpired ends the sessions whose TTL has passed. The caller holds the mutex.
func (s *Server) endExpired() {
	now := s.clock().Now()
	for _, l := range s.sessions {
		if l.ttl > 0 && !now.Before(l.expires) {
			s.endSession(l)
		}
	}
}

// endSession ends a session and releases its locks. A released key can't be locked
// again before the lock delay of the session has passed.
func (s *Server) endSession(l *session) {
	now := s.clock().Now()
	delete(s.sessions, l.ID)
	s.keys.index++
	for k, p := range s.keys.pairs {
		if p.Session != l.ID {
			continue
		}
		unlocked := *p
		unlocked.Session = ""
		s.keys.put(now, unlocked)
		if l.LockDelay > 0 {
			s.lockDelays[k] = now.Add(l.LockDelay)
		}
	}
	s.wake()
}
