package groups

import (
	"cmp"
	"math/rand/v2"
	"time"

	"coltsfootloft/core/evac"
	"coltsfootloft/core/homes"
	"coltsfootloft/core/load"
	"coltsfootloft/io/mirror"
)

// Read is a read that needs a database.
type Read struct {
	// Account is the client account, Priority that of the route.
	Account  string
	Priority int
	// TargetLatency is that of the route.
	TargetLatency time.Duration
	// Homes are the regions where it may run.
	Homes homes.Homes
	// IsAgain is set if a database was chosen for the read before.
	IsAgain bool
}

// ranked is a candidate for a read.
type ranked struct {
	reader   Reader
	domain   string
	cost     float64
	up       bool
	estimate load.Estimate
	known    bool          // the load is
	expected time.Duration // until the answer, as it counts in the cost
	leaves   bool          // for the load of the host's own domain
	state    evac.State    // of the domain
	last     bool          // for an evacuation of the domain, or the end of one
}

// rank returns a candidate with its cost by what this host has observed, and with its load if that
// is known.
func (g *Groups) rank(r Reader, domain string, q Read) ranked {
	c := ranked{
		reader: r,
		domain: domain,
	}
	c.cost, c.up = g.Pools.Cost(r.Target.ID, domain == g.Domain, r.IsPrimary)
	if g.Expect != nil {
		c.estimate, c.known = g.Expect(r.Target, q.Account, q.Priority, q.Homes)
		c.expected = c.estimate.Spread(rand.Float64())
	}
	return c
}

// compare orders candidates: those in reach first, among them those of domains that are not
// evacuated, among them those to which the read leaves the host's domain, and then by cost.
func compare(a, b ranked) int {
	return cmp.Or(first(a.up, b.up), first(b.last, a.last), first(a.leaves, b.leaves), cmp.Compare(a.cost, b.cost))
}

// compareCost orders candidates in reach first, and then by cost.
func compareCost(a, b ranked) int {
	return cmp.Or(first(a.up, b.up), cmp.Compare(a.cost, b.cost))
}

// spill lets candidates compete by their loads, if any of the host's own failure domain is known, and
// decides whether a read leaves that domain for the load of its databases. If not, the time that the
// best of them is expected to take does not count, so that another domain is chosen only for what
// went wrong at these before.
func (g *Groups) spill(v *mirror.View, group string, candidates []ranked, q Read) {
	g.addSpill(group)
	home, away := g.sides(candidates)
	if home.known == 0 {
		return // as without the feature
	}
	leaves := !q.IsAgain && away.domain != "" && g.leaves(group, g.spillView(v, home, away, q))
	for i := range candidates {
		c := &candidates[i]
		isHome := c.domain == g.Domain
		if isHome && !c.known {
			// It counts like the best one, and the first answer makes its load known.
			c.known = true
			c.expected = home.best.Spread(rand.Float64())
		}
		if c.known {
			c.cost, _ = g.Pools.LoadedCost(c.reader.Target.ID, c.expected, isHome, c.reader.IsPrimary)
		}
		switch {
		case isHome:
			c.cost -= milliseconds(home.expected)
		case leaves && c.domain == away.domain:
			c.leaves = true
		default:
			c.reader.IsAbroad = true
		}
	}
}
