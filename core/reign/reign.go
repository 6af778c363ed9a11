// Package reign decides who the primary of a database group is and when it is to be
// replaced.
//
// A record in the platform's store names the primary of each group. While it is
// open, hosts send the primary work. A change of primary goes through these steps,
// each of which any host can take up again from the record:
//
//  1. The holder of the duty writes the record as closing. A host that sees it
//     sends the primary nothing more.
//  2. Every live host confirms that it has seen the record, or its lease has ended,
//     which ends its right to use any primary. Now nobody uses the old one.
//  3. The replica that has received most is promoted.
//  4. Once it calls itself primary the record is opened for it, in a new epoch.
package reign

import (
	"encoding/json"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// Record is what the store holds of one group.
type Record struct {
	// Epoch counts the openings of the record, from 1.
	Epoch uint64 `json:"epoch"`
	// Primary is the database's id.
	Primary string `json:"primary"`
	// Term is the term that the primary led when the record was opened.
	Term uint64 `json:"term"`
	// Start is the position in the log, as the count of records, at which the
	// primary began to lead in that term.
	Start uint64 `json:"start,omitempty"`
	// Closing is set while a change is under way.
	Closing bool `json:"closing,omitempty"`
	// Candidate is the database that has been, or may have been, told to take
	// over.
	Candidate string `json:"candidate,omitempty"`
}

// Encode returns the record as the store holds it.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return b
}

// Decode reads what Encode wrote.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, errors.Wrap(err, "record of a group")
	}
	return r, nil
}

// IsOpen reports whether hosts may use the primary.
func (r Record) IsOpen() bool { return r.Epoch > 0 && !r.Closing }

// Seen is what one database of a group answered, or that it did not.
type Seen struct {
	// ID is the database's.
	ID string
	// Answered is false if it can't be reached.
	Answered bool
	// Health is its answer.
	Health coltsfootloft.Health
	// Leaving databases are no candidates.
	Leaving bool
	// Near tells databases in the old primary's failure domain, which are chosen
	// last: what struck the primary may strike them.
	Near bool
}

// Leader returns the database that calls itself primary in the highest term.
func Leader(all []Seen) (Seen, bool) {
	var best Seen
	found := false
	for _, s := range all {
		if !s.Answered || s.Health.Role != coltsfootloft.Primary {
			continue
		}
		if !found || s.Health.Term > best.Health.Term {
			best = s
			found = true
		}
	}
	return best, found
}

// Successor returns the replica to promote in place of the record's primary: the one
// that has received most, so that the fewest acknowledged writes are lost. One whose
// log has parted from that of the record's term is the last choice: reads of that
// term have not seen what it would bring back.
func (r Record) Successor(all []Seen) (Seen, bool) {
	var best Seen
	found := false
	for _, s := range all {
		if s.ID == r.Primary || !s.Answered || s.Leaving {
			continue
		}
		if !found || r.better(s, best) {
			best = s
			found = true
		}
	}
	return best, found
}

// isParted reports whether a log goes on in an earlier term beyond the start of the
// record's.
func (r Record) isParted(s Seen) bool {
	p := s.Health.Received
	return p.Term().Counter() < r.Term && p.Offset() > r.Start
}

func (r Record) better(a, b Seen) bool {
	if parted := r.isParted(a); parted != r.isParted(b) {
		return !parted
	}
	if c := a.Health.Received.Compare(b.Health.Received); c != 0 {
		return c > 0
	}
	if a.Near != b.Near {
		return b.Near
	}
	return a.ID < b.ID
}

// Vote counts which hosts reach a database.
type Vote struct {
	reach int
	miss  int
}

// Add counts one host's answer.
func (v *Vote) Add(reaches bool) {
	if reaches {
		v.reach++
		return
	}
	v.miss++
}

// IsLost reports whether more hosts miss the database than reach it.
func (v *Vote) IsLost() bool { return v.miss > v.reach }
