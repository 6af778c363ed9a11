package plat

import (
	"net/http"
	"time"
)

// Counts is the number of calls since the start, by kind.
type Counts struct {
	// Reads are reads of keys, sessions and the host list that did not wait.
	Reads uint64 `json:"reads"`
	// Writes are changes of keys and sessions, transactions as one.
	Writes uint64 `json:"writes"`
	// Watches are blocking queries, counted once each.
	Watches uint64 `json:"watches"`
	// Refused are calls over the bounds, not counted elsewhere.
	Refused uint64 `json:"refused"`
}

// meter admits a bounded number of calls in each second.
type meter struct {
	second time.Time
	calls  int
}

func (m *meter) admit(now time.Time, bound int) bool {
	if now.Sub(m.second) >= time.Second {
		m.second = now
		m.calls = 0
	}
	m.calls++
	return bound <= 0 || m.calls <= bound
}

// Counts returns the calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

func (s *Server) admitRead(w http.ResponseWriter, watch bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reads.admit(s.clock().Now(), s.ReadsPerSecond) {
		return s.refuse(w)
	}
	if watch {
		s.counts.Watches++
		return true
	}
	s.counts.Reads++
	return true
}

func (s *Server) admitWrite(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writes.admit(s.clock().Now(), s.WritesPerSecond) {
		return s.refuse(w)
	}
	s.counts.Writes++
	return true
}

func (s *Server) refuse(w http.ResponseWriter) bool {
	s.counts.Refused++
	http.Error(w, "rate limit reached, try again later", http.StatusTooManyRequests)
	return false
}
