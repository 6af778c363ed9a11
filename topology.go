package coltsfootloft

import "slices"

// Upstream is one database of a group, as the settings describe it.
type Upstream struct {
	name    string
	domain  string
	address string
}

// NewUpstream returns the database with a name unique in the fleet, in a failure
// domain, at an address of the form IP:port.
func NewUpstream(name, domain, address string) Upstream {
	return Upstream{
		name:    name,
		domain:  domain,
		address: address,
	}
}

// Name is unique in the fleet.
func (u Upstream) Name() string { return u.name }

// Domain is the failure domain.
func (u Upstream) Domain() string { return u.domain }

// Address is IP:port.
func (u Upstream) Address() string { return u.address }

// Group is a database group, as the settings describe it.
type Group struct {
	name        string
	upstreams   []Upstream
	connections int
}

// NewGroup returns a group whose databases each take at most this number of
// connections from all hosts together.
func NewGroup(name string, connections int, upstreams ...Upstream) Group {
	return Group{
		name:        name,
		upstreams:   upstreams,
		connections: connections,
	}
}

// Name is unique in the fleet.
func (g Group) Name() string { return g.name }

// Upstreams returns the databases in the order of the settings.
func (g Group) Upstreams() []Upstream { return slices.Clone(g.upstreams) }

// Connections is the limit of each database, over all hosts, for callers'
// statements.
func (g Group) Connections() int { return g.connections }

// Majority is the smallest number of databases that any two sets share one of.
func (g Group) Majority() int { return len(g.upstreams)/2 + 1 }

// Account is a client account's part of the settings.
type Account struct {
	name  string
	rate  float64
	burst float64
}

// NewAccount returns an account that may run rate statements a second, and burst
// statements at once.
func NewAccount(name string, rate, burst float64) Account {
	return Account{
		name:  name,
		rate:  rate,
		burst: burst,
	}
}

// Name is team/account, unique in the fleet.
func (a Account) Name() string { return a.name }

// Rate is in statements per second, over all hosts together.
func (a Account) Rate() float64 { return a.rate }

// Burst is in statements, over all hosts together.
func (a Account) Burst() float64 { return a.burst }
