// Package keyval is a test double of the users' platform. It offers the platform's
// key-value store, with leases, watches and conditional transactions, and the call
// that promotes a database. It speaks HTTP with the platform's own names and keeps
// its state in memory.
//
// Every change of a key takes the next revision of the store. A watch returns the
// changes after a given revision; it is answered 410 if [Server.Compact] has dropped
// them from the history, or if the store does not have that revision. [Server.Restore]
// returns the store to an earlier state, and begins a new era.
//
// Tests inject faults with [Faults]: the store can refuse all calls or those of some
// hosts, leave calls without an answer, lose answers to changes, apply changes late,
// and stall watches.
package keyval

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Down refuses every call with 503.
	Down bool
	// NoAnswers leaves every call unanswered until its caller gives up.
	NoAnswers bool
	// RefusedHosts holds the IPs of hosts whose calls are refused with 503.
	RefusedHosts map[string]bool
	// BlindHosts holds the IPs of hosts whose watches and listings are left unanswered.
	BlindHosts map[string]bool
	// LoseAnswers applies changes but closes the connection without an answer.
	LoseAnswers bool
	// ApplyDelay is how long changes whose answer is lost are delayed.
	ApplyDelay time.Duration
	// StallWatches leaves watches unanswered, whatever changes.
	StallWatches bool
	// Delay is how long each call waits before it is handled.
	Delay time.Duration
}

// Item is one version of a key, as it is encoded in answers.
type Item struct {
	Key   string
	Value []byte
	// Revision is the revision of the last change of the key.
	Revision uint64
	// Created is the revision at which the key was created.
	Created uint64
	// Lease is the lease that the key belongs to; 0 if none.
	Lease uint64
	// Deleted marks the removal of the key in the events of a watch.
	Deleted bool `json:",omitempty"`
}

// Server is the store. Its exported fields are set before Run.
type Server struct {
	// Listener accepts the connections.
	Listener net.Listener
	// Promote promotes a database of group on behalf of holder, with a fencing
	// token, and returns the HTTP status of the answer. Promotions are answered
	// 400 if it is nil.
	Promote func(group, database, holder string, fence uint64) int
	// Rewrite returns the value that is kept when a transaction writes value under key. Values are
	// kept as they are if it is nil.
	Rewrite func(key string, value []byte) []byte

	mu        sync.Mutex
	faults    Faults
	revision  uint64
	compacted uint64 // the history holds only changes after this revision
	items     map[string]Item
	history   []Item
	era       uint64 // rises with every Restore
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{}
	calls     map[string]int
	once      sync.Once
}

// firstLease is the number before that of the first lease. Numbers of leases are large in the
// users' store.
const firstLease = 1 << 46

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// prepare makes the zero value usable.
func (s *Server) prepare() {
	s.once.Do(func() {
		s.items = make(map[string]Item)
		s.leases = make(map[uint64]*lease)
		s.calls = make(map[string]int)
		s.changed = make(chan struct{})
		s.revision = 1
		s.era = 1
		s.lastLease = firstLease
	})
}

// Run serves until ctx ends, and then returns nil. It returns an error if serving
// fails before that.
func (s *Server) Run(ctx context.Context) error {
	s.prepare()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.getKey)
	mux.HandleFunc("GET /v1/kv-range", s.listKeys)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.transact)
	mux.HandleFunc("POST /v1/kv-lease", s.openLease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.renewLease)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.endLease)
	mux.HandleFunc("POST /failover", s.failover)
	h := &http.Server{
		Handler:           s.withFaults(mux),
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

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls by the first element of the path after /v1/.
// Calls of other paths are counted under the empty string.
func (s *Server) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := make(map[string]int, len(s.calls))
	for k, v := range s.calls {
		r[k] = v
	}
	return r
}

// Put writes a key unconditionally, as operators and databases do, and returns the
// new revision. A value other than []byte is encoded as JSON.
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
	s.wakeWatches()
	return s.revision
}

// Remove deletes a key unconditionally.
func (s *Server) Remove(key string) {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	s.wakeWatches()
}

// Compact drops the history up to the present revision.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = s.revision
	s.history = nil
	s.wakeWatches()
}

// Get returns the present version of a key, and whether the key exists.
func (s *Server) Get(key string) (Item, bool) {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

// Keys returns the keys that exist, sorted.
func (s *Server) Keys() []string {
	s.prepare()
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.items))
}

// withFaults counts the calls and applies the faults that concern all of them.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		path, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/"), "/")
		s.calls[path]++
		era := s.era
		s.mu.Unlock()
		time.Sleep(f.Delay)
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		switch {
		case f.NoAnswers, f.BlindHosts[host] && (path == "kv-watch" || path == "kv-range"):
			<-r.Context().Done()
		case f.Down || f.RefusedHosts[host]:
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			w.Header().Set(eraHeader, strconv.FormatUint(era, 10))
			next.ServeHTTP(w, r)
		}
	})
}

// write stores a key at the next revision. The caller holds the lock.
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

// remove deletes a key at the next revision. The caller holds the lock.
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

// wakeWatches lets waiting watches look for changes. The caller holds the lock.
func (s *Server) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Server) getKey(w http.ResponseWriter, r *http.Request) {
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

// pageItems is the maximum number of items in one page of a listing.
const pageItems = 50

func (s *Server) listKeys(w http.ResponseWriter, r *http.Request) {
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
		events, compacted := s.eventsAfter(after, q.Get("Prefix"))
		w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
		changed, revision, stalled := s.changed, s.revision, s.faults.StallWatches
		s.mu.Unlock()
		if compacted && !stalled {
			w.WriteHeader(http.StatusGone)
			return
		}
		answer := struct {
			Events     []Item `json:"events"`
			CurrentRev uint64
		}{events, revision}
		if len(events) > 0 && !stalled {
			reply(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			if !stalled {
				reply(w, http.StatusOK, answer)
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// eventsAfter returns the changes under prefix after a revision, or compacted if
// the history no longer holds all of them. The caller holds the lock.
func (s *Server) eventsAfter(after uint64, prefix string) (events []Item, compacted bool) {
	if after < s.compacted || after > s.revision {
		return nil, true
	}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, false
}
