package elect

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootloft/core/rank"
)

// proposers is who may propose for a group.
type proposers struct {
	// first are the hosts that observe it, one in each failure domain, by rank.
	first []string
	// rank is this host's place, the first before the second in rank of each
	// domain, and -1 if it isn't among them.
	rank int
}

// proposers returns who may propose for the group.
func (d *Elector) proposers(group string) proposers {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.ranked[group]
	if !ok {
		p.rank = -1
	}
	return p
}

// rank orders the proposers of every group anew if hosts or groups have changed.
func (d *Elector) rank() {
	domains, members := d.domains()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ranked != nil && d.members == members {
		return
	}
	d.members = members
	d.ranked = make(map[string]proposers, len(d.keepers))
	for g := range d.keepers {
		d.ranked[g] = d.order(g, domains)
	}
}

// domains returns the live hosts of each failure domain, and a hash of them.
func (d *Elector) domains() (hosts map[string][]string, hash uint64) {
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

func (d *Elector) order(group string, domains map[string][]string) proposers {
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
		first: first,
		rank:  slices.Index(slices.Concat(first, second), d.Self.Name()),
	}
}
