// Package feed brings the raw settings from the platform's store to every host.
//
// # Relays
//
// In each failure domain the two hosts that stand first by rank watch the store.
// The number of calls to the store therefore grows with failure domains and not
// with hosts. All other hosts learn from hosts.
//
// # Push
//
// A relay that has taken a new revision sends the delta down a tree of its domain's
// hosts, of bounded fan-out. The trees of the two relays have different inner
// hosts, so that one dead host cuts nobody off, and a host passes on in place of a
// child that doesn't answer. Relays of other domains are told of the revision.
//
// # Pull
//
// Heartbeats carry the revision of each host. A host that hears of a newer one
// pulls the delta from where it heard it, across domains too. So news reaches
// every host that any host with the news can reach, also when the store is down,
// and a domain that was cut off catches up by the first heartbeat after it.
//
// # Never back
//
// What comes in is merged by core/delta, whose revision only rises. A store that
// answers old data, or was restored to an earlier state, changes nothing until it
// has numbered a newer change. Hosts keep nothing, so a host that starts asks
// other hosts before it believes the store.
package feed
