// Package rank orders hosts for a key by rendezvous hashing.
//
// Every host computes the same order from the same host names, without
// communication. When a host is lost, only the keys for which it was first move,
// each to the host that was second. A key names what is to be assigned to a host,
// such as a duty or an account.
package rank

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns the hosts sorted by their rank for the key, first choice first.
func Order(key string, hosts []string) []string {
	return Weighted(key, hosts, func(string) float64 { return 1 })
}

// Weighted returns the hosts sorted by their rank for the key, where each host comes
// first in proportion to its size. Hosts of equal size have the same order as in
// Order, and the loss of a host moves only the keys for which it was first. A
// size of 0 or less counts as the least size.
func Weighted(key string, hosts []string, size func(host string) float64) []string {
	type candidate struct {
		host string
		cost float64
	}
	ranked := make([]candidate, len(hosts))
	for i, h := range hosts {
		// The minimum of exponential variables with the sizes as rates belongs to
		// each host with a probability in proportion to its size.
		uniform := (float64(hash(key, h)) + 1) / (math.MaxUint64 + 1)
		ranked[i] = candidate{
			host: h,
			cost: -math.Log(uniform) / max(size(h), minSize),
		}
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
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

// minSize is the least size. It avoids a division by zero for sizes that are
// unknown.
const minSize = 1e-3

func hash(key, host string) uint64 {
	return xxhash.Sum64String(key + "\x00" + host)
}
