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
	ranked := make([]candidate, len(hosts))
	for i, h := range hosts {
		ranked[i] = candidate{
			host:   h,
			weight: weight(duty, h),
		}
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.weight, a.weight),
			cmp.Compare(a.host, b.host),
		)
	})
	r := make([]string, len(hosts))
	for i, c := range ranked {
		r[i] = c.host
	}
	return r
}

type candidate struct {
	host   string
	weight uint64
}

func weight(duty, host string) uint64 {
	return xxhash.Sum64String(duty + "\x00" + host)
}
