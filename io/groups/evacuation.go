package groups

import (
	"math/rand/v2"

	"coltsfootloft/core/evac"
	"coltsfootloft/io/mirror"
)

// evacuation returns what may be sent to a database because of the evacuation of its domain.
func (g *Groups) evacuation(v *mirror.View, u mirror.Upstream) evac.State {
	return v.Evacuations.State(u.Upstream.Domain(), g.Clock.Elapsed())
}

// isLast reports whether a database is used for a read only if no other one is there: its domain is
// evacuated, or was until recently.
func (g *Groups) isLast(v *mirror.View, u mirror.Upstream) bool {
	share := v.Evacuations.ReadShare(u.Upstream.Domain(), g.Clock.Elapsed())
	return share < 1 && rand.Float64() >= share
}

// IsCutOff reports whether a group has a primary to which nothing may be sent, since its domain is
// evacuated, and that is not being replaced.
func (g *Groups) IsCutOff(group string) bool {
	v := g.Mirror.View()
	r, ok := v.Groups[group]
	if !ok || !r.IsOpen() {
		return false
	}
	u, ok := v.Upstreams[r.Primary]
	return ok && g.evacuation(v, u) == evac.Closed
}

func (g *Groups) countElsewhere() {
	if g.Metrics != nil {
		g.Metrics.GetOrCreateCounter("coltsfootloft_evacuation_elsewhere_total").Inc()
	}
}
