// Package keyval stands in for the users' platform: its key-value store with
// leases, watches and transactions under conditions, and the call that promotes a
// database. It speaks HTTP with the platform's own names and keeps all in memory.
//
// A test sets [Faults] to have the store refuse or ignore some hosts, lose answers
// after the change, carry changes out late, drop its history, or hold watches deaf.
package keyval

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Faults are what is wrong with the store. The zero value is nothing.
type Faults struct {
	// Down refuses every call with 503.
	Down bool
	// Silent leaves every call without an answer.
	Silent bool
	// Turned are the IPs of hosts that are refused while others are served.
	Turned map[string]bool
	// LoseAnswers carries changes out and breaks the connection off.
	LoseAnswers bool
	// Late delays changes whose answer is lost.
	Late time.Duration
	// DeafWatches holds watches without telling them anything.
	DeafWatches bool
}

// Item is one key.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	Created  uint64
	Lease    uint64
	Deleted  bool `json:",omitempty"`
}

// Server is the store. Its fields are set before Run.
type Server struct {
	// Listener takes the connections.
	Listener net.Listener
	// Promote carries a promotion out and returns the status of its answer.
	Promote func(group, database, holder string, fence uint64) int

	mu       sync.Mutex
	faults   Faults
	revision uint64
	floor    uint64 // history after this revision is known
	items    map[string]Item
	history  []Item
	leases   map[uint64]*lease
	next     uint64
	changed  chan struct{}
	calls    map[string]int
	once     sync.Once
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func (s *Server) prepare() {
	s.once.Do(func() {
		s.items = make(map[string]Item)
		s.leases = make(map[uint64]*lease)
		s.calls = make(map[string]int)
		s.changed = make(chan struct{})
		s.revision = 1
	})
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.prepare()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.key)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.transact)
	mux.HandleFunc("POST /v1/kv-lease", s.open)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	mux.HandleFunc("POST /failover", s.failover)
	h := &http.Server{
		Handler:           s.faulty(mux),
		ReadHeaderTimeout: time.Second,
	}
	stop := context.AfterFunc(ctx, func() { _ = h.Close() })
	defer stop()
	err := h.Serve(s.Listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "store")
}

// Set replaces the faults.
func (s *Server) Set(f Faults) {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns how many calls each path has had.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := make(map[string]int, len(s.calls))
	for k, v := range s.calls {
		r[k] = v
	}
	return r
}

// Put writes a key without a condition, as operators and databases do.
func (s *Server) Put(key string, value any) uint64 {
	s.prepare()
	b, ok := value.([]byte)
	if !ok {
		var err error
		if b, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, b, 0)
	s.wake()
	return s.revision
}

// Remove deletes a key.
func (s *Server) Remove(key string) {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	s.wake()
}

// Compact drops the history.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.revision
	s.history = nil
	s.wake()
}

// Get returns a key as it is.
func (s *Server) Get(key string) (Item, bool) {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

// faulty puts the faults before the calls.
func (s *Server) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		path, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
		s.calls[path]++
		s.mu.Unlock()
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		switch {
		case f.Silent:
			<-r.Context().Done()
		case f.Down || f.Turned[host]:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (s *Server) write(key string, value []byte, lease uint64) {
	s.revision++
	old, ok := s.items[key]
	i := Item{
		Key:      key,
		Value:    value,
		Revision: s.revision,
		Created:  s.revision,
		Lease:    lease,
	}
	if ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *Server) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, Item{
		Key:      key,
		Revision: s.revision,
		Deleted:  true,
	})
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		reply(w, http.StatusNotFound, struct{ CurrentRev uint64 }{s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		Item
		CurrentRev uint64
	}{i, s.revision})
}

// pageItems is the most items of one page.
const pageItems = 50

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []Item
	after := r.URL.Query().Get("after")
	for k, i := range s.items {
		if strings.HasPrefix(k, r.URL.Query().Get("Prefix")) && k > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageItems
	reply(w, http.StatusOK, struct {
		Items      []Item `json:"items"`
		HasMore    bool
		CurrentRev uint64
	}{items[:min(len(items), pageItems)], more, s.revision})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, gone := s.since(after, q.Get("Prefix"))
		changed, revision, deaf := s.changed, s.revision, s.faults.DeafWatches
		s.mu.Unlock()
		if gone && !deaf {
			w.WriteHeader(http.StatusGone)
			return
		}
		answer := struct {
			Events     []Item `json:"events"`
			CurrentRev uint64
		}{events, revision}
		if len(events) > 0 && !deaf {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			if !deaf {
				reply(w, http.StatusOK, answer)
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) since(after uint64, prefix string) (events []Item, gone bool) {
	if after < s.floor {
		return nil, true
	}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, false
}
