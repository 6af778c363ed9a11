package consul

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Faults are the injected faults. The zero value injects none.
type Faults struct {
	// Delay is how long every call is delayed.
	Delay time.Duration
	// Down is whether, and how, the service is unreachable.
	Down Down
	// LoseAnswers is the number of changes, counted from now, that take effect but
	// whose answer is lost.
	LoseAnswers int
	// ReadLag is the age of the state that reads of keys return, at most two minutes.
	ReadLag time.Duration
	// ListLag is the age of the host list that reads return.
	ListLag time.Duration
}

// faultsJSON is the encoding of Faults, with durations in Go's notation.
type faultsJSON struct {
	Delay       string `json:"delay"`
	Down        string `json:"down"`
	LoseAnswers int    `json:"lose_answers"`
	Old         string `json:"old"`
	ListLag     string `json:"list_lag"`
}

// MarshalJSON encodes durations in Go's notation, for example "1.5s".
func (f Faults) MarshalJSON() ([]byte, error) {
	return json.Marshal(faultsJSON{
		Delay:       f.Delay.String(),
		Down:        f.Down.String(),
		LoseAnswers: f.LoseAnswers,
		Old:         f.ReadLag.String(),
		ListLag:     f.ListLag.String(),
	})
}

// UnmarshalJSON decodes the output of MarshalJSON. Fields that are missing keep
// their values.
func (f *Faults) UnmarshalJSON(b []byte) error {
	j := faultsJSON{
		Delay:       f.Delay.String(),
		Down:        f.Down.String(),
		LoseAnswers: f.LoseAnswers,
		Old:         f.ReadLag.String(),
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
		{&next.ReadLag, j.Old},
		{&next.ListLag, j.ListLag},
	} {
		if *d.to, err = time.ParseDuration(d.from); err != nil {
			return err
		}
	}
	*f = next
	return nil
}

// SetFaults replaces the faults. Calls that wait because of [Hold] proceed when Down
// changes to another value.
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

// Faults returns the present faults.
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
		// Deferred, so that the answer is sent before SetFaults closes connections.
		defer s.SetFaults(f)
	}
	writeJSON(w, http.StatusOK, f)
}

// loseAnswer reports whether the answer to the present change must be lost, and
// counts it.
func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// Down is whether, and how, the service is unreachable.
type Down uint8

// The values of Down.
const (
	// Up serves calls.
	Up Down = iota
	// Refuse refuses connections.
	Refuse
	// Hold accepts calls and leaves them waiting. When it ends, the calls are served
	// whose callers still wait or whose bodies have arrived.
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

// String returns the name in lower case.
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
