// Package route chooses the database that a request runs on.
//
// A request that may write goes to the primary. A read goes to a replica whose
// applied position covers the session's token, preferably one in the host's own
// failure domain. If no replica has caught up, the read waits a short time for the
// first one that does, and then goes to the primary if that covers the token; an old
// primary that is cut off may not. If the route limits the age of the data that its
// reads return, the chosen database must also be known to be within that limit.
package route

import (
	"cmp"
	"time"

	"coltsfootloft"
)

// Candidate is the known state of one database of the group.
type Candidate struct {
	// Upstream is the database.
	Upstream coltsfootloft.Upstream
	// Reading is the newest known reading of its role and positions.
	Reading coltsfootloft.Reading
	// IsPrimary reports whether it is the primary of the group's highest known term.
	IsPrimary bool
	// Leaving reports whether it is being removed and takes no new requests.
	Leaving bool
	// Age is an upper bound on the age of the data that it returns, valid if AgeKnown.
	Age time.Duration
	// AgeKnown reports whether Age is known.
	AgeKnown bool
	// Load is the number of requests that this host has running at the database or
	// waiting for it.
	Load int
}

// Requirements holds the requirements of a request on its database.
type Requirements struct {
	// Write requires the primary.
	Write bool
	// Position is the one that the database must have applied. The zero Position
	// requires nothing.
	Position coltsfootloft.Position
	// MaxAge limits the age of the data that reads return; 0 for no limit.
	MaxAge time.Duration
	// Domain is the host's own failure domain.
	Domain string
	// LastDatabase is the database that served the session's previous request. It is
	// preferred for monotonic reads and warm caches.
	LastDatabase string
	// Avoid holds the names of databases that have already refused this request.
	Avoid map[string]bool
}

// Choice is the database that a request goes to, or the reason that there is none.
type Choice struct {
	verdict  Verdict
	database string
	local    bool
}

// Verdict returns whether a database was chosen, and why or why not.
func (c Choice) Verdict() Verdict { return c.verdict }

// Database is the name of the chosen database; empty if none was chosen.
func (c Choice) Database() string { return c.database }

// IsLocal reports whether the database is in the host's own failure domain.
func (c Choice) IsLocal() bool { return c.local }

// Pick chooses among the databases of a group. It returns [ReplicasBehind] if replicas exist
// but none has caught up. The caller may then wait and try again, and falls back on
// the primary with [Fallback].
func Pick(n Requirements, all []Candidate) Choice {
	if n.Write {
		return Fallback(n, all)
	}
	var best *Candidate
	replicas := 0
	for i := range all {
		c := all[i]
		if !isReplica(n, c) {
			continue
		}
		replicas++
		if !serves(n, c) {
			continue
		}
		if best == nil || isPreferred(n, c, *best) {
			best = &all[i]
		}
	}
	if best != nil {
		return newChoice(n, *best, ToReplica)
	}
	if replicas > 0 {
		return Choice{verdict: ReplicasBehind}
	}
	return Fallback(n, all)
}

// Fallback chooses the primary, if it meets the requirements.
func Fallback(n Requirements, all []Candidate) Choice {
	for _, c := range all {
		if !c.IsPrimary || n.Avoid[c.Upstream.Name()] {
			continue
		}
		if !c.Reading.Applied().Covers(n.Position) || !n.Write && !isFreshEnough(n, c) {
			return Choice{verdict: NoPrimary}
		}
		return newChoice(n, c, ToPrimary)
	}
	return Choice{verdict: NoPrimary}
}

func isReplica(n Requirements, c Candidate) bool {
	if c.IsPrimary || c.Leaving || c.Reading.Role() != coltsfootloft.Replica {
		return false
	}
	return !n.Avoid[c.Upstream.Name()]
}

func serves(n Requirements, c Candidate) bool {
	return isFreshEnough(n, c) && c.Reading.Applied().Covers(n.Position)
}

// isFreshEnough reports whether reads at the database are within the maximum age. The
// primary is checked too: one that is cut off may have been replaced.
func isFreshEnough(n Requirements, c Candidate) bool {
	return n.MaxAge == 0 || c.AgeKnown && c.Age <= n.MaxAge
}

// isPreferred orders the replicas that meet the requirements: first those in the
// host's failure domain, then by load, then the one that the session read from
// before, then by applied position.
func isPreferred(n Requirements, a, b Candidate) bool {
	return cmp.Or(
		cmp.Compare(distance(n, a), distance(n, b)),
		cmp.Compare(a.Load, b.Load),
		cmp.Compare(switchCost(n, a), switchCost(n, b)),
		cmp.Compare(b.Reading.Applied().Offset(), a.Reading.Applied().Offset()),
	) < 0
}

func distance(n Requirements, c Candidate) int {
	if c.Upstream.Domain() == n.Domain {
		return 0
	}
	return 1
}

func switchCost(n Requirements, c Candidate) int {
	if c.Upstream.Name() == n.LastDatabase {
		return 0
	}
	return 1
}

func newChoice(n Requirements, c Candidate, v Verdict) Choice {
	return Choice{
		verdict:  v,
		database: c.Upstream.Name(),
		local:    distance(n, c) == 0,
	}
}

// Verdict is the result of a choice.
type Verdict uint8

// The verdicts of a choice.
const (
	// ToReplica: a replica serves the read.
	ToReplica Verdict = iota
	// ToPrimary: the primary serves the request.
	ToPrimary
	// ReplicasBehind: no replica has caught up yet.
	ReplicasBehind
	// NoPrimary: no primary is known that meets the requirements.
	NoPrimary
)

// String returns the verdict in words, as explanations of a routing decision show it.
func (v Verdict) String() string {
	switch v {
	case ToReplica:
		return "to replica"
	case ToPrimary:
		return "to primary"
	case ReplicasBehind:
		return "replicas behind"
	case NoPrimary:
		return "no primary"
	}
	return "invalid verdict"
}
