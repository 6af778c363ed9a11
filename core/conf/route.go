package conf

import (
	"slices"
	"strconv"
	"time"
)

const (
	minAge = time.Millisecond
	maxAge = 24 * time.Hour
)

// Route is a name under which callers reach a database group.
type Route struct {
	name     string
	team     string
	group    reference
	maxAge   time.Duration
	readOnly bool
	open     bool
	account  reference
	accounts []reference
	at       place
}

// Name is team.route, unique in the fleet.
func (r Route) Name() string { return r.name }

// Team is the team that owns the route.
func (r Route) Team() string { return r.team }

// Group is the name of the database group.
func (r Route) Group() string { return r.group.name }

// MaxAge is the maximum age of the data that reads return. It is 0 if reads must see
// every write that the session knows of.
func (r Route) MaxAge() time.Duration { return r.maxAge }

// ReadOnly reports whether the route refuses writes.
func (r Route) ReadOnly() bool { return r.readOnly }

// Open reports whether requests run without a key, on behalf of Account.
func (r Route) Open() bool { return r.open }

// Account is the client account of an open route, as team/account. It is empty on
// other routes, where the key determines the account.
func (r Route) Account() string {
	if !r.open {
		return ""
	}
	return r.team + "/" + r.account.name
}

// Allows reports whether requests with the key may run on the route: the key must
// belong to the route's team, and its account must be on the route's list of accounts
// if there is one.
func (r Route) Allows(k Key) bool {
	if k.team != r.team {
		return false
	}
	if len(r.accounts) == 0 {
		return true
	}
	return slices.ContainsFunc(r.accounts, func(a reference) bool { return a.name == k.accountRef.name })
}

func parseRoute(l location, o *object) value {
	r := Route{
		name:     l.team + "." + l.name,
		team:     l.team,
		group:    takeReference(o, nameField("group").require()),
		maxAge:   take(o, duration("max_age", minAge, maxAge)),
		readOnly: take(o, boolean("read_only")),
		open:     take(o, boolean("open")),
		account:  takeReference(o, nameField("account")),
		accounts: take(o, nameList(o, "accounts")),
		at:       o.doc.place(o.offset),
	}
	r.checkAccounts(o)
	return r
}

func (r Route) checkAccounts(o *object) {
	if r.open && !o.has("account") {
		o.doc.reportAt(r.at, "an open route with no \"account\"", "\"account\": the account that its requests run for")
	}
	if !r.open && o.has("account") {
		o.doc.reportAt(o.at("account"), "\"account\" on a route that is not open", "\"open\": true beside it, or \"accounts\"")
	}
	if r.open && o.has("accounts") {
		o.doc.reportAt(o.at("accounts"), "\"accounts\" on an open route", "\"account\" alone")
	}
	if !r.open && o.has("accounts") && len(r.accounts) == 0 {
		o.doc.reportAt(o.at("accounts"), "\"accounts\" without an account", "at least one account, or no \"accounts\" for all")
	}
}

func (r Route) addTo(f *Fleet) Problems {
	if p := f.requireTeam(r.team, r.at); p != nil {
		return p
	}
	var p Problems
	_, set := f.Group(r.group.name)
	switch {
	case !set:
		p = append(p, r.group.at.problem("group "+f.describeMissing("fleet/groups", r.group.name), "a name under fleet/groups"))
	case !f.teams[r.team][r.group.name]:
		p = append(p, r.group.at.problem("group "+strconv.Quote(r.group.name)+" that is not granted to team "+r.team,
			"a group listed in fleet/teams/"+r.team))
	}
	if r.open {
		p = append(p, f.requireAccount(r.team, r.account)...)
	}
	for _, a := range r.accounts {
		p = append(p, f.requireAccount(r.team, a)...)
	}
	if len(p) == 0 {
		f.routes[r.name] = r
	}
	return p
}
