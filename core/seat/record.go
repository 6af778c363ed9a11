package seat

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Record is the stored value of a seat: its last acquisition, or its release.
type Record struct {
	host         string
	run          string
	wait         time.Duration
	takeoverWait time.Duration
	tokens       map[string]float64
}

// Host names the holder; empty if the seat was handed back.
func (r Record) Host() string { return r.host }

// Run identifies the run of the holder's process.
func (r Record) Run() string { return r.run }

// Wait is how long the holder itself had to wait before it used the seat.
func (r Record) Wait() time.Duration { return r.wait }

// TakeoverWait is how long the next holder must wait before it uses the seat.
func (r Record) TakeoverWait() time.Duration { return r.takeoverWait }

// Tokens returns the rate-limit tokens, by client account, that were left by a
// holder that handed the seat back.
func (r Record) Tokens() map[string]float64 { return r.tokens }

// Layout is how limits are divided into seats.
type Layout struct {
	// Seats is the number of seats of the domain.
	Seats int `json:"seats"`
	// Domains is the number of failure domains.
	Domains int `json:"domains"`
	// Changed reports whether the layout has been changed since it was first stored.
	Changed bool `json:"changed"`
}

type recordValue struct {
	Host                     string             `json:"host,omitempty"`
	Run                      string             `json:"run,omitempty"`
	WaitMilliseconds         int64              `json:"wait_ms,omitempty"`
	TakeoverWaitMilliseconds int64              `json:"settle_ms,omitempty"`
	Tokens                   map[string]float64 `json:"tokens,omitempty"`
}

func encode(r Record) []byte {
	b, err := json.Marshal(recordValue{
		Host:                     r.host,
		Run:                      r.run,
		WaitMilliseconds:         roundUp(r.wait),
		TakeoverWaitMilliseconds: roundUp(r.takeoverWait),
		Tokens:                   r.tokens,
	})
	if err != nil {
		panic(errors.Wrap(err, "seat: record can't be encoded"))
	}
	return b
}

// Bounds of the figures of a record: a wait is at most as long as a lease and a takeover, and the tokens of
// an account are of the size of its burst.
const (
	maxWait   = LeaseTime + TakeoverWait
	maxTokens = 1e12
)

// decode reads a record. One that is unreadable or has figures out of bounds counts as left by
// an unknown holder, so that the next one waits for the full TakeoverWait.
func decode(value []byte) Record {
	var v recordValue
	if err := json.Unmarshal(value, &v); err != nil || !v.isInBounds() {
		return Record{takeoverWait: TakeoverWait}
	}
	return Record{
		host:         v.Host,
		run:          v.Run,
		wait:         time.Duration(v.WaitMilliseconds) * time.Millisecond,
		takeoverWait: time.Duration(v.TakeoverWaitMilliseconds) * time.Millisecond,
		tokens:       v.Tokens,
	}
}

func (v recordValue) isInBounds() bool {
	for _, n := range v.Tokens {
		if n < 0 || n > maxTokens {
			return false
		}
	}
	most := maxWait.Milliseconds()
	return min(v.WaitMilliseconds, v.TakeoverWaitMilliseconds) >= 0 && max(v.WaitMilliseconds, v.TakeoverWaitMilliseconds) <= most
}

// roundUp returns d in milliseconds, rounded up.
func roundUp(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}
