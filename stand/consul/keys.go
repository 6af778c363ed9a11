package consul

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	indexHeader = "X-Consul-Index"
	// maxValue is the maximum size of a value in bytes.
	maxValue = 1 << 20
	// defaultWait and maxWait are the default and the maximum time that a blocking
	// query waits.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
	// pastPollPeriod is the interval at which a blocking query reads a past state,
	// which changes as time passes.
	pastPollPeriod = 50 * time.Millisecond
)

func (s *Server) serveKey(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/v1/kv/")
	switch r.Method {
	case http.MethodGet:
		s.readKey(w, r, key)
	case http.MethodPut:
		s.putKey(w, r, key)
	case http.MethodDelete:
		s.deleteKey(w, r, key)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

func (s *Server) readKey(w http.ResponseWriter, r *http.Request, key string) {
	q := r.URL.Query()
	after, wait, err := blockingParams(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.admitRead(w, after > 0) {
		return
	}
	found, index := s.await(r.Context(), key, q.Has("recurse"), after, wait)
	w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
	if len(found) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, found)
}

// await reads the key or prefix once its index exceeds after, at the latest when wait
// has passed. It returns at once if after is 0.
func (s *Server) await(ctx context.Context, key string, recurse bool, after uint64, wait time.Duration) ([]*pair, uint64) {
	timer := s.clock().NewTimer(wait)
	defer timer.Stop()
	for {
		found, index, changed, past := s.lookUp(key, recurse)
		if after == 0 || index > after {
			return found, index
		}
		var poll <-chan time.Time
		if past {
			poll = s.clock().After(pastPollPeriod)
		}
		select {
		case <-changed:
		case <-poll:
		case <-timer.Chan():
			return found, index
		case <-ctx.Done():
			return found, index
		}
	}
}

// lookUp reads the key or prefix now, as it was [Faults].ReadLag ago. It returns the
// channel that is closed at the next change, and whether the state is a past one.
func (s *Server) lookUp(key string, recurse bool) (found []*pair, index uint64, changed <-chan struct{}, past bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endExpired()
	view := s.keys.space
	if s.faults.ReadLag > 0 {
		past = true
		view = s.keys.at(s.clock().Now().Add(-s.faults.ReadLag))
	}
	if recurse {
		found, index = view.list(key)
		return found, index, s.changed, past
	}
	p, index := view.get(key)
	if p != nil {
		found = append(found, p)
	}
	return found, index, s.changed, past
}

func (s *Server) putKey(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	q := r.URL.Query()
	o := kvOperation{
		Verb:  "set",
		Key:   key,
		Value: value,
	}
	switch {
	case q.Has("cas"):
		o.Verb = "cas"
	case q.Has("acquire"):
		o.Verb = "lock"
		o.Session = q.Get("acquire")
	case q.Has("release"):
		o.Verb = "unlock"
		o.Session = q.Get("release")
	}
	s.changeKey(w, q, o)
}

func (s *Server) deleteKey(w http.ResponseWriter, r *http.Request, key string) {
	q := r.URL.Query()
	o := kvOperation{
		Verb: "delete",
		Key:  key,
	}
	if q.Has("cas") {
		o.Verb = "delete-cas"
	}
	s.changeKey(w, q, o)
}

// changeKey runs one operation and answers whether it succeeded.
func (s *Server) changeKey(w http.ResponseWriter, q url.Values, o kvOperation) {
	index, err := uintParam(q, "cas")
	if err != nil {
		http.Error(w, "Invalid cas index", http.StatusBadRequest)
		return
	}
	o.Index = index
	if !s.admitWrite(w) {
		return
	}
	s.mu.Lock()
	s.endExpired()
	if o.Verb == "lock" && s.sessions[o.Session] == nil {
		s.mu.Unlock()
		http.Error(w, "invalid session", http.StatusInternalServerError)
		return
	}
	answer := s.commit([]kvOperation{o})
	s.mu.Unlock()
	if s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, len(answer.Errors) == 0)
}

// blockingParams returns the parameters of a blocking query: the index that its
// result must exceed, 0 if the query doesn't block, and the maximum time to wait.
func blockingParams(q url.Values) (after uint64, wait time.Duration, err error) {
	after, err = uintParam(q, "index")
	if err != nil {
		return 0, 0, errors.New("Invalid index")
	}
	wait = defaultWait
	if v := q.Get("wait"); v != "" {
		if wait, err = time.ParseDuration(v); err != nil {
			return 0, 0, errors.New("Invalid wait time")
		}
	}
	return after, min(wait, maxWait), nil
}

// uintParam returns a numeric parameter; 0 if it is missing.
func uintParam(q url.Values, name string) (uint64, error) {
	v := q.Get(name)
	if v == "" {
		return 0, nil
	}
	return strconv.ParseUint(v, 10, 64)
}
