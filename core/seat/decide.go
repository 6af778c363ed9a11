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

// Step is a change of the store that a host should make.
type Step struct {
	kind    StepKind
	seat    int
	changes []coltsfootloft.Change
	settle  time.Duration
	fresh   bool
	tokens  map[string]float64
	session string
	version uint64
}

// Kind tells what the step does.
func (s Step) Kind() StepKind { return s.kind }

// Seat is the number of the seat; zero for a step that concerns the layout.
func (s Step) Seat() int { return s.seat }

// Changes are to be applied as one transaction; none for a Drain.
func (s Step) Changes() []coltsfootloft.Change { return s.changes }

// IsFirstTake reports that the seat has never been taken, so that its buckets are full.
func (s Step) IsFirstTake() bool { return s.fresh }

// Tokens are those that the last holder left.
func (s Step) Tokens() map[string]float64 { return s.tokens }

// Decide returns the next steps of this host, given the live hosts of its domain.
func (t *Table) Decide(now time.Time, alive []string) []Step {
	if !t.observed || t.session == "" {
		return nil
	}
	if t.layout != t.inForce() {
		return t.changeLayout()
	}
	var steps []Step
	assigned := Assign(t.Domain, t.Layout.Seats, alive)
	for n := 1; n <= t.Layout.Seats; n++ {
		s := t.seat(n)
		switch {
		case s.state == unlocked:
			steps = append(steps, t.relock(n, s))
		case s.state == locked && t.moves(now, s, assigned[n]):
			steps = append(steps, Step{kind: Drain, seat: n})
		case s.state == others && t.wants(now, n, s, assigned[n], alive):
			steps = append(steps, t.take(n, s))
		}
	}
	return steps
}

// releasable is how much of the lease must be left for a seat to be handed back:
// less means that renewals fail, and the release would too.
const releasable = LeaseTime - RenewEvery - time.Second

// moves reports whether a held seat has belonged to another host for long.
func (t *Table) moves(now time.Time, s *seat, owner string) bool {
	if t.leaving {
		return true
	}
	if owner == t.Host || owner == "" {
		s.movedSince = time.Time{}
		return false
	}
	if now.Before(s.keepUntil) || t.lease.leased.Sub(now) < releasable {
		return false
	}
	if s.movedSince.IsZero() {
		s.movedSince = now
	}
	return now.Sub(s.movedSince) >= MoveAfter
}

// wants reports whether this host should take a seat now.
func (t *Table) wants(now time.Time, n int, s *seat, owner string, alive []string) bool {
	if s.session != "" || t.leaving {
		return false
	}
	if owner == t.Host {
		return true
	}
	order := rank.Order(t.Domain+"/"+strconv.Itoa(n), alive)
	place := slices.Index(order, t.Host)
	if now.Sub(s.freeSince) < Patience+time.Duration(place)*time.Second {
		return false
	}
	s.keepUntil = now.Add(KeepAfter)
	return true
}

func (t *Table) take(n int, s *seat) Step {
	settle := s.record.settle
	if t.layout.Changed && s.version < t.layoutVersion {
		settle = LeaseTime
	}
	record := Record{
		host:   t.Host,
		run:    t.Run,
		wait:   settle,
		settle: Settle,
	}
	return Step{
		kind:    Take,
		seat:    n,
		session: t.session,
		settle:  settle,
		fresh:   s.version == 0 && !t.layout.Changed,
		tokens:  s.record.tokens,
		changes: []coltsfootloft.Change{
			coltsfootloft.Require(t.Prefix+"layout", t.layoutVersion),
			coltsfootloft.Put(t.key(n), encode(record), s.version),
			coltsfootloft.Put(t.lockKey(n), []byte(t.Host), s.lockVersion).Locked(t.session),
		},
	}
}

func (t *Table) relock(n int, s *seat) Step {
	return Step{
		kind:    Relock,
		seat:    n,
		session: t.session,
		version: s.taken,
		changes: []coltsfootloft.Change{
			coltsfootloft.Require(t.key(n), s.taken),
			coltsfootloft.Put(t.lockKey(n), []byte(t.Host), s.lockVersion).Locked(t.session),
		},
	}
}

// changeLayout stores the layout once no seat of the old one is locked, and first
// drains this host's own.
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
		free = free && s.session == "" && s.state == others
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

// decodeLayout returns a layout that differs from every wanted one for a value
// that can't be read.
func decodeLayout(value []byte) Layout {
	var l Layout
	if json.Unmarshal(value, &l) != nil {
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
	// Drain ends the use of a held seat; when nothing of it is in use any more,
	// it is to be released.
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
