package elect

import (
	"time"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
)

const (
	// SilenceLimit is how long a database may go without an answer before it
	// counts as silent. It is longer than the longest poll of a healthy database.
	SilenceLimit = 450 * time.Millisecond
	// StallLimit is how long a primary may be ahead of a majority while that
	// majority makes no progress.
	StallLimit = 1500 * time.Millisecond
)

// View is the state of a group as one host knows it at one moment.
type View struct {
	// Databases are the names of all databases of the group.
	Databases []string
	// Readings are the newest known readings by database name.
	Readings map[string]coltsfootloft.Reading
	// Silence is the time since the last answer of each database; databases that
	// never answered are absent.
	Silence map[string]time.Duration
	// Leaving are the databases that the platform has announced to leave.
	Leaving map[string]bool
	// Stalled is how long the primary has been ahead of a majority that makes no
	// progress.
	Stalled time.Duration
}

// Need is the change that a group needs, as assessed from one view.
type Need struct {
	kind      NeedKind
	primary   string
	term      coltsfootloft.Term
	databases []string
}

// Kind is what has to be done.
func (n Need) Kind() NeedKind { return n.kind }

// Primary is the name of the primary that the need refers to, empty if there is
// none.
func (n Need) Primary() string { return n.primary }

// Term is the term of that primary.
func (n Need) Term() coltsfootloft.Term { return n.term }

// Databases are the replicas that must be told to follow (ReplicaNotFollowing), or those whose
// higher fence term makes them reject the primary (ReplicaFencedAbove).
func (n Need) Databases() []string { return n.databases }

// same reports whether n and o have the same kind, primary and term, so that n
// continues o.
func (n Need) same(o Need) bool {
	return n.kind == o.kind && n.primary == o.primary && n.term == o.term
}

// Assess returns the most urgent need of the group.
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
		return v.assessReplicas(need)
	}
	return need
}

// Progresses reports whether the view shows a primary that answered within the
// period fresh and whose writes reach a majority.
func (v View) Progresses(fresh time.Duration) bool {
	name, _, ok := quorum.Size(len(v.Databases)).Primary(v.Readings)
	if !ok {
		return false
	}
	silence, known := v.Silence[name]
	return known && silence <= fresh && v.Stalled <= StallLimit
}

// Silent returns the databases that have not answered within [SilenceLimit].
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
	silence, known := v.Silence[database]
	return !known || silence > SilenceLimit
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

// assessReplicas returns need with its kind set if some replicas cannot or do not
// follow the primary.
func (v View) assessReplicas(need Need) Need {
	var fencedAbove, notFollowing []string
	for _, d := range v.Databases {
		r := v.Readings[d]
		if d == need.primary || v.silent(d) {
			continue
		}
		switch {
		case r.Fence().Compare(need.term) > 0:
			fencedAbove = append(fencedAbove, d)
		case r.Fence() != need.term || r.Role() != coltsfootloft.Replica || r.Primary() != need.primary:
			notFollowing = append(notFollowing, d)
		}
	}
	switch {
	case len(notFollowing) > 0:
		need.kind = ReplicaNotFollowing
		need.databases = notFollowing
	case len(fencedAbove) > 0:
		need.kind = ReplicaFencedAbove
		need.databases = fencedAbove
	}
	return need
}

// NeedKind is the kind of a need.
type NeedKind uint8

// The kinds of need.
const (
	// Nothing: a primary makes progress and the reachable replicas follow it.
	Nothing NeedKind = iota
	// Isolated: this host cannot reach a majority and must not act on the group.
	Isolated
	// SilentPrimary: the primary doesn't answer.
	SilentPrimary
	// StalledPrimary: no majority receives the commits of the primary.
	StalledPrimary
	// NoPrimary: a majority is fenced above the last primary, or there was none.
	NoPrimary
	// LeavingPrimary: the platform has announced that the primary leaves.
	LeavingPrimary
	// ReplicaFencedAbove: replicas are fenced above the term of the primary.
	ReplicaFencedAbove
	// ReplicaNotFollowing: replicas follow another primary, or are at an older term.
	ReplicaNotFollowing
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
	case ReplicaFencedAbove:
		return "replica fenced above the primary"
	case ReplicaNotFollowing:
		return "replica does not follow"
	}
	return "invalid need"
}
