package relay

import (
	"sync"

	"coltsfootloft/core/rank"
	"coltsfootloft/io/lanes"
	"coltsfootloft/io/mirror"
)

const (
	// share is the part of a database's connections that keepers divide; the
	// rest is for probes, for hosts whose keeper is out of reach, and for the
	// connections of hosts that died, which a database keeps for 3 s.
	share = 0.8
	// keepers is how many hosts keep the connections to one database: so few that
	// what they have outstanding there can be bounded, and enough that none has
	// much of it to carry.
	keepers = 5
	// usualSlots is how many statements a database runs at a time, where its
	// entry does not say.
	usualSlots = 2
	// depth is how many times that is outstanding at a database over all its
	// keepers: enough that it is never idle between two statements, and few enough
	// that what it has begun is answered within a usual target latency.
	depth = 4
	// spare is how many connections a host may open to a database of whose
	// accounts it keeps none, while their keeper is out of reach.
	spare = 1
)

// Keepers says which host keeps the connections of an account to a database: the
// first in rendezvous order among the hosts of the database's failure domain, or
// of all where it has none. Its fields are set before use.
type Keepers struct {
	// Self is this host's name.
	Self string
	// Mirror has the hosts, databases and accounts.
	Mirror *mirror.Mirror

	mu      sync.Mutex
	version uint64 // of the hosts that the cache was made for
	cache   map[pair][]string
	hosts   map[string][]string // by database
}

type pair struct{ database, account string }

// Of returns the hosts that may keep the connections, the first choice first.
func (k *Keepers) Of(database, account string) []string {
	v := k.Mirror.View()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh(v)
	p := pair{
		database: database,
		account:  account,
	}
	order, ok := k.cache[p]
	if !ok {
		order = rank.Sized("lane/"+database+"/"+account, k.ofDatabase(v, database), v.SizeOf)
		k.cache[p] = order
	}
	return order
}

// refresh forgets what was chosen among other hosts.
func (k *Keepers) refresh(v *mirror.View) {
	if k.cache == nil || k.version != v.HostsVersion {
		k.cache = make(map[pair][]string)
		k.hosts = make(map[string][]string)
		k.version = v.HostsVersion
	}
}

// ofDatabase returns the hosts that keep connections to a database, which are the
// first in rendezvous order.
func (k *Keepers) ofDatabase(v *mirror.View, database string) []string {
	hosts, ok := k.hosts[database]
	if !ok {
		hosts = rank.Sized("lanes/"+database, candidates(v, database), v.SizeOf)
		hosts = hosts[:min(keepers, len(hosts))]
		k.hosts[database] = hosts
	}
	return hosts
}

func candidates(v *mirror.View, database string) []string {
	domain := v.Upstreams[database].Upstream.Domain()
	var near []string
	for _, h := range v.HostNames() {
		if v.Hosts[h].Domain == domain {
			near = append(near, h)
		}
	}
	if len(near) == 0 {
		return v.HostNames()
	}
	return near
}

// Limit is the most connections of this host to a database: one for each account
// that it keeps, and its accounts' parts of the rest by their rates.
func (k *Keepers) Limit(t lanes.Target) int {
	c := k.Mirror.View().Catalog
	if c == nil {
		return spare
	}
	all := float64(c.Connections[t.Group]) * share
	total := 0.0
	for _, a := range c.Accounts {
		total += a.Rate()
	}
	rest := max(all-float64(len(c.Accounts)+1), 0)
	mine := 0.0
	for name, a := range c.Accounts {
		if k.keeps(t.ID, name) {
			mine += 1 + rest*a.Rate()/max(total, 1)
		}
	}
	if k.keeps(t.ID, "") {
		mine++
	}
	if rest == 0 {
		// More accounts than connections: those of accounts that rest make room.
		mine = min(mine, all/float64(k.count(t.ID)))
	}
	return max(int(mine), spare)
}

// Outstanding is the most statements that this host may have at a database.
func (k *Keepers) Outstanding(t lanes.Target) int {
	slots := t.Slots
	if slots <= 0 {
		slots = usualSlots
	}
	n := k.count(t.ID)
	return (depth*slots + n - 1) / n
}

// count is how many hosts keep the connections to a database, at least 1.
func (k *Keepers) count(database string) int {
	v := k.Mirror.View()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refresh(v)
	return max(len(k.ofDatabase(v, database)), 1)
}

func (k *Keepers) keeps(database, account string) bool {
	order := k.Of(database, account)
	return len(order) > 0 && order[0] == k.Self
}
