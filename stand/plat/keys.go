package plat

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
	// maxValue is the largest value, in bytes.
	maxValue = 1 << 20
	// defaultWait and maxWait bound a blocking query.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
	// oldPoll is how often a blocking query looks at a past state.
	oldPoll = 50 * time.Millisecond
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
	after, wait, err := blocking(q)
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

// await reads the key or prefix once its index has passed after, or when the
// wait is over.
func (s *Server) await(ctx context.Context, key string, recurse bool, after uint64, wait time.Duration) ([]*pair, uint64) {
	timer := s.clock().NewTimer(wait)
	defer timer.Stop()
	for {
		found, index, changed, old := s.look(key, recurse)
		if after == 0 || index > after {
			return found, index
		}
		var poll <-chan time.Time
		if old {
			poll = s.clock().After(oldPoll)
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

func (s *Server) look(key string, recurse bool) (found []*pair, index uint64, changed <-chan struct{}, old bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	view := s.keys.space
	if s.faults.Old > 0 {
		old = true
		view = s.keys.at(s.clock().Now().Add(-s.faults.Old))
	}
	if recurse {
		found, index = view.list(key)
		return found, index, s.changed, old
	}
	p, index := view.get(key)
	if p != nil {
		found = append(found, p)
	}
	return found, index, s.changed, old
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

// changeKey runs one operation and answers true or false.
func (s *Server) changeKey(w http.ResponseWriter, q url.Values, o kvOperation) {
	index, err := number(q, "cas")
	if err != nil {
		http.Error(w, "Invalid cas index", http.StatusBadRequest)
		return
	}
	o.Index = index
	if !s.admitWrite(w) {
		return
	}
	s.mu.Lock()
	s.expire()
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

// blocking reads the index that a query waits past, 0 if it doesn't wait, and for
// how long.
func blocking(q url.Values) (after uint64, wait time.Duration, err error) {
	after, err = number(q, "index")
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

func number(q url.Values, name string) (uint64, error) {
	v := q.Get(name)
	if v == "" {
		return 0, nil
	}
	return strconv.ParseUint(v, 10, 64)
}
