package relay

import (
	"sync"

	"coltsfootloft/core/rank"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/mirror"
)

const (
	// ownedShare is the part of a database's connections that the owners divide among
	// themselves. The rest is for probes, for hosts that can't reach the owner, and
	// for the connections of hosts that died, which a database keeps for 3 s.
	ownedShare = 0.8
	// ownersPerDatabase is how many hosts own connections to one database: few enough
	// to bound what they have outstanding there, and enough that no host has to carry
	// much of the load.
	ownersPerDatabase = 5
	// defaultSlots is how many statements a database runs at a time if its entry in
	// the store does not say.
	defaultSlots = 2
	// queueDepth is the number of outstanding statements over all owners, as a
	// multiple of the slots of a database: enough that the database is never idle
	// between two statements, and few enough that it answers what it has begun within
	// a typical target latency.
	queueDepth = 4
	// minConns is how many connections a host may open to a database of which it owns
	// none, for use while the owner can't be reached.
	minConns = 1
)

// Owners decides which host owns the connections of an account to a database: the first
// in rendezvous order among the hosts of the database's failure domain, or among all hosts
// if that domain has none. The exported fields are set before use; the methods are safe
// for concurrent use.
type Owners struct {
	// Self is this host's name.
	Self string
	// Mirror has the hosts, databases and accounts.
	Mirror *mirror.Mirror

	mu      sync.Mutex
	version uint64 // of the set of hosts that the caches are valid for
	cache   map[cacheKey][]string
	hosts   map[string][]string // owners, by database
}

type cacheKey struct{ database, account string }

// Of returns the hosts that may own the connections of an account to a database, in order
// of preference.
func (o *Owners) Of(database, account string) []string {
	v := o.Mirror.View()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.invalidate(v)
	p := cacheKey{
		database: database,
		account:  account,
	}
	order, ok := o.cache[p]
	if !ok {
		order = rank.Weighted("lane/"+database+"/"+account, o.ofDatabase(v, database), v.SizeOf)
		o.cache[p] = order
	}
	return order
}

// invalidate clears the cache if the set of hosts has changed.
func (o *Owners) invalidate(v *mirror.View) {
	if o.cache == nil || o.version != v.HostsVersion {
		o.cache = make(map[cacheKey][]string)
		o.hosts = make(map[string][]string)
		o.version = v.HostsVersion
	}
}

// ofDatabase returns the hosts that own connections to a database, which are the
// first ones in rendezvous order.
func (o *Owners) ofDatabase(v *mirror.View, database string) []string {
	hosts, ok := o.hosts[database]
	if !ok {
		hosts = rank.Weighted("lanes/"+database, candidates(v, database), v.SizeOf)
		hosts = hosts[:min(ownersPerDatabase, len(hosts))]
		o.hosts[database] = hosts
	}
	return hosts
}

func candidates(v *mirror.View, database string) []string {
	domain := v.Upstreams[database].Upstream.Domain()
	var local []string
	for _, h := range v.HostNames() {
		if v.Hosts[h].Domain == domain {
			local = append(local, h)
		}
	}
	if len(local) == 0 {
		return v.HostNames()
	}
	return local
}

// Limit returns the maximum number of connections of this host to a database: one for
// each account that it owns, and a share of the remaining ones in proportion to the
// rates of these accounts.
func (o *Owners) Limit(t dbpool.Target) int {
	c := o.Mirror.View().Settings
	if c == nil {
		return minConns
	}
	owned := float64(c.Connections[t.Group]) * ownedShare
	total := 0.0
	for _, a := range c.Accounts {
		total += a.Rate()
	}
	rest := max(owned-float64(len(c.Accounts)+1), 0)
	limit := 0.0
	for name, a := range c.Accounts {
		if o.owns(t.ID, name) {
			limit += 1 + rest*a.Rate()/max(total, 1)
		}
	}
	if o.owns(t.ID, "") {
		limit++
	}
	if rest == 0 {
		// There are more accounts than connections. Accounts that are idle give up theirs.
		limit = min(limit, owned/float64(o.ownerCount(t.ID)))
	}
	return max(int(limit), minConns)
}

// Outstanding returns the maximum number of statements that this host may have
// outstanding at a database.
func (o *Owners) Outstanding(t dbpool.Target) int {
	n := o.ownerCount(t.ID)
	return (queueDepth*slotsOf(t) + n - 1) / n
}

// SlotShare returns the part of a database's slots that falls to each of its owners, and how
// many owners there are.
func (o *Owners) SlotShare(t dbpool.Target) (slots float64, owners int) {
	owners = o.ownerCount(t.ID)
	return float64(slotsOf(t)) / float64(owners), owners
}

func slotsOf(t dbpool.Target) int {
	if t.Slots <= 0 {
		return defaultSlots
	}
	return t.Slots
}

// ownerCount returns how many hosts own connections to a database, at least 1.
func (o *Owners) ownerCount(database string) int {
	v := o.Mirror.View()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.invalidate(v)
	return max(len(o.ofDatabase(v, database)), 1)
}

func (o *Owners) owns(database, account string) bool {
	order := o.Of(database, account)
	return len(order) > 0 && order[0] == o.Self
}
