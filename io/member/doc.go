// Package member keeps this host's view of the fleet: the platform's list of
// hosts, which may lag behind, corrected by heartbeats.
//
// # Heartbeats
//
// Every host sends heartbeats to a few neighbours, which its membership table
// chooses: at most five, whatever the size of the fleet. If a neighbour doesn't
// answer, two other hosts probe it. Only if they can't reach it either is it
// suspected, and it then has two seconds to refute that. News in a heartbeat is
// passed on at once rather than with the next period, so it crosses the fleet
// in a few link delays. Hosts considered dead are tried again, one per period,
// so that a healed partition is noticed.
//
// # The platform's list
//
// Two hosts of each failure domain poll the list and pass on changes, so that
// the number of calls to the store grows with the number of failure domains. A
// starting host reads the list once itself. While the platform is down, a
// starting host finds the fleet through Bootstrap.
//
// # Leaving upstreams
//
// The news that an upstream leaves spreads like any other, whether it comes
// from the list or from [View.Announce]. It reaches every host that can be
// reached from a host that knows it.
//
// # Settings revisions
//
// Each heartbeat carries the sender's revision of the settings.
// [View.Revisions] collects the revisions of all hosts, through one host of
// each failure domain.
package member
