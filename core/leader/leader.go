// Package leader decides which database of a group is its primary and controls the
// failover to another one.
//
// A record in the platform's store names the primary of each group. While the
// record is open, hosts send requests to that primary. A failover takes these
// steps; any host can resume it at any step from the record:
//
//  1. The host that holds the failover duty marks the record as closing. A host
//     that sees the closing record sends the primary no further requests.
//  2. Every live host confirms that it has seen the closing record, or its lease
//     ends, which ends its right to use any primary. From then on no host uses
//     the old primary.
//  3. The replica that has received most is ordered to be promoted, after the record names it as
//     the candidate.
//  4. Once that replica reports that it is primary, and no other promotion that was ordered can take
//     effect any more, the record is opened for it in a new epoch.
package leader

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// Record is the entry of one group in the store.
type Record struct {
	// Epoch is the number of times that the record was opened, from 1.
	Epoch uint64 `json:"epoch"`
	// Primary is the id of the primary database.
	Primary string `json:"primary"`
	// Term is the term of the primary when the record was opened.
	Term uint64 `json:"term"`
	// Start is the position in the log, in records, at which the primary began
	// its term.
	Start uint64 `json:"start,omitempty"`
	// Closing is set while a failover is in progress.
	Closing bool `json:"closing,omitempty"`
	// Candidate is the database that has been, or may have been, told to become
	// primary last.
	Candidate string `json:"candidate,omitempty"`
	// Pending are the databases whose promotion has been ordered, or may have been, and
	// may still take effect, in the order of their last calls.
	Pending []string `json:"pending,omitempty"`
	// Calls is how many of these calls there may have been.
	Calls uint64 `json:"calls,omitempty"`
	// Demoted is the last primary that was replaced or is being replaced, if it was demoted before any database
	// was ordered to take its place. What it has committed, it committed before another one led.
	Demoted string `json:"demoted,omitempty"`
	// Members are the databases that may have acknowledged commits, with the times of their starts, where commits are
	// acknowledged only once replicas have received them.
	Members map[string]int64 `json:"members,omitempty"`
	// Era is the era of the store in which the record was written. In a later one it
	// may be older than what the store held before it was restored. 0 if the host that
	// wrote the record did not know eras.
	Era uint64 `json:"era,omitempty"`
}

// Supersedes reports whether r was written after q, by the steps of a failover.
func (r Record) Supersedes(q Record) bool {
	if r.Epoch != q.Epoch {
		return r.Epoch > q.Epoch
	}
	if r.Closing != q.Closing {
		return r.Closing
	}
	return r.calls() > q.calls()
}

// Encode returns the record in JSON, the form that the store holds.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return b
}

// maxFigure bounds the numbers of a record: JSON decoders represent all integers up to it.
const maxFigure = 1 << 53

// Decode parses the output of Encode. It fails if the value is no record that a host has written:
// without an epoch or a primary, or with a number above maxFigure.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, errors.Wrap(err, "record of a group")
	}
	if r.Epoch == 0 || r.Primary == "" || max(r.Epoch, r.Term, r.Start, r.Calls, r.Era) > maxFigure {
		return Record{}, errors.Errorf("record of a group with epoch %d, primary %q, term %d, start %d, era %d", r.Epoch, r.Primary, r.Term, r.Start, r.Era)
	}
	return r, nil
}

// IsOpen reports whether hosts may use the primary.
func (r Record) IsOpen() bool { return r.Epoch > 0 && !r.Closing }

// Status is the answer of one database of a group to a status request, or the lack
// of one.
type Status struct {
	// ID is the id of the database.
	ID string
	// Answered is false if the database cannot be reached.
	Answered bool
	// Health is the answer; valid if Answered is set.
	Health coltsfootloft.Health
	// Leaving databases still receive commits. They are candidates only for commits that
	// no other database may have.
	Leaving bool
	// Gone databases are not candidates: their entries have been missing for some time.
	Gone bool
	// Started is when the database started, in Unix milliseconds; 0 if that is not known.
	Started int64
	// Evacuated databases are no candidates. They still receive commits.
	Evacuated bool
	// SameDomain is set for databases in the failure domain of the old primary. They
	// are chosen last, because the fault that hit the primary may hit them too.
	SameDomain bool
	// Cold databases are slow. They are chosen only if no warm one has received as much.
	Cold bool
}

// FindPrimary returns the database that reports itself as primary with the highest
// term.
func FindPrimary(all []Status) (Status, bool) {
	var best Status
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

// Successor returns the replica to promote in place of the primary of the record:
// the one that has received most, so that the fewest acknowledged writes are
// lost. A database whose log has diverged from the log of the term of the record
// is the last choice: promoting it would bring back writes that reads of that
// term have not seen.
//
// If commits are acknowledged only once sync replicas have received them, none may be
// lost. A replica that leaves is chosen then if it has received more than the others, and
// none is chosen while so many replicas may have what it lacks that they alone may have a commit,
// unless it has all that the old primary has. A replica that is gone may return with its log, so it counts
// until the record no longer lists it: see [Record.UpdatedMembers].
func (r Record) Successor(all []Status, sync int) (Status, bool) {
	var best, old Status
	found := false
	for _, s := range all {
		switch {
		case s.ID == r.Primary:
			old = s
		case s.Gone, !s.Answered, s.Evacuated:
		case s.Leaving && sync == 0:
		case !found || r.isBetter(s, best):
			best = s
			found = true
		}
	}
	if found && sync > 0 && r.countAhead(all, best) >= sync {
		found = old.Answered && !r.hasRestarted(old) && best.hasAllOf(old)
	}
	return best, found
}

// countAhead returns how many replicas may have received a commit that best lacks. One that has restarted may
// have lost it and have been, with the old primary, the only one.
func (r Record) countAhead(all []Status, best Status) int {
	count := 0
	for _, s := range all {
		if s.ID == r.Primary || s.Gone && r.hasLeft(s) {
			continue
		}
		if !s.Answered || s.Gone || r.hasRestarted(s) || !best.hasAllOf(s) {
			count++
		}
	}
	return count
}

// hasLeft reports whether a database that is gone can't be the only one with an acknowledged commit.
func (r Record) hasLeft(s Status) bool {
	_, listed := r.Members[s.ID]
	return len(r.Members) > 0 && !listed
}

// hasRestarted reports whether a database has started since the record listed it.
func (r Record) hasRestarted(s Status) bool {
	started, listed := r.Members[s.ID]
	return listed && started != s.Started
}

// HasWarmer reports whether s is cold and a warm replica, which stays, may still catch up with it.
func (r Record) HasWarmer(all []Status, s Status) bool {
	return s.Cold && slices.ContainsFunc(all, func(o Status) bool {
		return o.ID != r.Primary && o.Answered && !o.Cold && !o.Gone && !o.Leaving && !o.Evacuated && !r.hasDiverged(o)
	})
}

// hasAllOf reports whether s has received all that t has.
func (s Status) hasAllOf(t Status) bool { return s.Health.Received.Compare(t.Health.Received) >= 0 }

// hasDiverged reports whether the log of the database continues in an earlier
// term beyond the start of the term of the record.
func (r Record) hasDiverged(s Status) bool {
	p := s.Health.Received
	return p.Term().Counter() < r.Term && p.Offset() > r.Start
}

// isBetter reports whether a is to be promoted in preference to b.
func (r Record) isBetter(a, b Status) bool {
	if diverged := r.hasDiverged(a); diverged != r.hasDiverged(b) {
		return !diverged
	}
	if c := a.Health.Received.Compare(b.Health.Received); c != 0 {
		return c > 0
	}
	if a.Leaving != b.Leaving {
		return b.Leaving
	}
	if a.Cold != b.Cold {
		return b.Cold
	}
	if a.SameDomain != b.SameDomain {
		return b.SameDomain
	}
	return a.ID < b.ID
}

// Vote counts the hosts that can and cannot reach a database.
type Vote struct {
	reachable   int
	unreachable int
}

// Add counts the answer of one host.
func (v *Vote) Add(reaches bool) {
	if reaches {
		v.reachable++
		return
	}
	v.unreachable++
}

// IsUnreachable reports whether more hosts fail to reach the database than reach it.
func (v *Vote) IsUnreachable() bool { return v.unreachable > v.reachable }
