// Package route chooses the database that a request runs on.
//
// A request that may write goes to the primary. A read goes to a replica whose
// applied position covers the session's token, in the host's own failure domain
// if there is one. Where no replica has caught up, the read waits a little for
// the first that does, and then goes to the primary, if that covers the token:
// an old primary that was cut off may not. Where the route states an age that its
// reads may have, a replica must also be known to be no older.
package route

import (
	"cmp"
	"time"

	"coltsfootloft"
)

// Candidate is what is known of one database of the group.
type Candidate struct {
	// Upstream is the database.
	Upstream coltsfootloft.Upstream
	// Reading is the newest known reading.
	Reading coltsfootloft.Reading
	// IsPrimary tells the primary of the group's highest term.
	IsPrimary bool
	// Leaving databases take no new request.
	Leaving bool
	// Age bounds how old its reads are, if Aged.
	Age time.Duration
	// AgeKnown tells whether the age is known.
	AgeKnown bool
	// Load is the number of requests that this host has at the database, run
	// or waiting.
	Load int
}

// Requirements is what a request asks of a database.
type Requirements struct {
	// Write asks for the primary.
	Write bool
	// Position is what reads must reach. The zero Position asks for nothing.
	Position coltsfootloft.Position
	// MaxAge bounds the age of reads; 0 states no age.
	MaxAge time.Duration
	// Domain is the host's own failure domain.
	Domain string
	// LastDatabase is the database that served the session before, for monotonic reads
	// and warm caches.
	LastDatabase string
	// Avoid names databases that have already refused this request.
	Avoid map[string]bool
}

// Choice is where a request goes.
type Choice struct {
	verdict  Verdict
	database string
	local    bool
}

// Verdict tells whether and why a database was chosen.
func (c Choice) Verdict() Verdict { return c.verdict }

// Database is the chosen database, if the verdict names one.
func (c Choice) Database() string { return c.database }

// IsLocal reports whether the database is in the host's own failure domain.
func (c Choice) IsLocal() bool { return c.local }

// Pick chooses among the databases of a group. It returns Behind while waiting
// may help, and the caller falls back on the primary with [Fallback].
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
		if best == nil || prefer(n, c, *best) {
			best = &all[i]
		}
	}
	if best != nil {
		return chosen(n, *best, ToReplica)
	}
	if replicas > 0 {
		return Choice{verdict: ReplicasBehind}
	}
	return Fallback(n, all)
}

// Fallback chooses the primary, if there is one that covers the need.
func Fallback(n Requirements, all []Candidate) Choice {
	for _, c := range all {
		if !c.IsPrimary || n.Avoid[c.Upstream.Name()] {
			continue
		}
		if !c.Reading.Applied().Covers(n.Position) || !n.Write && !isYoung(n, c) {
			return Choice{verdict: NoPrimary}
		}
		return chosen(n, c, ToPrimary)
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
	return isYoung(n, c) && c.Reading.Applied().Covers(n.Position)
}

// isYoung reports whether reads at the database are within the stated age. That
// concerns the primary too: one that is cut off may be an old one.
func isYoung(n Requirements, c Candidate) bool {
	return n.MaxAge == 0 || c.AgeKnown && c.Age <= n.MaxAge
}

// prefer orders the replicas that would serve: near before far, then the one
// with less to do, then the one that the session read from before.
func prefer(n Requirements, a, b Candidate) bool {
	return cmp.Or(
		cmp.Compare(distance(n, a), distance(n, b)),
		cmp.Compare(a.Load, b.Load),
		cmp.Compare(novelty(n, a), novelty(n, b)),
		cmp.Compare(b.Reading.Applied().Offset(), a.Reading.Applied().Offset()),
	) < 0
}

func distance(n Requirements, c Candidate) int {
	if c.Upstream.Domain() == n.Domain {
		return 0
	}
	return 1
}

func novelty(n Requirements, c Candidate) int {
	if c.Upstream.Name() == n.LastDatabase {
		return 0
	}
	return 1
}

func chosen(n Requirements, c Candidate, v Verdict) Choice {
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
	// NoPrimary: no primary is known that covers the need.
	NoPrimary
)

// String returns the verdict in words, as explanations show it.
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
