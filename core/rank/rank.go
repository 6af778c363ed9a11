// Package rank orders hosts for a duty by rendezvous hashing.
//
// Every host computes the same order from the same host names, without a
// message. When a host is lost only the duties it stood first for move, each to
// the host that stood second.
package rank

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns hosts sorted by their rank for the duty, first choice first.
func Order(duty string, hosts []string) []string {
	return Sized(duty, hosts, func(string) float64 { return 1 })
}

// Sized returns hosts sorted by their rank for the duty, where a host comes first
// in proportion to its size. Hosts of equal size stand as Order has them, and a
// loss moves only the host's own duties. A size of 0 or less counts as the least.
func Sized(duty string, hosts []string, size func(host string) float64) []string {
	type sized struct {
		host string
		cost float64
	}
	ranked := make([]sized, len(hosts))
	for i, h := range hosts {
		// The least of exponential variables, each with its size as rate, is that
		// of a host with a chance in proportion to the size.
		uniform := (float64(weight(duty, h)) + 1) / (math.MaxUint64 + 1)
		ranked[i] = sized{
			host: h,
			cost: -math.Log(uniform) / max(size(h), leastSize),
		}
	}
	slices.SortFunc(ranked, func(a, b sized) int {
		return cmp.Or(
			cmp.Compare(a.cost, b.cost),
			cmp.Compare(a.host, b.host),
		)
	})
	r := make([]string, len(hosts))
	for i, s := range ranked {
		r[i] = s.host
	}
	return r
}

// leastSize keeps a size that is not known out of the denominator.
const leastSize = 1e-3

func weight(duty, host string) uint64 {
	return xxhash.Sum64String(duty + "\x00" + host)
}
