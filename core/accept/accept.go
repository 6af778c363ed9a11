// Package accept decides whether an answer of a primary may be passed on while the primary is being replaced.
//
// The steward has another database promoted once every host has confirmed the closing record of the group, or has
// lost its lease. So until this host has confirmed it, no other database can have taken the lead before the answer
// was made. After that, no host can tell how soon the promotion takes effect, and the old primary may go on committing
// where it can't be demoted. If it was demoted before any promotion was ordered, what it answers as committed
// was committed before another one led, however late the answer arrives. That holds for writes only: a read may
// run on it later.
package accept

import (
	"sync"

	"coltsfootloft/core/leader"
)

// Verdict says what may be done with an answer.
type Verdict int

const (
	// None is passed on: another database may have led when the answer was made.
	None Verdict = iota
	// Undecided means that a later record will show whether the primary was demoted in time.
	Undecided
	// Writes are passed on, and commits of writes.
	Writes
	// All answers are passed on.
	All
)

// Answers decides for the answers that reach one host. The zero value is ready to use. It is safe for
// concurrent use.
type Answers struct {
	mu        sync.Mutex
	confirmed map[string]uint64 // epoch of the last closing record, by group
}

// Confirm notes that this host is about to confirm the closing record of a group.
func (a *Answers) Confirm(group string, epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.confirmed == nil {
		a.confirmed = make(map[string]uint64)
	}
	a.confirmed[group] = max(a.confirmed[group], epoch)
}

// Source is where an answer comes from.
type Source struct {
	// Group is the database's group.
	Group string
	// Primary is the database, to which the statement was sent as the primary of Epoch.
	Primary string
	Epoch   uint64
}

// Judge decides on an answer that has arrived before, under the newest record r of the group that the host
// knows. unasked is set if the host registered after that record was written, so that its confirmation is not
// awaited.
func (a *Answers) Judge(s Source, r leader.Record, unasked bool) Verdict {
	switch {
	case r.Demoted == s.Primary && (r.Epoch == s.Epoch || r.Epoch == s.Epoch+1):
		return Writes
	case r.Epoch != s.Epoch || r.Primary != s.Primary:
		return None
	case !r.Closing:
		return All
	case r.Candidate != "":
		return None
	case unasked || a.hasConfirmed(s):
		return Undecided
	}
	return All
}

func (a *Answers) hasConfirmed(s Source) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.confirmed[s.Group] >= s.Epoch
}
