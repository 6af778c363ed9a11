package homes

import (
	"testing"

	"gotest.tools/v3/assert"
)

var regions = map[string]string{
	"north-a": "north",
	"north-b": "north",
	"south-a": "south",
	"west-a":  "west",
}

// TestDomainsOfAllowedRegions guards against a statement that runs outside the regions that its route
// and its account allow, or is kept from one that both allow.
func TestDomainsOfAllowedRegions(t *testing.T) {
	for _, c := range []struct {
		name           string
		route, account []string
		allowed        []string
	}{
		{"no restriction", nil, []string{}, []string{"north-a", "north-b", "south-a", "west-a", "unnamed", ""}},
		{"route", []string{"north"}, nil, []string{"north-a", "north-b"}},
		{"account", nil, []string{"south", "west"}, []string{"south-a", "west-a"}},
		{"both", []string{"north", "south"}, []string{"south", "west"}, []string{"south-a"}},
		{"nothing in common", []string{"north"}, []string{"west"}, nil},
		{"unknown region", []string{"east"}, nil, nil},
		{"a region without a name", []string{""}, nil, nil},
	} {
		h := Of(regions, c.route, c.account)
		var allowed []string
		for _, d := range []string{"north-a", "north-b", "south-a", "west-a", "unnamed", ""} {
			if h.Allows(d) {
				allowed = append(allowed, d)
			}
		}
		assert.DeepEqual(t, allowed, c.allowed)
		assert.Equal(t, h.IsRestricted(), c.name != "no restriction")
	}
}

// TestNothingIsRestrictedWithoutRegions guards against a deployment that names no regions and refuses
// what it served before.
func TestNothingIsRestrictedWithoutRegions(t *testing.T) {
	h := Of(map[string]string{}, []string{"north"}, []string{"south"})
	assert.Assert(t, !h.IsRestricted() && h.Allows("north-a") && h.AllowsHost("north-a", "south-a"))
}

// TestHostsOfTheCallersRegion guards against a statement that is handed to a host in a region that is
// neither allowed nor that of the host to which the caller is connected.
func TestHostsOfTheCallersRegion(t *testing.T) {
	h := Of(regions, []string{"north"})
	assert.Assert(t, h.AllowsHost("north-b", "south-a"), "allowed region")
	assert.Assert(t, h.AllowsHost("south-a", "south-a"), "region of the caller's host")
	assert.Assert(t, !h.AllowsHost("west-a", "south-a"), "a third region")
	assert.Assert(t, !h.AllowsHost("unnamed", "unnamed"), "no region")
}
