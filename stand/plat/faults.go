package plat

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Faults is how the service misbehaves. The zero value is good behaviour.
type Faults struct {
	// Delay holds every call this long.
	Delay time.Duration
	// Down is whether calls are served at all.
	Down Down
	// LoseAnswers is the number of coming changes that take effect and whose
	// answer is lost.
	LoseAnswers int
	// Old makes reads of keys answer the state of this long ago, at most two
	// minutes.
	Old time.Duration
	// ListLag is how far the host list is behind.
	ListLag time.Duration
}

// faultsJSON is Faults with durations in Go's notation.
type faultsJSON struct {
	Delay       string `json:"delay"`
	Down        string `json:"down"`
	LoseAnswers int    `json:"lose_answers"`
	Old         string `json:"old"`
	ListLag     string `json:"list_lag"`
}

// MarshalJSON writes durations as in "1.5s".
func (f Faults) MarshalJSON() ([]byte, error) {
	return json.Marshal(faultsJSON{
		Delay:       f.Delay.String(),
		Down:        f.Down.String(),
		LoseAnswers: f.LoseAnswers,
		Old:         f.Old.String(),
		ListLag:     f.ListLag.String(),
	})
}

// UnmarshalJSON reads what MarshalJSON writes; what is left out stays as it is.
func (f *Faults) UnmarshalJSON(b []byte) error {
	j := faultsJSON{
		Delay:       f.Delay.String(),
		Down:        f.Down.String(),
		LoseAnswers: f.LoseAnswers,
		Old:         f.Old.String(),
		ListLag:     f.ListLag.String(),
	}
	if err := json.Unmarshal(b, &j); err != nil {
		return err
	}
	next := Faults{LoseAnswers: j.LoseAnswers}
	var err error
	if next.Down, err = parseDown(j.Down); err != nil {
		return err
	}
	for _, d := range []struct {
		to   *time.Duration
		from string
	}{
		{&next.Delay, j.Delay},
		{&next.Old, j.Old},
		{&next.ListLag, j.ListLag},
	} {
		if *d.to, err = time.ParseDuration(d.from); err != nil {
			return err
		}
	}
	*f = next
	return nil
}

// SetFaults changes the misbehaviour from now on. Calls held by [Hold] go on
// when it ends.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.prepare()
	old := s.faults.Down
	s.faults = f
	s.wake()
	s.mu.Unlock()
	if old != f.Down {
		s.listenAgain(f.Down)
	}
}

// Faults returns the present misbehaviour.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	f := s.Faults()
	if r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		// The answer is sent before the listener may close.
		defer s.SetFaults(f)
	}
	writeJSON(w, http.StatusOK, f)
}

// loseAnswer reports whether the answer of this change is to be lost.
func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// Down is how the service is unreachable.
type Down uint8

// The ways of being unreachable.
const (
	// Up serves calls.
	Up Down = iota
	// Refuse refuses connections.
	Refuse
	// Hold accepts calls and leaves them waiting. Those whose caller is still
	// there, or whose body has arrived, are served when it ends.
	Hold
)

func parseDown(s string) (Down, error) {
	for _, d := range []Down{Up, Refuse, Hold} {
		if s == d.String() {
			return d, nil
		}
	}
	return Up, errors.Errorf("down %q: want up, refuse or hold", s)
}

// String returns the lower-case name.
func (d Down) String() string {
	switch d {
	case Up:
		return "up"
	case Refuse:
		return "refuse"
	case Hold:
		return "hold"
	}
	return "invalid"
}
