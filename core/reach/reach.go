// Package reach decides whether the store is silent to one host alone or to all hosts.
//
// At the start of an outage every host knows of answers that others got just before it, and
// at its end some hosts get answers before others do. So an answer to another host counts only
// if it was to a call made between two calls of this host that got none.
package reach

import "time"

// Judge compares this host's calls to the store with those of other hosts. The zero value is
// ready for use. It is not safe for concurrent use.
type Judge struct {
	first time.Duration
	other time.Duration // a call of another host after first that was answered; 0 if none is known
}

// IsAlone reports whether the store answered another host between two calls of this host that it
// did not answer. First and last are when the first and the latest of these were sent, and
// reached is the latest time at which another host is known to have made a call that was
// answered; all are on this host's clock.
func (j *Judge) IsAlone(first, last, reached time.Duration) bool {
	if first != j.first {
		*j = Judge{first: first}
	}
	if j.other == 0 && reached > first {
		j.other = reached
	}
	return j.other > 0 && j.other <= last
}

// Suspects reports whether another host is known to have got an answer since the first call of
// this host without one. Another call shows whether this host still gets none.
func (j *Judge) Suspects() bool { return j.other > 0 }
