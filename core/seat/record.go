package seat

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Record is the value of a seat's record.
type Record struct {
	host   string
	run    string
	wait   time.Duration
	settle time.Duration
	tokens map[string]float64
}

// Host is the holder; empty when the seat was handed back.
func (r Record) Host() string { return r.host }

// Run names the run of the holder's process.
func (r Record) Run() string { return r.run }

// Wait is how long the holder itself had to wait after it took the seat.
func (r Record) Wait() time.Duration { return r.wait }

// Settle is how long the next holder must wait after it has taken the seat.
func (r Record) Settle() time.Duration { return r.settle }

// Tokens are left by a holder that handed the seat back, by client account.
func (r Record) Tokens() map[string]float64 { return r.tokens }

// Layout is how parts are divided.
type Layout struct {
	// Seats is the number of seats of the domain.
	Seats int `json:"seats"`
	// Domains is the number of failure domains.
	Domains int `json:"domains"`
	// Changed is set once the layout has ever been another.
	Changed bool `json:"changed"`
}

type recordValue struct {
	Host               string             `json:"host,omitempty"`
	Run                string             `json:"run,omitempty"`
	WaitMilliseconds   int64              `json:"wait_ms,omitempty"`
	SettleMilliseconds int64              `json:"settle_ms,omitempty"`
	Tokens             map[string]float64 `json:"tokens,omitempty"`
}

func encode(r Record) []byte {
	b, err := json.Marshal(recordValue{
		Host:               r.host,
		Run:                r.run,
		WaitMilliseconds:   roundUp(r.wait),
		SettleMilliseconds: roundUp(r.settle),
		Tokens:             r.tokens,
	})
	if err != nil {
		panic(errors.Wrap(err, "seat: record can't be encoded"))
	}
	return b
}

// decode reads a record. One that can't be read counts as held by nobody known.
func decode(value []byte) Record {
	var v recordValue
	if err := json.Unmarshal(value, &v); err != nil {
		return Record{settle: Settle}
	}
	return Record{
		host:   v.Host,
		run:    v.Run,
		wait:   time.Duration(v.WaitMilliseconds) * time.Millisecond,
		settle: time.Duration(v.SettleMilliseconds) * time.Millisecond,
		tokens: v.Tokens,
	}
}

// roundUp returns whole milliseconds.
func roundUp(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}
