// Package events keeps the latest decisions of a host in memory, so that an operator
// can find out why a statement was routed, delayed, refused or retried, and why a
// primary changed.
//
// A [Journal] has one ring buffer of events for each [Kind], so a burst of routing
// decisions never evicts the promotion that explains them. Nothing is written to
// disk, and an event contains no SQL, no value and no key.
package events

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// DefaultSize is the number of events kept of each kind. An event takes about 160
// bytes, not counting its strings.
const DefaultSize = 1024

// Event is one decision.
type Event struct {
	sequence uint64
	at       time.Time
	kind     Kind
	session  uint64
	trace    string
	account  string
	group    string
	database string
	reason   string
}

// NewEvent returns the event of a decision with its reason, a few words that contain no
// SQL and no value.
func NewEvent(kind Kind, reason string) Event {
	return Event{
		kind:   kind,
		reason: reason,
	}
}

// Session returns e with the id of a session of this host; 0 for none.
func (e Event) Session(id uint64) Event {
	e.session = id
	return e
}

// Trace returns e with the trace id in hexadecimal.
func (e Event) Trace(id string) Event {
	e.trace = id
	return e
}

// Account returns e with the client account, as team/account.
func (e Event) Account(name string) Event {
	e.account = name
	return e
}

// Group returns e with the database group.
func (e Event) Group(name string) Event {
	e.group = name
	return e
}

// Database returns e with the database that was chosen or affected.
func (e Event) Database(name string) Event {
	e.database = name
	return e
}

// View is an event as it is shown to operators, in JSON.
type View struct {
	// Sequence orders the events of one host.
	Sequence uint64 `json:"sequence"`
	// At is the time of the decision.
	At time.Time `json:"at"`
	// Kind is the lower-case name of the kind.
	Kind string `json:"kind"`
	// Session is the id of the session on this host, 0 for none.
	Session uint64 `json:"session,omitempty"`
	// Trace is the trace id in hexadecimal.
	Trace string `json:"trace,omitempty"`
	// Account is the client account as team/account.
	Account string `json:"account,omitempty"`
	// Group is the database group.
	Group string `json:"group,omitempty"`
	// Database is the database that was chosen or affected.
	Database string `json:"database,omitempty"`
	// Reason says why, in a few words.
	Reason string `json:"reason"`
}

// Query selects events. The zero Query selects all.
type Query struct {
	// Kind is the lower-case name of a kind; empty for all.
	Kind string
	// Session is a session id; 0 for all.
	Session uint64
	// Trace is a trace id; empty for all.
	Trace string
	// Account is a client account; empty for all.
	Account string
	// Group is a database group; empty for all.
	Group string
	// Limit is the maximum number of events, the newest ones; 0 for no limit.
	Limit int
}

// Journal keeps the newest events of each kind. Its zero value is ready for use,
// and a nil Journal drops every event.
type Journal struct {
	// Size is the number of events kept of each kind; DefaultSize if 0. It must be
	// set before the first event.
	Size int
	// Clock is the source of event times; the system clock if nil.
	Clock clockwork.Clock

	mu       sync.Mutex
	sequence uint64
	rings    [kindCount]ring
}

// ring holds the newest events of one kind. Its slice grows up to the size and
// then wraps around.
type ring struct {
	events []Event
	next   int
}

// Record adds an event and sets its time and sequence number. Once there are Size events
// of its kind, it replaces the oldest of them.
func (j *Journal) Record(e Event) {
	if j == nil || e.kind >= kindCount {
		return
	}
	e.at = j.now()
	size := cmp.Or(j.Size, DefaultSize)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.sequence++
	e.sequence = j.sequence
	r := &j.rings[e.kind]
	if len(r.events) < size {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % size
}

// Find returns the events that match q, oldest first.
func (j *Journal) Find(q Query) []View {
	if j == nil {
		return nil
	}
	var found []View
	j.mu.Lock()
	for i := range j.rings {
		for _, e := range j.rings[i].events {
			if q.matches(e) {
				found = append(found, e.view())
			}
		}
	}
	j.mu.Unlock()
	slices.SortFunc(found, func(a, b View) int { return cmp.Compare(a.Sequence, b.Sequence) })
	if q.Limit > 0 && len(found) > q.Limit {
		found = found[len(found)-q.Limit:]
	}
	return found
}

func (j *Journal) now() time.Time {
	if j.Clock == nil {
		return time.Now()
	}
	return j.Clock.Now()
}

func (q Query) matches(e Event) bool {
	return (q.Kind == "" || q.Kind == e.kind.String()) &&
		(q.Session == 0 || q.Session == e.session) &&
		(q.Trace == "" || q.Trace == e.trace) &&
		(q.Account == "" || q.Account == e.account) &&
		(q.Group == "" || q.Group == e.group)
}

func (e Event) view() View {
	return View{
		Sequence: e.sequence,
		At:       e.at,
		Kind:     e.kind.String(),
		Session:  e.session,
		Trace:    e.trace,
		Account:  e.account,
		Group:    e.group,
		Database: e.database,
		Reason:   e.reason,
	}
}

// Kind is the kind of a decision.
type Kind uint8

// The kinds of decision.
const (
	// Routed: a database was chosen for a statement.
	Routed Kind = iota
	// Held: a statement or its answer was delayed.
	Held
	// Refused: a statement was not run, or its outcome is unknown.
	Refused
	// Repeated: a statement was retried.
	Repeated
	// Promoted: a primary was proposed, promoted or replaced.
	Promoted
	// Shared: a seat or a part of a limit was taken, lent or given back.
	Shared
	// Configured: new settings or keys took effect.
	Configured
	kindCount
)

// KindNames returns the names of all kinds.
func KindNames() []string {
	r := make([]string, 0, kindCount)
	for k := range kindCount {
		r = append(r, k.String())
	}
	return r
}

// String returns the lower-case name of the kind.
func (k Kind) String() string {
	switch k {
	case Routed:
		return "routed"
	case Held:
		return "held"
	case Refused:
		return "refused"
	case Repeated:
		return "repeated"
	case Promoted:
		return "promoted"
	case Shared:
		return "shared"
	case Configured:
		return "configured"
	case kindCount:
	}
	return "invalid kind"
}
