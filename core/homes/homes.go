// Package homes decides in which failure domains the statements of a route and a client account
// may run.
//
// Operators may restrict a route, an account, or both to regions. A statement then runs at
// databases and on hosts in the regions that every restriction allows. The deployment's process
// settings name the region of each failure domain; a domain without one is in no allowed region.
package homes

import "slices"

// Homes is the restriction of one statement. The zero value allows every domain. It is immutable.
type Homes struct {
	regions map[string]string // by failure domain
	lists   [][]string        // allowed regions; all of them apply
}

// Of returns the restriction to all of lists; an empty list allows every region. Regions holds the
// region of each failure domain. Nothing is restricted in a deployment that names no regions.
func Of(regions map[string]string, lists ...[]string) Homes {
	if len(regions) == 0 {
		return Homes{}
	}
	h := Homes{}
	for _, l := range lists {
		if len(l) > 0 {
			h.regions = regions
			h.lists = append(h.lists, l)
		}
	}
	return h
}

// IsRestricted reports whether the statement may not run everywhere.
func (h Homes) IsRestricted() bool { return len(h.lists) > 0 }

// Allows reports whether the statement may run at databases in a failure domain.
func (h Homes) Allows(domain string) bool {
	if !h.IsRestricted() {
		return true
	}
	region := h.regions[domain]
	if region == "" {
		return false
	}
	for _, l := range h.lists {
		if !slices.Contains(l, region) {
			return false
		}
	}
	return true
}

// AllowsHost reports whether a host in the failure domain own, which the caller is connected to,
// may hand the statement to a host in domain.
func (h Homes) AllowsHost(domain, own string) bool {
	return h.Allows(domain) || h.regions[own] != "" && h.regions[domain] == h.regions[own]
}
