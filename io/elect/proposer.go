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
func (e *Elector) proposers(group string) proposers {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.proposersByGroup[group]
	if !ok {
		p.rank = -1
	}
	return p
}

// updateRanks ranks the proposers of every group again if hosts or groups have
// changed.
func (e *Elector) updateRanks() {
	domains, hash := e.liveHosts()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.proposersByGroup != nil && e.liveHostsHash == hash {
		return
	}
	e.liveHostsHash = hash
	e.proposersByGroup = make(map[string]proposers, len(e.monitors))
	for g := range e.monitors {
		e.proposersByGroup[g] = e.rankProposers(g, domains)
	}
}

// liveHosts returns the live hosts of each failure domain, and a hash of them.
func (e *Elector) liveHosts() (hosts map[string][]string, hash uint64) {
	hosts = map[string][]string{
		e.Self.Domain(): {e.Self.Name()},
	}
	if e.Members == nil {
		return hosts, 0
	}
	for _, h := range e.Members.Alive() {
		if h.Name() == e.Self.Name() {
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

func (e *Elector) rankProposers(group string, domains map[string][]string) proposers {
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
		rank:      slices.Index(slices.Concat(first, second), e.Self.Name()),
	}
}
