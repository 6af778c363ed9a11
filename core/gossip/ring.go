package gossip

import (
	"maps"
	"math"
	"slices"

	"coltsfootloft"
	"coltsfootloft/core/rank"
)

// probeHelpers is the number of hosts that are asked to probe a host that does
// not answer.
const probeHelpers = 2

// Alive returns the entry hosts that are not dead, sorted by name.
func (t *Table) Alive() []coltsfootloft.HostRecord {
	var all []coltsfootloft.HostRecord
	for _, m := range t.Members() {
		if m.status != Dead && !m.record.Upstream() {
			all = append(all, m.record)
		}
	}
	return all
}

// Lost returns the names of the entry hosts that are dead, sorted.
func (t *Table) Lost() []string {
	var all []string
	for _, m := range t.Members() {
		if m.status == Dead && !m.record.Upstream() {
			all = append(all, m.record.Name())
		}
	}
	return all
}

// Neighbours returns the names of the hosts, at most five, to which this host
// sends heartbeats.
func (t *Table) Neighbours() []string {
	if t.neighbours == nil {
		t.neighbours = t.chooseNeighbours()
	}
	return slices.Clone(t.neighbours)
}

func (t *Table) chooseNeighbours() []string {
	ownDomain := t.Self().record.Domain()
	rings := make(map[string][]string)
	for _, h := range t.Alive() {
		rings[h.Domain()] = append(rings[h.Domain()], h.Name())
	}
	index := slices.Index(rings[ownDomain], t.self)
	all := ringNeighbours(rings[ownDomain], index)
	domains := slices.Sorted(maps.Keys(rings))
	n := len(domains)
	domainIndex := slices.Index(domains, ownDomain)
	for _, d := range []int{1, max(2, n/2)} {
		if d >= n {
			continue
		}
		ring := rings[domains[(domainIndex+d)%n]]
		all = append(all, ring[index%len(ring)])
	}
	return all
}

// ringNeighbours returns the hosts at distances 1, n^(1/3) and n^(2/3) from the
// host at index from on the ring of n hosts.
func ringNeighbours(ring []string, from int) []string {
	n := len(ring)
	third := math.Cbrt(float64(n))
	var all []string
	for _, d := range []int{1, int(math.Round(third)), int(math.Round(third * third))} {
		name := ring[(from+d)%n]
		if d%n != 0 && !slices.Contains(all, name) {
			all = append(all, name)
		}
	}
	return all
}

// Helpers returns the hosts to ask for a probe of a host that does not answer.
func (t *Table) Helpers(host string) []string {
	var names []string
	for _, h := range t.Alive() {
		if h.Name() != host && h.Name() != t.self {
			names = append(names, h.Name())
		}
	}
	order := rank.Order("probe/"+t.self+"/"+host, names)
	return order[:min(probeHelpers, len(order))]
}
