package loan

import (
	"slices"
	"strconv"

	"coltsfootloft/core/rank"
)

// Split divides a whole number into equal parts that sum to it. The remainder is
// spread one each over the first parts in the rendezvous order for the name, so that
// the remainders of different names go to different parts.
func Split(name string, whole int, parts []string) map[string]int {
	r := make(map[string]int, len(parts))
	for i, p := range rank.Order(name, parts) {
		r[p] = whole / len(parts)
		if i < whole%len(parts) {
			r[p]++
		}
	}
	return r
}

// OwningSeats returns the numbers of the seats, at most n out of 1 to seats, between which
// the failure domain's part of the named limit is divided.
func OwningSeats(name, domain string, seats, n int) []int {
	all := make([]string, seats)
	for i := range all {
		all[i] = strconv.Itoa(i + 1)
	}
	order := rank.Order(name+"\x00"+domain, all)
	order = order[:min(n, seats)]
	r := make([]int, len(order))
	for i, s := range order {
		r[i], _ = strconv.Atoi(s)
	}
	slices.Sort(r)
	return r
}
