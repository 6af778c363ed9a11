// Package groups tells which databases of a group the host may use for a statement.
//
// The record of a group in the platform's store names its primary. The host may use
// the primary while the record is open and of the store's present era, the host's lease is
// valid and the primary is not almost drained. Each opening of the record increments its epoch, so that a
// primary obtained earlier can be checked again: before work is sent to it, and once
// its answer arrives. Replicas are offered for reads without these checks; the marks
// of the group, see package marks, show which position a replica must have applied for
// a read to be fresh enough.
package groups

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"coltsfootloft"
	"coltsfootloft/core/accept"
	"coltsfootloft/core/evac"
	"coltsfootloft/core/homes"
	"coltsfootloft/core/load"
	"coltsfootloft/core/marks"
	"coltsfootloft/core/spill"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/lease"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
	"coltsfootloft/io/warmup"
)

const (
	// removedGrace is how long a replica is still used after its announcement was
	// removed. Announcements that expire while the store is unavailable are back
	// within two seconds after it is available again.
	removedGrace = 2500 * time.Millisecond
	// drainMargin is the last part of Drain, in which a leaving primary gets no
	// new work.
	drainMargin = 1500 * time.Millisecond
)

// Groups selects databases for statements. Its exported fields are set before use. It
// is safe for concurrent use.
type Groups struct {
	// Mirror is the host's copy of the store.
	Mirror *mirror.Mirror
	// Lease is the host's lease, which gives the right to use primaries.
	Lease *lease.Lease
	// Pools estimates the cost of reads at each database.
	Pools *dbpool.Pools
	// Answers decides on answers of primaries that are being replaced.
	Answers *accept.Answers
	// Clock measures time including suspensions of the host.
	Clock coltsfootloft.Clock
	// Domain is the host's failure domain.
	Domain string
	// Drain is how long a leaving database may still get work.
	Drain time.Duration
	// Metrics receives the counters of statements that go elsewhere because of an evacuation, and of
	// reads that leave the domain for its load.
	Metrics *metrics.Set
	// Regions is the region of each failure domain.
	Regions map[string]string
	// Cold limits the requests to cold databases; nil if none are limited.
	Cold *warmup.Limiter

	// Expect returns what a statement of an account with a priority is expected to take at a
	// database, through an owner that the homes allow, if its load is known. It is nil if loads are
	// not measured.
	Expect func(t dbpool.Target, account string, priority int, h homes.Homes) (load.Estimate, bool)

	mu     sync.Mutex
	marks  map[string]*marks.Marks
	spills map[string]*spill.Spill
	// counts are the hosts by failure domain in the view with countsVersion. The map is replaced, never
	// changed, once it is published.
	counts        map[string]int
	countsVersion uint64
}

// Primary is the primary of a group in one epoch. The host may send it work while MaySend
// returns true.
type Primary struct {
	// Target is the database.
	Target dbpool.Target
	// Epoch is the epoch of the group's record.
	Epoch uint64
	// SameDomain is set if the database is in the host's failure domain.
	SameDomain bool
}

// Primary returns the primary of a group, if the host may use it now.
func (g *Groups) Primary(group string) (Primary, bool) {
	v := g.Mirror.View()
	r, ok := v.Groups[group]
	if !ok || !r.IsOpen() || !r.IsCurrent() || !g.Lease.Valid() {
		return Primary{}, false
	}
	u, ok := v.Upstreams[r.Primary]
	if !ok || u.Group != group || g.isDrained(u) || g.evacuation(v, u) == evac.Closed {
		return Primary{}, false
	}
	return Primary{
		Target:     u.Target(),
		Epoch:      r.Epoch,
		SameDomain: u.Upstream.Domain() == g.Domain,
	}, true
}

// isDrained reports whether a leaving or removed database may get no more work.
func (g *Groups) isDrained(u mirror.Upstream) bool {
	return (u.Leaving || u.Removed) && g.Clock.Elapsed()-u.Since > g.Drain-drainMargin
}

// MaySend reports whether p is still the primary and the host may send it work now.
func (g *Groups) MaySend(group string, p Primary) bool {
	current, ok := g.Primary(group)
	return ok && current.Epoch == p.Epoch && current.Target.ID == p.Target.ID
}

// MayAccept reports whether an answer of p that has just arrived may be accepted, because
// no other database can have become primary before the answer was made.
func (g *Groups) MayAccept(group string, p Primary) bool { return g.judge(group, p) == accept.All }

// AwaitAccept reports whether the success of a write or of the commit of writes, which has just arrived from p, may
// be accepted, because it was committed before another database became primary. While p is being replaced, it waits
// until it is known whether p was demoted, but not after the deadline.
func (g *Groups) AwaitAccept(group string, p Primary, deadline time.Time) bool {
	verdict := g.judge(group, p)
	for verdict == accept.Undecided && time.Now().Before(deadline) {
		changed := g.Mirror.Changed()
		if verdict = g.judge(group, p); verdict == accept.Undecided {
			pause.Until(context.Background(), changed, time.Until(deadline))
			verdict = g.judge(group, p)
		}
	}
	return verdict >= accept.Writes
}

// judge decides on an answer of p that has arrived.
func (g *Groups) judge(group string, p Primary) accept.Verdict {
	if !g.Lease.Valid() {
		return accept.None
	}
	r, ok := g.Mirror.View().Groups[group]
	if !ok || !r.IsCurrent() {
		return accept.None
	}
	return g.Answers.Judge(accept.Source{
		Group:   group,
		Primary: p.Target.ID,
		Epoch:   p.Epoch,
	}, r.Record, g.Lease.Revision() > r.Revision)
}

// Reader is a database that may serve a read.
type Reader struct {
	// Target is the database.
	Target dbpool.Target
	// Primary is set if the database is the primary.
	Primary Primary
	// IsPrimary is set if the database is the primary that the record names.
	IsPrimary bool
	// IsAbroad is set if the database is in another failure domain, to which the read is not sent
	// for the load of the host's own.
	IsAbroad bool
}

// Readers returns the databases that may serve a read where its homes allow, in the order of increasing cost.
// Databases that could not be reached recently come last, and before them those of evacuated domains,
// and of domains whose evacuation has just ended, which return with a growing share of the reads.
func (g *Groups) Readers(group string, q Read) []Reader {
	primary, hasPrimary := g.Primary(group)
	v := g.Mirror.View()
	var candidates []ranked
	for _, u := range v.Members(group) {
		id := u.Upstream.Name()
		r := Reader{Target: u.Target()}
		switch {
		case hasPrimary && id == primary.Target.ID:
			r.Primary = primary
			r.IsPrimary = true
		case id == v.Groups[group].Primary || u.Leaving || u.Removed && g.Clock.Elapsed()-u.Since > removedGrace:
			continue
		}
		if !q.Homes.Allows(u.Upstream.Domain()) {
			continue
		}
		c := g.rank(r, u.Upstream.Domain(), q)
		c.state = g.evacuation(v, u)
		c.last = g.isLast(v, u)
		candidates = append(candidates, c)
	}
	if len(candidates) > 0 && slices.MinFunc(candidates, compareCost).last {
		g.countElsewhere()
	}
	candidates = slices.DeleteFunc(candidates, func(r ranked) bool { return r.state == evac.Closed })
	if g.Expect != nil {
		g.spill(v, group, candidates, q)
	}
	for i := range candidates {
		r := candidates[i].reader
		candidates[i].cost = g.coldCost(r.Target.ID, candidates[i].cost, r.IsPrimary)
	}
	slices.SortFunc(candidates, compare)
	readers := make([]Reader, len(candidates))
	for i, r := range candidates {
		readers[i] = r.reader
	}
	return readers
}

// first returns the result of a comparison in which what is set comes first.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Epoch is the epoch of the group's record; 0 if there is none.
func (g *Groups) Epoch(group string) uint64 { return g.Mirror.View().Groups[group].Epoch }

// Marks returns the marks of a group, by which replicas are checked for freshness.
func (g *Groups) Marks(group string) *marks.Marks {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.marks == nil {
		g.marks = make(map[string]*marks.Marks)
	}
	m := g.marks[group]
	if m == nil {
		m = &marks.Marks{}
		g.marks[group] = m
	}
	return m
}
