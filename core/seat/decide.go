package seat

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/rank"
)

// Step is an action that a host should take, usually a transaction on the store.
type Step struct {
	kind         StepKind
	seat         int
	changes      []coltsfootloft.Change
	takeoverWait time.Duration
	fresh        bool
	tokens       map[string]float64
	session      string
	version      uint64
}

// Kind returns what the step does.
func (s Step) Kind() StepKind { return s.kind }

// Seat is the number of the seat, from 1; 0 for a change of the layout.
func (s Step) Seat() int { return s.seat }

// Changes must be applied as one transaction. A Drain has none.
func (s Step) Changes() []coltsfootloft.Change { return s.changes }

// IsFirstTake reports whether the seat has never been taken, so that its buckets are full.
func (s Step) IsFirstTake() bool { return s.fresh }

// Tokens returns the tokens that the last holder left, by client account.
func (s Step) Tokens() map[string]float64 { return s.tokens }

// Decide returns the next steps of this host, given the live hosts of its failure
// domain. It returns none without a session or an up-to-date list of the seats.
func (t *Table) Decide(now time.Time, alive []string) []Step {
	if !t.observed || t.session == "" {
		return nil
	}
	if t.layout != t.targetLayout() {
		return t.changeLayout()
	}
	var steps []Step
	assigned := Assign(t.Domain, t.Layout.Seats, alive)
	for n := 1; n <= t.Layout.Seats; n++ {
		s := t.seat(n)
		switch {
		case s.state == unlocked:
			steps = append(steps, t.relock(n, s))
		case s.state == locked && t.shouldHandBack(now, s, assigned[n]):
			steps = append(steps, Step{kind: Drain, seat: n})
		case s.state == notHeld && s.session == t.session && !t.leaving:
			steps = append(steps, t.retake(n, s))
		case s.state == notHeld && t.shouldTake(now, n, s, assigned[n], alive):
			steps = append(steps, t.take(n, s))
		}
	}
	return steps
}

// minReleaseLease is how much of the lease must be left for a seat to be handed
// back: less means that renewals fail, and the release would too.
const minReleaseLease = LeaseTime - RenewEvery - time.Second

// shouldHandBack reports whether a held seat has been assigned to another host for
// ReassignAfter, or this host is leaving.
func (t *Table) shouldHandBack(now time.Time, s *seat, assignee string) bool {
	if t.leaving {
		return true
	}
	if assignee == t.Host || assignee == "" {
		s.reassignedSince = time.Time{}
		return false
	}
	if now.Before(s.keepUntil) || t.lease.sessionUntil.Sub(now) < minReleaseLease {
		return false
	}
	if s.reassignedSince.IsZero() {
		s.reassignedSince = now
	}
	return now.Sub(s.reassignedSince) >= ReassignAfter
}

// shouldTake reports whether this host should take a free seat now. Hosts that it
// is not assigned to wait one second longer for each place in the rendezvous order.
func (t *Table) shouldTake(now time.Time, n int, s *seat, assignee string, alive []string) bool {
	if s.session != "" || t.leaving {
		return false
	}
	if assignee == t.Host {
		return true
	}
	order := rank.Order(t.Domain+"/"+strconv.Itoa(n), alive)
	position := slices.Index(order, t.Host)
	if now.Sub(s.freeSince) < AssigneeGrace+time.Duration(position)*time.Second {
		return false
	}
	s.keepUntil = now.Add(MinTakeoverHold)
	return true
}

func (t *Table) take(n int, s *seat) Step {
	takeoverWait := s.record.takeoverWait
	if t.layout.Changed && s.version < t.layoutVersion {
		takeoverWait = LeaseTime
	}
	record := Record{
		host:         t.Host,
		run:          t.Run,
		wait:         takeoverWait,
		takeoverWait: TakeoverWait,
	}
	return Step{
		kind:         Take,
		seat:         n,
		session:      t.session,
		takeoverWait: takeoverWait,
		fresh:        !s.known && !t.layout.Changed,
		tokens:       s.record.tokens,
		changes: []coltsfootloft.Change{
			coltsfootloft.Require(t.Prefix+"layout", t.layoutVersion),
			coltsfootloft.Put(t.key(n), encode(record), s.version),
			coltsfootloft.Put(t.lockKey(n), []byte(t.Host), s.lockVersion).WithLock(t.session),
		},
	}
}

// retake takes a seat again whose lock is this host's, but whose record was overwritten by another writer.
func (t *Table) retake(n int, s *seat) Step {
	step := t.take(n, s)
	step.takeoverWait = max(step.takeoverWait, TakeoverWait)
	step.fresh = false
	step.tokens = nil
	return step
}

func (t *Table) relock(n int, s *seat) Step {
	return Step{
		kind:    Relock,
		seat:    n,
		session: t.session,
		version: s.acquired,
		changes: []coltsfootloft.Change{
			coltsfootloft.Require(t.key(n), s.acquired),
			coltsfootloft.Put(t.lockKey(n), []byte(t.Host), s.lockVersion).WithLock(t.session),
		},
	}
}

// changeLayout drains this host's seats, and stores the new layout once no seat is
// locked.
func (t *Table) changeLayout() []Step {
	var steps []Step
	next := t.Layout
	next.Changed = t.layoutVersion != 0
	changes := []coltsfootloft.Change{
		coltsfootloft.Put(t.Prefix+"layout", encodeLayout(next), t.layoutVersion),
	}
	free := true
	for n := 1; n <= max(t.layout.Seats, t.Layout.Seats); n++ {
		s := t.seat(n)
		if s.held() {
			steps = append(steps, Step{kind: Drain, seat: n})
		}
		free = free && s.session == "" && s.state == notHeld
		changes = append(changes, coltsfootloft.Require(t.lockKey(n), s.lockVersion))
	}
	if free {
		steps = append(steps, Step{kind: ChangeLayout, changes: changes})
	}
	return steps
}

func (t *Table) key(n int) string { return t.Prefix + strconv.Itoa(n) }

func (t *Table) lockKey(n int) string { return t.key(n) + "/lock" }

func encodeLayout(l Layout) []byte {
	b, err := json.Marshal(l)
	if err != nil {
		panic(errors.Wrap(err, "seat: layout can't be encoded"))
	}
	return b
}

// MaxSeats is the largest number of seats of a failure domain, as in the settings.
const MaxSeats = 1024

// decodeLayout reads a layout. An unreadable value, or one with more seats than MaxSeats, gives the
// zero Layout, which differs from every layout in the settings.
func decodeLayout(value []byte) Layout {
	var l Layout
	if json.Unmarshal(value, &l) != nil || l.Seats < 0 || l.Seats > MaxSeats {
		return Layout{}
	}
	return l
}

// StepKind is what a [Step] does.
type StepKind uint8

// The kinds of step.
const (
	// Take takes a free seat.
	Take StepKind = iota
	// Relock locks a held seat again under a new session.
	Relock
	// Drain ends the use of a held seat, which is to be released once no part of
	// its limits is in use.
	Drain
	// ChangeLayout stores the layout that the settings ask for.
	ChangeLayout
)

// String returns the lower-case name of the kind.
func (k StepKind) String() string {
	switch k {
	case Take:
		return "take"
	case Relock:
		return "relock"
	case Drain:
		return "drain"
	case ChangeLayout:
		return "change layout"
	}
	return "invalid step"
}
