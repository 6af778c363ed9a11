package consul

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// maxOperations is the maximum number of operations in a transaction.
const maxOperations = 128

// operation is one part of a transaction, as Consul encodes it.
type operation struct {
	KV *kvOperation
}

type kvOperation struct {
	Verb    string
	Key     string
	Value   []byte
	Flags   uint64
	Index   uint64
	Session string
}

type txnResult struct {
	KV *pair
}

type txnError struct {
	OpIndex int
	What    string
}

type txnAnswer struct {
	Results []txnResult
	Errors  []txnError
}

// commit runs all operations or, if one fails, none. The caller holds the lock.
func (s *Server) commit(ops []kvOperation) txnAnswer {
	now := s.clock().Now()
	trial := history{
		space: s.keys.at(now),
		undos: s.keys.undos,
	}
	trial.index = s.keys.index + 1
	answer := txnAnswer{}
	changed := false
	for i, o := range ops {
		p, wrote, err := s.runOperation(&trial, now, o)
		if err != nil {
			answer.Errors = append(answer.Errors, txnError{
				OpIndex: i,
				What:    err.Error(),
			})
			continue
		}
		changed = changed || wrote
		if p != nil {
			answer.Results = append(answer.Results, txnResult{KV: p})
		}
	}
	if len(answer.Errors) > 0 {
		answer.Results = nil
		return answer
	}
	if changed {
		s.keys = trial
		s.wake()
	}
	return answer
}

// runOperation runs one operation on h. It returns the pair of the answer, which may
// be nil, and whether h changed.
func (s *Server) runOperation(h *history, now time.Time, o kvOperation) (*pair, bool, error) {
	old := h.pairs[o.Key]
	next := pair{
		Key:   o.Key,
		Value: o.Value,
		Flags: o.Flags,
	}
	if old != nil {
		next.Session = old.Session
		next.LockIndex = old.LockIndex
	}
	switch o.Verb {
	case "set":
		return withoutValue(h.put(now, next)), true, nil
	case "cas":
		if modifyIndex(old) != o.Index {
			return nil, false, indexMismatch(o)
		}
		return withoutValue(h.put(now, next)), true, nil
	case "lock":
		return s.lock(h, now, o, next)
	case "unlock":
		if old == nil || old.Session != o.Session {
			return nil, false, errors.Errorf("key %q is not locked by session %q", o.Key, o.Session)
		}
		next.Session = ""
		return withoutValue(h.put(now, next)), true, nil
	case "delete":
		h.remove(now, o.Key)
		return nil, old != nil, nil
	case "delete-cas":
		if modifyIndex(old) != o.Index {
			return nil, false, indexMismatch(o)
		}
		h.remove(now, o.Key)
		return nil, old != nil, nil
	}
	return runCheck(old, o)
}

// runCheck runs an operation that changes nothing.
func runCheck(old *pair, o kvOperation) (*pair, bool, error) {
	switch o.Verb {
	case "get":
		if old == nil {
			return nil, false, errors.Errorf("key %q doesn't exist", o.Key)
		}
		return old, false, nil
	case "check-index":
		if old == nil || old.ModifyIndex != o.Index {
			return nil, false, indexMismatch(o)
		}
		return withoutValue(old), false, nil
	case "check-not-exists":
		if old != nil {
			return nil, false, errors.Errorf("key %q exists", o.Key)
		}
		return nil, false, nil
	case "check-session":
		if old == nil || old.Session != o.Session {
			return nil, false, errors.Errorf("failed session check for key %q", o.Key)
		}
		return withoutValue(old), false, nil
	}
	return nil, false, errors.Errorf("unknown KV verb %q", o.Verb)
}

// lock gives a session the lock on a key.
func (s *Server) lock(h *history, now time.Time, o kvOperation, next pair) (*pair, bool, error) {
	if s.sessions[o.Session] == nil {
		return nil, false, errors.Errorf("invalid session %q", o.Session)
	}
	if next.Session != "" && next.Session != o.Session {
		return nil, false, errors.Errorf("failed to lock key %q, lock is already held", o.Key)
	}
	if now.Before(s.lockDelays[o.Key]) {
		return nil, false, errors.Errorf("failed to lock key %q, due to lock delay", o.Key)
	}
	if next.Session == "" {
		next.LockIndex++
		next.Session = o.Session
	}
	return withoutValue(h.put(now, next)), true, nil
}

// modifyIndex returns the index of the last change of a pair; 0 if it doesn't exist.
func modifyIndex(p *pair) uint64 {
	if p == nil {
		return 0
	}
	return p.ModifyIndex
}

func indexMismatch(o kvOperation) error {
	return errors.Errorf("failed index check for key %q, index %d", o.Key, o.Index)
}

// withoutValue returns a copy of p without its value, as transactions return it.
func withoutValue(p *pair) *pair {
	b := *p
	b.Value = nil
	return &b
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var ops []operation
	if err := json.NewDecoder(r.Body).Decode(&ops); err != nil {
		http.Error(w, "Failed to parse body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if len(ops) > maxOperations {
		http.Error(w, "Transaction contains too many operations", http.StatusRequestEntityTooLarge)
		return
	}
	kv := make([]kvOperation, 0, len(ops))
	for _, o := range ops {
		if o.KV == nil {
			http.Error(w, "only KV operations are served", http.StatusBadRequest)
			return
		}
		if len(o.KV.Value) > maxValue {
			http.Error(w, "value is too large", http.StatusRequestEntityTooLarge)
			return
		}
		kv = append(kv, *o.KV)
	}
	if !s.admitWrite(w) {
		return
	}
	s.mu.Lock()
	s.endExpired()
	answer := s.commit(kv)
	index := s.keys.index
	s.mu.Unlock()
	if s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
	code := http.StatusOK
	if len(answer.Errors) > 0 {
		code = http.StatusConflict
	}
	writeJSON(w, code, answer)
}
