package conf

import (
	"cmp"
	"slices"
	"strings"
)

// kind is the kind of setting at a path. Settings refer only to settings of earlier
// kinds.
type kind uint8

const (
	kindDefaults kind = iota
	kindDomain
	kindGroup
	kindTeam
	kindAccount
	kindKey
	kindRoute
	kindUnknown
)

const acceptedPaths = "fleet/defaults, fleet/domains/<domain>, fleet/groups/<group>, fleet/teams/<team>, " +
	"teams/<team>/accounts/<account>, teams/<team>/keys/<key>, teams/<team>/routes/<route>"

// HeadPath is the path of the pointer to the newest change record, which every change
// updates. It is not a setting, and this package ignores it.
const HeadPath = "head"

// location is the parsed path of a setting.
type location struct {
	path string
	kind kind
	team string
	name string
}

// qualifiedName returns team/name, which is unique in the fleet.
func (l location) qualifiedName() string { return l.team + "/" + l.name }

func parsePath(path string) location {
	l := location{
		path: path,
		kind: kindUnknown,
	}
	parts := strings.Split(path, "/")
	switch {
	case path == "fleet/defaults":
		l.kind = kindDefaults
	case len(parts) == 3 && parts[0] == "fleet":
		l.kind = fleetKind(parts[1])
		l.name = parts[2]
	case len(parts) == 4 && parts[0] == "teams" && nameForm.MatchString(parts[1]):
		l.kind = teamKind(parts[2])
		l.team = parts[1]
		l.name = parts[3]
	}
	if l.kind != kindDefaults && !nameForm.MatchString(l.name) {
		l.kind = kindUnknown
	}
	return l
}

func fleetKind(s string) kind {
	switch s {
	case "domains":
		return kindDomain
	case "groups":
		return kindGroup
	case "teams":
		return kindTeam
	}
	return kindUnknown
}

func teamKind(s string) kind {
	switch s {
	case "accounts":
		return kindAccount
	case "keys":
		return kindKey
	case "routes":
		return kindRoute
	}
	return kindUnknown
}

// sortedLocations returns the locations of all settings in an order in which each
// setting refers only to earlier ones.
func sortedLocations(entries map[string][]byte) []location {
	list := make([]location, 0, len(entries))
	for p := range entries {
		if p != HeadPath {
			list = append(list, parsePath(p))
		}
	}
	slices.SortFunc(list, func(a, b location) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.path, b.path))
	})
	return list
}
