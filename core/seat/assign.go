package seat

import (
	"strconv"

	"coltsfootloft/core/rank"
)

// Assign returns the host that each seat from 1 to seats belongs to. No host has
// more than its equal part, rounded up, and the loss of a host moves few seats of
// the others.
func Assign(domain string, seats int, hosts []string) map[int]string {
	r := make(map[int]string, seats)
	if len(hosts) == 0 {
		return r
	}
	most := (seats + len(hosts) - 1) / len(hosts)
	load := make(map[string]int, len(hosts))
	for n := 1; n <= seats; n++ {
		for _, h := range rank.Order(domain+"/"+strconv.Itoa(n), hosts) {
			if load[h] < most {
				load[h]++
				r[n] = h
				break
			}
		}
	}
	return r
}
