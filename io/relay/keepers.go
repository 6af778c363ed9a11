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
}

type pair struct{ database, account string }

// Of returns the hosts that may keep the connections, the first choice first.
func (k *Keepers) Of(database, account string) []string {
	v := k.Mirror.View()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cache == nil || k.version != v.HostsVersion {
		k.cache = make(map[pair][]string)
		k.version = v.HostsVersion
	}
	p := pair{
		database: database,
		account:  account,
	}
	order, ok := k.cache[p]
	if !ok {
		order = rank.Sized("lane/"+database+"/"+account, candidates(v, database), v.SizeOf)
		k.cache[p] = order
	}
	return order
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
	return max(int(mine), spare)
}

func (k *Keepers) keeps(database, account string) bool {
	order := k.Of(database, account)
	return len(order) > 0 && order[0] == k.Self
}
