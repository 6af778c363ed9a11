package seat

import (
	"strconv"

	"coltsfootloft/core/rank"
)

// Assign returns the host that each seat from 1 to seats is assigned to. It uses
// rendezvous hashing: no host gets more than an equal share, rounded up, and the
// loss of a host moves few seats of the others.
func Assign(domain string, seats int, hosts []string) map[int]string {
	r := make(map[int]string, seats)
	if len(hosts) == 0 {
		return r
	}
	maxSeats := (seats + len(hosts) - 1) / len(hosts)
	load := make(map[string]int, len(hosts))
	for n := 1; n <= seats; n++ {
		for _, h := range rank.Order(domain+"/"+strconv.Itoa(n), hosts) {
			if load[h] < maxSeats {
				load[h]++
				r[n] = h
				break
			}
		}
	}
	return r
}
