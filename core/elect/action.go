package elect

import (
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// Action is one operation on a database that a campaign requests.
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

// Database is the name of the database to operate on.
func (a Action) Database() string { return a.database }

// Term is the term that the operation carries; a Read does not use it.
func (a Action) Term() coltsfootloft.Term { return a.term }

// Primary is the name of the database that a Follow makes the primary of the
// replica.
func (a Action) Primary() string { return a.primary }

// After is the delay before the operation.
func (a Action) After() time.Duration { return a.after }

// Answer is the result of an action.
type Answer struct {
	// Action is the action that ended.
	Action Action
	// Reading is valid if Err is nil.
	Reading coltsfootloft.Reading
	// Err is nil if the operation took effect. If it is not nil, the operation
	// may have taken effect all the same.
	Err error
}

// errOtherAnswer is the error of an answer whose reading can't have been taken after its action.
var errOtherAnswer = errors.New("the reading is not from after the operation")

// check fails if the reading shows that the action has not taken effect: it is that of an earlier
// operation, or another proposer has raised a higher term since.
func (a Answer) check() error {
	raised := a.Reading.Fence().Compare(a.Action.term)
	switch {
	case a.Action.kind == Read:
		return nil
	case raised > 0:
		return errors.Wrap(coltsfootloft.ErrFenced, "fenced since")
	case raised < 0, a.Action.kind == Promote && a.Reading.Role() != coltsfootloft.Primary:
		return errOtherAnswer
	}
	return nil
}

// ActionKind is the kind of operation on a database.
type ActionKind uint8

// The operations of a campaign.
const (
	// Read takes a reading.
	Read ActionKind = iota
	// Fence raises the fence term.
	Fence
	// Promote makes the database primary of the term.
	Promote
	// Follow makes the database a replica of the new primary.
	Follow
)

// Phase is a step of a campaign.
type Phase uint8

// The phases of a campaign.
const (
	// Survey reads every database first, so that a host that cannot reach a
	// majority fences nothing.
	Survey Phase = iota
	// Draining fences a leaving primary and waits for a replica to catch up.
	Draining
	// Fencing raises the fence term on every database.
	Fencing
	// Promoting makes the chosen database primary.
	Promoting
	// Following makes the others replicas; the group takes writes again.
	Following
	// Done: the chosen database is primary.
	Done
	// Failed: nothing was promoted, or the outcome is unknown.
	Failed
)

var limits = map[Phase]time.Duration{
	Survey:    surveyLimit,
	Draining:  drainLimit,
	Fencing:   fenceLimit,
	Promoting: promoteLimit,
	Following: followLimit,
}

// isFenced reports whether err is a refusal because of a higher fence term.
func isFenced(err error) bool { return errors.Is(err, coltsfootloft.ErrFenced) }

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
