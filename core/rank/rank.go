// Package rank orders hosts for a duty by rendezvous hashing.
//
// Every host computes the same order from the same host names, without a
// message. When a host is lost only the duties it stood first for move, each to
// the host that stood second.
package rank

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Order returns hosts sorted by their rank for the duty, first choice first.
func Order(duty string, hosts []string) []string {
	r := slices.Clone(hosts)
	slices.SortFunc(r, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(weight(duty, b), weight(duty, a)),
			cmp.Compare(a, b),
		)
	})
	return r
}

func weight(duty, host string) uint64 {
	return xxhash.Sum64String(duty + "\x00" + host)
}
