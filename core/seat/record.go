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
	settle time.Duration
	tokens map[string]float64
}

// Host is the holder; empty when the seat was handed back.
func (r Record) Host() string { return r.host }

// Run names the run of the holder's process.
func (r Record) Run() string { return r.run }

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
	SettleMilliseconds int64              `json:"settle_ms,omitempty"`
	Tokens             map[string]float64 `json:"tokens,omitempty"`
}

func encode(r Record) []byte {
	b, err := json.Marshal(recordValue{
		Host:               r.host,
		Run:                r.run,
		SettleMilliseconds: r.settle.Milliseconds(),
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
		settle: time.Duration(v.SettleMilliseconds) * time.Millisecond,
		tokens: v.Tokens,
	}
}
