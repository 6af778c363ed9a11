package conf

import (
	"cmp"
	"slices"
	"strings"
)

// kind is what a settings path holds. A kind refers only to kinds before it.
type kind uint8

const (
	kindDefaults kind = iota
	kindDomain
	kindGroup
	kindTeam
	kindAccount
	kindKey
	kindRoute
	kindOther
)

const acceptedPaths = "fleet/defaults, fleet/domains/<domain>, fleet/groups/<group>, fleet/teams/<team>, " +
	"teams/<team>/accounts/<account>, teams/<team>/keys/<key>, teams/<team>/routes/<route>"

// HeadPath is the path of the pointer to the newest change record. Every change
// moves it; it is no setting and is passed over here.
const HeadPath = "head"

// address of a value: its path taken apart.
type location struct {
	path string
	kind kind
	team string
	name string
}

// full is team/name, unique in the fleet.
func (l location) full() string { return l.team + "/" + l.name }

func locate(path string) location {
	l := location{
		path: path,
		kind: kindOther,
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
		l.kind = kindOther
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
	return kindOther
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
	return kindOther
}

// arrange returns all paths in an order in which each refers only to earlier
// ones.
func arrange(entries map[string][]byte) []location {
	list := make([]location, 0, len(entries))
	for p := range entries {
		if p != HeadPath {
			list = append(list, locate(p))
		}
	}
	slices.SortFunc(list, func(a, b location) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.path, b.path))
	})
	return list
}
