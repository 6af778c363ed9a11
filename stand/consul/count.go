package consul

import (
	"net/http"
	"time"
)

// Counts holds the numbers of calls since the start, by kind.
type Counts struct {
	// Reads counts non-blocking reads of keys, sessions and the host list.
	Reads uint64 `json:"reads"`
	// Writes counts changes of keys and sessions; a transaction counts as one.
	Writes uint64 `json:"writes"`
	// Watches counts blocking queries.
	Watches uint64 `json:"watches"`
	// Refused counts calls over the rate limits, which no other field counts.
	Refused uint64 `json:"refused"`
}

// limiter admits a limited number of calls in each second.
type limiter struct {
	start time.Time
	calls int
}

// admit counts a call and reports whether it is within the limit; 0 is no limit.
func (m *limiter) admit(now time.Time, limit int) bool {
	if now.Sub(m.start) >= time.Second {
		m.start = now
		m.calls = 0
	}
	m.calls++
	return limit <= 0 || m.calls <= limit
}

// Counts returns the numbers of calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

// admitRead counts a read or a watch. A call over the limit is answered 429, and
// admitRead returns false.
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

// admitWrite counts a write. A call over the limit is answered 429, and admitWrite
// returns false.
func (s *Server) admitWrite(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writes.admit(s.clock().Now(), s.WritesPerSecond) {
		return s.refuse(w)
	}
	s.counts.Writes++
	return true
}

// refuse answers a call over the limit and returns false. The caller holds the lock.
func (s *Server) refuse(w http.ResponseWriter) bool {
	s.counts.Refused++
	http.Error(w, "rate limit reached, try again later", http.StatusTooManyRequests)
	return false
}
