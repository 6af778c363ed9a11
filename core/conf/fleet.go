package conf

import (
	"slices"
	"strings"

	"coltsfootloft"
)

// Fleet is an immutable snapshot of all settings that are in effect. The zero Fleet
// has none; use [Parse].
type Fleet struct {
	revision uint64
	defaults Defaults
	domains  []Domain
	groups   []Group
	teams    map[string]map[string]bool
	accounts map[string]account
	keys     map[string]Key
	routes   map[string]Route
	owners   map[string]string
	parsed   map[string]parsed
	rejected map[string]bool
}

// Revision is the revision of the store at which the snapshot was read.
func (f *Fleet) Revision() uint64 { return f.revision }

// At returns a copy of the snapshot with the given revision.
func (f *Fleet) At(revision uint64) *Fleet {
	c := *f
	c.revision = revision
	return &c
}

// Defaults returns the limits that apply to the whole fleet.
func (f *Fleet) Defaults() Defaults { return f.defaults }

// Domains returns the failure domains, sorted by name.
func (f *Fleet) Domains() []Domain { return slices.Clone(f.domains) }

// Domain returns the named failure domain.
func (f *Fleet) Domain(name string) (Domain, bool) {
	i, ok := slices.BinarySearchFunc(f.domains, name, func(d Domain, n string) int { return strings.Compare(d.name, n) })
	if !ok {
		return Domain{}, false
	}
	return f.domains[i], true
}

// Groups returns the database groups, sorted by name.
func (f *Fleet) Groups() []coltsfootloft.Group {
	list := make([]coltsfootloft.Group, len(f.groups))
	for i, g := range f.groups {
		list[i] = g.group
	}
	return list
}

// Group returns the named database group with its own settings.
func (f *Fleet) Group(name string) (Group, bool) {
	i, ok := slices.BinarySearchFunc(f.groups, name, func(g Group, n string) int { return strings.Compare(g.Name(), n) })
	if !ok {
		return Group{}, false
	}
	return f.groups[i], true
}

// Accounts returns the client accounts, sorted by name.
func (f *Fleet) Accounts() []coltsfootloft.Account {
	list := make([]coltsfootloft.Account, 0, len(f.accounts))
	for _, n := range sortedNames(f.accounts) {
		list = append(list, f.accounts[n].account)
	}
	return list
}

// Account returns the client account named team/account.
func (f *Fleet) Account(name string) (coltsfootloft.Account, bool) {
	a, ok := f.accounts[name]
	return a.account, ok
}

// Weight returns the share of connections that an account gets when accounts compete
// for them, relative to an account of weight 1. It is 0 for an unknown account.
func (f *Fleet) Weight(account string) int { return f.accounts[account].weight }

// Keys returns all keys, sorted by name.
func (f *Fleet) Keys() []Key {
	list := make([]Key, 0, len(f.keys))
	for _, n := range sortedNames(f.keys) {
		list = append(list, f.keys[n])
	}
	return list
}

// Key returns the key named team.key.
func (f *Fleet) Key(name string) (Key, bool) {
	k, ok := f.keys[name]
	return k, ok
}

// Routes returns all routes, sorted by name.
func (f *Fleet) Routes() []Route {
	list := make([]Route, 0, len(f.routes))
	for _, n := range sortedNames(f.routes) {
		list = append(list, f.routes[n])
	}
	return list
}

// Route returns the named route of a team.
func (f *Fleet) Route(team, name string) (Route, bool) {
	r, ok := f.routes[team+"."+name]
	return r, ok
}

// Resolve returns the route that a caller requests by the user and the database in
// its startup message. The user is team.key; the database is team.route, or a route
// of the user's team. It does not check whether the caller may use the route.
func (f *Fleet) Resolve(user, database string) (Route, bool) {
	if r, ok := f.routes[database]; ok {
		return r, true
	}
	team, _, _ := strings.Cut(user, ".")
	return f.Route(team, database)
}

func sortedNames[T any](m map[string]T) []string {
	list := make([]string, 0, len(m))
	for n := range m {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}
