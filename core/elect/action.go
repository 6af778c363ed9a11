package elect

import (
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// Action is one platform operation that a campaign asks for.
type Action struct {
	kind     ActionKind
	phase    Phase
	database string
	term     coltsfootloft.Term
	primary  string
	after    time.Duration
}

// Kind is the operation.
func (a Action) Kind() ActionKind { return a.kind }

// Database names what it is made on.
func (a Action) Database() string { return a.database }

// Term is what it carries, unless it is a Read.
func (a Action) Term() coltsfootloft.Term { return a.term }

// Primary names what a Follow follows.
func (a Action) Primary() string { return a.primary }

// After is how long to wait before the operation.
func (a Action) After() time.Duration { return a.after }

// Answer is how an action ended.
type Answer struct {
	// Action is the one that ended.
	Action Action
	// Reading is valid if Err is nil.
	Reading coltsfootloft.Reading
	// Err is nil if the operation took effect. Otherwise it may have.
	Err error
}

// ActionKind is a platform operation on a database.
type ActionKind uint8

// The operations of a campaign.
const (
	// Read takes a reading.
	Read ActionKind = iota
	// Fence raises the term.
	Fence
	// Promote makes the database primary of the term.
	Promote
	// Follow makes it a replica.
	Follow
)

// Phase is a step of a campaign.
type Phase uint8

// The phases of a campaign.
const (
	// Survey reads every database, so that nothing is fenced by a host that
	// doesn't reach a majority.
	Survey Phase = iota
	// Draining fences a leaving primary and waits for a replica to catch up.
	Draining
	// Fencing raises the term on every database.
	Fencing
	// Promoting makes the chosen database primary.
	Promoting
	// Following makes the others replicas; the group takes writes again.
	Following
	// Done: the chosen database is primary.
	Done
	// Failed: nothing was promoted, or it isn't known.
	Failed
)

var limits = map[Phase]time.Duration{
	Survey:    surveyLimit,
	Draining:  drainLimit,
	Fencing:   fenceLimit,
	Promoting: promoteLimit,
	Following: followLimit,
}

// outbid tells a refusal by term from other errors.
func outbid(err error) bool { return errors.Is(err, coltsfootloft.ErrFenced) }

// String returns the lower-case name of the operation.
func (k ActionKind) String() string {
	switch k {
	case Read:
		return "read"
	case Fence:
		return "fence"
	case Promote:
		return "promote"
	case Follow:
		return "follow"
	}
	return "invalid action"
}

// String returns the lower-case name of the phase.
func (p Phase) String() string {
	switch p {
	case Survey:
		return "survey"
	case Draining:
		return "draining"
	case Fencing:
		return "fencing"
	case Promoting:
		return "promoting"
	case Following:
		return "following"
	case Done:
		return "done"
	case Failed:
		return "failed"
	}
	return "invalid phase"
}
