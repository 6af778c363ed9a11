// Package member keeps this host's view of the fleet: the platform's lagging list
// of hosts, corrected by heartbeats.
//
// # Heartbeats
//
// Every host heartbeats the few neighbours that core/beat gives it, whatever the
// size of the fleet. A neighbour that doesn't answer is probed by two other hosts;
// only if they don't reach it either is it suspected, and it has two seconds to
// contradict. Whatever is new in a heartbeat is passed on at once rather than with
// the next period, so news crosses the fleet in a few link delays. Hosts held to
// be dead are tried again, one a period, so that a healed partition is noticed.
//
// # The platform's list
//
// Two hosts of each failure domain poll the list and pass on what has changed, so
// that calls to the store grow with failure domains. A starting host reads it once
// itself. With the platform down a host finds the fleet through Bootstrap.
//
// # Upstreams that leave
//
// That an upstream leaves is news like any other, whether it came from the list or
// by [View.Announce]; it reaches every host that any host with the news can reach.
//
// # Settings revisions
//
// Each heartbeat carries the sender's revision of the settings. [View.Revisions]
// collects those of all hosts, by one host of each failure domain.
package member
