package groups

import (
	"coltsfootloft"
	"coltsfootloft/core/homes"
)

// Homes returns where statements of a route and an account may run under the present settings.
func (g *Groups) Homes(r coltsfootloft.Route, account string) homes.Homes {
	var regions []string
	if s := g.Mirror.View().Settings; s != nil {
		regions = s.AccountRegions[account]
	}
	return homes.Of(g.Regions, r.AllowedRegions, regions)
}

// Allows reports whether h allows a database.
func (g *Groups) Allows(h homes.Homes, database string) bool {
	if !h.IsRestricted() {
		return true
	}
	u, ok := g.Mirror.View().Upstreams[database]
	return ok && h.Allows(u.Upstream.Domain())
}

// AllowsNone reports whether h excludes every database that could serve a statement: the primary
// that the group's record names if onlyPrimary is set, and all databases of the group otherwise.
func (g *Groups) AllowsNone(h homes.Homes, group string, onlyPrimary bool) bool {
	if !h.IsRestricted() {
		return false
	}
	v := g.Mirror.View()
	if onlyPrimary {
		r := v.Groups[group]
		u, known := v.Upstreams[r.Primary]
		return known && r.IsOpen() && r.IsCurrent() && !h.Allows(u.Upstream.Domain())
	}
	members := v.Members(group)
	for _, u := range members {
		if h.Allows(u.Upstream.Domain()) {
			return false
		}
	}
	return len(members) > 0
}
