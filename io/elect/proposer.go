package elect

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootloft/core/rank"
)

// proposers are the hosts that may propose for a group.
type proposers struct {
	// observers are the hosts that observe the group, one in each failure
	// domain, by rank.
	observers []string
	// rank is the position of this host among the proposers: the observers come
	// first, then the second host by rank of each domain. It is -1 if this host
	// is not a proposer.
	rank int
}

// proposers returns the proposers of the group.
func (d *Elector) proposers(group string) proposers {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.proposersByGroup[group]
	if !ok {
		p.rank = -1
	}
	return p
}

// updateRanks ranks the proposers of every group again if hosts or groups have
// changed.
func (d *Elector) updateRanks() {
	domains, hash := d.liveHosts()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.proposersByGroup != nil && d.liveHostsHash == hash {
		return
	}
	d.liveHostsHash = hash
	d.proposersByGroup = make(map[string]proposers, len(d.monitors))
	for g := range d.monitors {
		d.proposersByGroup[g] = d.rankProposers(g, domains)
	}
}

// liveHosts returns the live hosts of each failure domain, and a hash of them.
func (d *Elector) liveHosts() (hosts map[string][]string, hash uint64) {
	hosts = map[string][]string{
		d.Self.Domain(): {d.Self.Name()},
	}
	if d.Members == nil {
		return hosts, 0
	}
	for _, h := range d.Members.Alive() {
		if h.Name() == d.Self.Name() {
			continue
		}
		hosts[h.Domain()] = append(hosts[h.Domain()], h.Name())
	}
	x := xxhash.New()
	for _, n := range slices.Sorted(maps.Keys(hosts)) {
		slices.Sort(hosts[n])
		for _, h := range hosts[n] {
			_, _ = x.WriteString(n + "\x00" + h + "\x00")
		}
	}
	return hosts, x.Sum64()
}

func (d *Elector) rankProposers(group string, domains map[string][]string) proposers {
	var first, second []string
	for _, hosts := range domains {
		hosts = rank.Order("watch/"+group, hosts)
		first = append(first, hosts[0])
		if len(hosts) > 1 {
			second = append(second, hosts[1])
		}
	}
	first = rank.Order("elect/"+group, first)
	second = rank.Order("elect/"+group, second)
	return proposers{
		observers: first,
		rank:      slices.Index(slices.Concat(first, second), d.Self.Name()),
	}
}
