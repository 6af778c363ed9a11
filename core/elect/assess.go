package elect

import (
	"time"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
)

const (
	// SilenceLimit is how long a database may not answer before it counts as
	// silent. It is above the longest poll of a healthy one.
	SilenceLimit = 450 * time.Millisecond
	// StallLimit is how long a primary may be ahead of a majority without any
	// progress of that majority.
	StallLimit = 1500 * time.Millisecond
)

// View is what one host knows of a group at one moment.
type View struct {
	// Databases are the names of the whole group.
	Databases []string
	// Readings are the newest known.
	Readings map[string]coltsfootloft.Reading
	// Silence is how long ago each database last answered; a missing one never
	// has.
	Silence map[string]time.Duration
	// Leaving are databases announced to leave.
	Leaving map[string]bool
	// Stalled is how long the primary has been ahead of a majority that makes no
	// progress.
	Stalled time.Duration
}

// Need is what a group needs.
type Need struct {
	kind      NeedKind
	primary   string
	term      coltsfootloft.Term
	databases []string
}

// Kind tells what is to be done.
func (n Need) Kind() NeedKind { return n.kind }

// Primary names the primary that the need is about, empty if there is none.
func (n Need) Primary() string { return n.primary }

// Term is the term of that primary.
func (n Need) Term() coltsfootloft.Term { return n.term }

// Databases are those that must follow, or that keep the primary from reaching
// them by a higher fence term.
func (n Need) Databases() []string { return n.databases }

// same reports whether n is the continuation of o.
func (n Need) same(o Need) bool {
	return n.kind == o.kind && n.primary == o.primary && n.term == o.term
}

// Assess tells what the group needs most.
func Assess(v View) Need {
	size := quorum.Size(len(v.Databases))
	if len(v.Databases)-len(v.Silent()) < size.Majority() {
		return Need{
			kind: Isolated,
		}
	}
	name, term, ok := size.Primary(v.Readings)
	need := Need{
		primary: name,
		term:    term,
	}
	switch {
	case !ok:
		need.kind = NoPrimary
	case v.silent(name):
		need.kind = SilentPrimary
	case v.Stalled > StallLimit:
		need.kind = StalledPrimary
	case v.Leaving[name] && v.hasSuccessor(name):
		need.kind = LeavingPrimary
	default:
		return v.replicas(need)
	}
	return need
}

// Progresses reports whether the view shows a primary that answers and whose
// writes a majority receives.
func (v View) Progresses(fresh time.Duration) bool {
	name, _, ok := quorum.Size(len(v.Databases)).Primary(v.Readings)
	if !ok {
		return false
	}
	silence, heard := v.Silence[name]
	return heard && silence <= fresh && v.Stalled <= StallLimit
}

// Silent returns the databases that don't answer.
func (v View) Silent() map[string]bool {
	m := make(map[string]bool)
	for _, d := range v.Databases {
		if v.silent(d) {
			m[d] = true
		}
	}
	return m
}

func (v View) silent(database string) bool {
	silence, heard := v.Silence[database]
	return !heard || silence > SilenceLimit
}

// hasSuccessor reports whether another database could take over.
func (v View) hasSuccessor(primary string) bool {
	for _, d := range v.Databases {
		if d != primary && !v.silent(d) && !v.Leaving[d] {
			return true
		}
	}
	return false
}

// replicas looks for databases that can't or don't follow the primary.
func (v View) replicas(need Need) Need {
	var outrun, astray []string
	for _, d := range v.Databases {
		r := v.Readings[d]
		if d == need.primary || v.silent(d) {
			continue
		}
		switch {
		case r.Fence().Compare(need.term) > 0:
			outrun = append(outrun, d)
		case r.Fence() != need.term || r.Role() != coltsfootloft.Replica || r.Primary() != need.primary:
			astray = append(astray, d)
		}
	}
	switch {
	case len(astray) > 0:
		need.kind = Astray
		need.databases = astray
	case len(outrun) > 0:
		need.kind = Outrun
		need.databases = outrun
	}
	return need
}

// NeedKind is what a group needs.
type NeedKind uint8

// The needs of a group.
const (
	// Nothing: a primary makes progress and the reachable replicas follow it.
	Nothing NeedKind = iota
	// Isolated: this host reaches no majority and must leave the group alone.
	Isolated
	// SilentPrimary: the primary doesn't answer.
	SilentPrimary
	// StalledPrimary: no majority receives what the primary commits.
	StalledPrimary
	// NoPrimary: a majority is fenced above the last primary, or there was none.
	NoPrimary
	// LeavingPrimary: the platform has announced that the primary leaves.
	LeavingPrimary
	// Outrun: replicas are fenced above the term of the primary.
	Outrun
	// Astray: replicas follow another primary, or an older term.
	Astray
)

// String returns the kind in words.
func (k NeedKind) String() string {
	switch k {
	case Nothing:
		return "nothing"
	case Isolated:
		return "no majority in reach"
	case SilentPrimary:
		return "primary silent"
	case StalledPrimary:
		return "primary makes no progress"
	case NoPrimary:
		return "no primary"
	case LeavingPrimary:
		return "primary leaving"
	case Outrun:
		return "replica fenced above the primary"
	case Astray:
		return "replica does not follow"
	}
	return "invalid need"
}
