package groups

import (
	"math/rand/v2"
	"strconv"
	"time"

	"coltsfootloft/core/load"
	"coltsfootloft/core/pick"
	"coltsfootloft/core/spill"
	"coltsfootloft/io/mirror"
)

// SpilledMetric counts the reads that were sent to another failure domain for the load of the
// host's own.
const SpilledMetric = "coltsfootloft_spilled_total"

// side sums up the candidates of one failure domain.
type side struct {
	domain string
	known  int           // candidates whose load is known
	best   load.Estimate // of the candidate with the least wait, with the way there
	free   float64       // reads per second for other domains

	expected time.Duration // least time until the answer, as it counts in the cost
}

func (s *side) add(c ranked) {
	if !c.known {
		return
	}
	if s.known == 0 || reach(c.estimate) < reach(s.best) {
		s.best = c.estimate
	}
	if s.known == 0 || c.expected < s.expected {
		s.expected = c.expected
	}
	s.known++
	s.free += c.estimate.Free
}

// reach returns the expected time until a statement runs, and for the way there and back.
func reach(e load.Estimate) time.Duration { return e.Wait + e.RoundTrip }

// sides returns the host's own failure domain, and the other one to which reads may leave: of those
// with known loads the one with the least wait, or a random one if no load is known.
func (g *Groups) sides(candidates []ranked) (home, away side) {
	others := make(map[string]*side)
	home.domain = g.Domain
	for _, c := range candidates {
		switch {
		case !c.up:
		case c.domain == g.Domain:
			home.add(c)
		default:
			s := others[c.domain]
			if s == nil {
				s = &side{domain: c.domain}
				others[c.domain] = s
			}
			s.add(c)
		}
	}
	for _, s := range others {
		isLess := s.known > 0 && (away.known == 0 || reach(s.best) < reach(away.best))
		if away.domain == "" || isLess {
			away = *s
		}
	}
	return home, away
}

// spillView returns what is known for a read.
func (g *Groups) spillView(v *mirror.View, home, away side, q Read) spill.View {
	w := spill.View{
		Home:      home.best.Wait,
		Away:      away.best.Wait,
		Cost:      max(away.best.RoundTrip-home.best.RoundTrip, 0) + time.Duration(pick.TrafficCost*float64(time.Millisecond)),
		Target:    q.TargetLatency,
		AwayKnown: away.known > 0,
		Free:      away.free,
		Room:      home.free,
	}
	counts := g.hostCounts(v)
	w.Senders = len(v.Hosts) - counts[away.domain]
	w.Peers = counts[g.Domain]
	return w
}

// hostCounts returns the number of hosts of each failure domain. They are counted once for each set of
// hosts, as every read needs them.
func (g *Groups) hostCounts(v *mirror.View) map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.counts == nil || g.countsVersion != v.HostsVersion {
		g.counts = make(map[string]int)
		g.countsVersion = v.HostsVersion
		for _, h := range v.Hosts {
			g.counts[h.Domain]++
		}
	}
	return g.counts
}

// leaves reports whether a read leaves the domain, and counts it.
func (g *Groups) leaves(group string, w spill.View) bool {
	g.mu.Lock()
	leaves := g.spills[group].Leaves(g.Clock.Elapsed(), w, rand.Float64())
	g.mu.Unlock()
	if leaves {
		g.Metrics.GetOrCreateCounter(SpilledMetric).Inc()
	}
	return leaves
}

// addSpill begins to decide for a group, and shows its share, unless it has begun.
func (g *Groups) addSpill(group string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.spills[group] != nil {
		return
	}
	if g.spills == nil {
		g.spills = make(map[string]*spill.Spill)
	}
	s := &spill.Spill{}
	g.spills[group] = s
	g.Metrics.GetOrCreateGauge("coltsfootloft_spill_share{group="+strconv.Quote(group)+"}", func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return s.Share()
	})
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
