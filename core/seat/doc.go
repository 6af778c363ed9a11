// Package seat decides which seats of its failure domain a host holds, and until
// when it may use them.
//
// # Seats and leases
//
// A failure domain's part of every limit is divided between numbered seats. A
// seat has two keys in the platform's store: a record of its last taking, whose
// version tells takings apart, and a lock that lives as long as the platform
// session of its holder. A host takes a free seat by compare-and-swap on both.
// Only hosts of the domain take its seats, so when the domain is cut off from the
// platform nobody takes them elsewhere.
//
// A renewal that was answered gives the holder a lease from the moment it was
// sent, shorter than the session's time to live: by the time the platform frees
// the lock, the holder's lease is over by the holder's own clock. A paused
// process reads that clock when it resumes, at its next use.
//
// # Confirmation
//
// While the store can't be reached a holder asks the other hosts of its domain,
// its mates. A mate that reaches the store renews the session for it, or reports
// its end. If no mate that answers reaches the store or knows of a later taking,
// the seats are confirmed for a short period, from when they were asked. Assumed:
// cuts run between failure domains, so a mate that doesn't answer is dead or
// paused, and serves nothing. A holder whose lease had already lapsed when the
// confirmations began waits, because a mate may have held the seat in between and
// died.
//
// # Taking over
//
// A new holder of a seat that was not handed back waits for the longest
// confirmation of the old one before it starts, and must be running all that time:
// the mates of a paused host take its silence for death. Loans end with the lease or
// confirmation that they were made under. A holder that hands a seat back writes
// how long its last loan still lasts, usually not at all, and the tokens that are
// left.
//
// # Layout
//
// The number of seats and of domains, the layout, is a key of its own. Every
// taking requires its version, and it changes only while no seat is locked, so
// seats of two layouts are never held at once.
package seat
