package keyval

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// operatorPrefix and upstreamPrefix are not the system's to write.
const (
	operatorPrefix = "op/"
	upstreamPrefix = "servers/"
)

type transaction struct {
	ExpectedRev []struct {
		Key      string
		Revision uint64
	}
	Writes []struct {
		Key   string
		Value []byte
		Lease uint64
	}
	Remove []string
}

func (t transaction) isForbidden() bool {
	for _, w := range t.Writes {
		if strings.HasPrefix(w.Key, operatorPrefix) || strings.HasPrefix(w.Key, upstreamPrefix) {
			return true
		}
	}
	return false
}

func (s *Server) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if t.isForbidden() {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.LoseAnswers && len(t.Writes)+len(t.Remove) > 0 {
		time.AfterFunc(f.Late, func() { s.apply(t) })
		panic(http.ErrAbortHandler)
	}
	code, body := s.apply(t)
	reply(w, code, body)
}

// apply makes the changes if the conditions hold.
func (s *Server) apply(t transaction) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []Item
	holds := true
	for _, c := range t.ExpectedRev {
		i := s.items[c.Key]
		i.Key = c.Key
		items = append(items, i)
		holds = holds && i.Revision == c.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, struct {
			Items []Item `json:"items"`
		}{items}
	}
	for _, w := range t.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	for _, w := range t.Writes {
		s.write(w.Key, w.Value, w.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	if len(t.Writes)+len(t.Remove) > 0 {
		s.wake()
	}
	return http.StatusOK, struct{ Revision uint64 }{s.revision}
}

type term struct {
	Lease uint64 `json:",omitempty"`
	TTL   int64  `json:"TtlMs"`
}

func (s *Server) open(w http.ResponseWriter, r *http.Request) {
	var t term
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	id := s.next
	l := &lease{ttl: time.Duration(t.TTL) * time.Millisecond}
	l.timer = time.AfterFunc(l.ttl, func() { s.expire(id) })
	s.leases[id] = l
	reply(w, http.StatusOK, term{
		Lease: id,
		TTL:   t.TTL,
	})
}

// expire ends a lease and removes its keys.
func (s *Server) expire(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
	s.wake()
	return true
}

func (s *Server) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, http.StatusOK, term{TTL: l.ttl.Milliseconds()})
}

func (s *Server) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if !s.expire(id) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

func (s *Server) failover(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string
		ID      string `json:"Id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || s.Promote == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	reply(w, s.Promote(body.Service, body.ID, r.Header.Get("Duty-Holder"), fence), struct{}{})
}
