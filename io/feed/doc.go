// Package feed distributes the raw settings from the platform's store to every host.
//
// # Relays
//
// In each failure domain, the two live hosts of highest rank are relays: they watch
// the store. The number of calls to the store therefore grows with the number of
// failure domains and not with the number of hosts. All other hosts receive the
// settings from hosts.
//
// # Push
//
// A relay that has read a new revision pushes the delta down a tree of its domain's
// hosts, of bounded fan-out. The trees of the two relays have different inner
// hosts, so that one dead host cuts off no other, and a host forwards the push in
// place of a child that doesn't answer. Relays of other domains are told only the
// revision.
//
// # Pull
//
// Heartbeats carry the revision of each host. A host that learns of a newer revision
// pulls the delta from the host that reported it, in any domain. A revision
// therefore reaches every host that can be reached from one that has it, also while
// the store is down, and a domain that was partitioned catches up after the first
// heartbeat that gets through.
//
// # Revisions never decrease
//
// Received settings are merged by core/delta, whose revision never decreases. A
// store that returns stale data, or was restored to an earlier state, has no effect
// until its index has passed the revision in force. Hosts persist nothing, so a
// starting host asks other hosts before it trusts the store.
package feed
