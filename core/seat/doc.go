// Package seat decides which seats of its failure domain a host holds, and until
// when it may use them.
//
// # Seats and leases
//
// A failure domain's share of every limit is divided into numbered seats; a host
// may use the part of each seat that it holds. A seat has two keys in the platform's
// store: a record of its last acquisition, whose version identifies that
// acquisition, and a lock that lasts as long as the holder's platform session. A
// host takes a free seat by compare-and-swap on both keys. Only hosts of the failure
// domain take its seats, so while the domain is cut off from the platform no host
// outside of it takes them.
//
// A successful renewal of the session gives the holder a lease that runs from when
// the renewal was sent and is shorter than the session's time to live. By the time
// the platform frees the lock, the lease has expired by the holder's own clock. A
// process that was paused reads that clock at its next use of a seat.
//
// # Confirmation
//
// While a holder can't reach the store, it asks its peers, the other hosts of its
// failure domain. A peer that reaches the store renews the session for the holder,
// or reports that the session has ended. If no peer that answers can reach the store
// or knows of a later acquisition, the seats are confirmed for a short period from
// when the peers were asked. This assumes that network partitions run between
// failure domains, so that a peer that doesn't answer is dead or paused and serves
// nothing. If the lease had already expired before the first confirmation, the
// holder waits until the confirmations have lasted long enough, because a peer may
// have held the seat in between and died.
//
// # Taking over
//
// The new holder of a seat that was not handed back waits for the longest
// confirmation of the old holder before it uses the seat. It must run without a
// pause all that time, because the old holder takes a paused peer for a dead one.
// Loans end with the lease or confirmation under which they were made. A holder that
// hands a seat back stores how long its last loan still lasts, usually zero, and the
// tokens that are left.
//
// # Layout
//
// The layout, which is the number of seats and of failure domains, has a key of its
// own. Every acquisition requires its current version, and it changes only while no
// seat is locked, so seats of two layouts are never held at once.
package seat
