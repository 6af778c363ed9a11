package beat

import (
	"maps"
	"math"
	"slices"

	"coltsfootloft"
	"coltsfootloft/core/rank"
)

// helpers is the number of hosts asked to probe one that doesn't answer.
const helpers = 2

// Alive returns the entry hosts that are not dead, by name.
func (t *Table) Alive() []coltsfootloft.HostRecord {
	var all []coltsfootloft.HostRecord
	for _, m := range t.Members() {
		if m.status != Dead && !m.record.Upstream() {
			all = append(all, m.record)
		}
	}
	return all
}

// Lost returns the entry hosts that are dead, by name.
func (t *Table) Lost() []string {
	var all []string
	for _, m := range t.Members() {
		if m.status == Dead && !m.record.Upstream() {
			all = append(all, m.record.Name())
		}
	}
	return all
}

// Neighbours returns the hosts that this one heartbeats, at most five.
func (t *Table) Neighbours() []string {
	if t.neighbours == nil {
		t.neighbours = t.choose()
	}
	return slices.Clone(t.neighbours)
}

func (t *Table) choose() []string {
	own := t.Self().record.Domain()
	rings := make(map[string][]string)
	for _, h := range t.Alive() {
		rings[h.Domain()] = append(rings[h.Domain()], h.Name())
	}
	place := slices.Index(rings[own], t.self)
	all := steps(rings[own], place)
	domains := slices.Sorted(maps.Keys(rings))
	n := len(domains)
	at := slices.Index(domains, own)
	for _, d := range []int{1, max(2, n/2)} {
		if d >= n {
			continue
		}
		ring := rings[domains[(at+d)%n]]
		all = append(all, ring[place%len(ring)])
	}
	return all
}

// steps returns the hosts at distances 1, n^(1/3) and n^(2/3) on the ring.
func steps(ring []string, from int) []string {
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

// Helpers returns the hosts to ask for a probe of one that doesn't answer.
func (t *Table) Helpers(host string) []string {
	var names []string
	for _, h := range t.Alive() {
		if h.Name() != host && h.Name() != t.self {
			names = append(names, h.Name())
		}
	}
	order := rank.Order("probe/"+t.self+"/"+host, names)
	return order[:min(helpers, len(order))]
}
