package coltsfootloft

import "slices"

// Upstream is one database of a group.
type Upstream struct {
	name    string
	domain  string
	address string
}

// NewUpstream returns a database in a failure domain. The name must be unique in the
// fleet; address is IP:port.
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

// Address is the IP:port of the database.
func (u Upstream) Address() string { return u.address }

// Group is a database group as configured in the settings.
type Group struct {
	name        string
	upstreams   []Upstream
	connections int
}

// NewGroup returns a group. Connections is the maximum number of connections to each
// database, counted over all hosts.
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

// Connections is the maximum number of connections for callers' statements to each
// database, counted over all hosts.
func (g Group) Connections() int { return g.connections }

// Majority is the smallest number of databases such that any two sets of that size
// have a database in common.
func (g Group) Majority() int { return len(g.upstreams)/2 + 1 }

// Account is a client account with its rate limit, as configured in the settings.
type Account struct {
	name  string
	rate  float64
	burst float64
	// lentOnly is set if hosts may only borrow operations.
	lentOnly bool
}

// NewAccount returns an account that may run rate statements per second, and burst
// statements at once.
func NewAccount(name string, rate, burst float64) Account {
	return Account{
		name:  name,
		rate:  rate,
		burst: burst,
	}
}

// AsLentOnly returns a copy of a whose operations are lent one by one: no host gets a rate of its
// own, and no change of the allocator adds any.
func (a Account) AsLentOnly() Account {
	a.lentOnly = true
	return a
}

// IsLentOnly reports whether hosts may only borrow operations.
func (a Account) IsLentOnly() bool { return a.lentOnly }

// Name is unique in the fleet. Settings of the PostgreSQL front form it as
// team/account.
func (a Account) Name() string { return a.name }

// Rate is the limit in statements per second, counted over all hosts.
func (a Account) Rate() float64 { return a.rate }

// Burst is the limit in statements at once, counted over all hosts.
func (a Account) Burst() float64 { return a.burst }
