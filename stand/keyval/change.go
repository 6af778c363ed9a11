package keyval

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Prefixes of the keys that the system must not write: operators and databases
// own them. Transactions that write such a key are answered 403.
const (
	operatorPrefix = "op/"
	upstreamPrefix = "servers/"
)

// transaction is the body of POST /v1/kv-txn.
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

// isForbidden reports whether t writes a key that operators or databases own.
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
	if s.Rewrite != nil {
		for i := range t.Writes {
			w := &t.Writes[i]
			w.Value = s.Rewrite(w.Key, w.Value)
		}
	}
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	if f.LoseAnswers && len(t.Writes)+len(t.Remove) > 0 {
		time.AfterFunc(f.ApplyDelay, func() { s.apply(t) })
		panic(http.ErrAbortHandler)
	}
	code, body := s.apply(t)
	reply(w, code, body)
}

// apply carries out the writes and removals if every expected revision matches,
// and returns the status and body of the answer: 412 with the present items if a
// revision differs, 404 if a lease doesn't exist.
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
		s.wakeWatches()
	}
	return http.StatusOK, struct{ Revision uint64 }{s.revision}
}

// leaseBody is the body of the lease calls.
type leaseBody struct {
	Lease uint64 `json:",omitempty"`
	TTL   int64  `json:"TtlMs"`
}

func (s *Server) openLease(w http.ResponseWriter, r *http.Request) {
	var t leaseBody
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	s.startLease(id, time.Duration(t.TTL)*time.Millisecond)
	reply(w, http.StatusOK, leaseBody{
		Lease: id,
		TTL:   t.TTL,
	})
}

// revoke ends a lease and removes its keys. It reports whether the lease existed.
func (s *Server) revoke(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return false
	}
	l.timer.Stop()
	s.end(id)
	return true
}

// expire ends a lease whose time has run out, unless it was replaced by a restored one of
// the same id.
func (s *Server) expire(id uint64, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == l {
		s.end(id)
	}
}

// end removes a lease and its keys. The caller holds the lock.
func (s *Server) end(id uint64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
	s.wakeWatches()
}

func (s *Server) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, http.StatusOK, leaseBody{TTL: l.ttl.Milliseconds()})
}

func (s *Server) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if !s.revoke(id) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

// failover passes a promotion on to s.Promote.
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
