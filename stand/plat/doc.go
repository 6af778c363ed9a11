// Package plat is a small stand-in for the platform's key-value service, for
// tests and for trying the proxy out.
//
// It offers the published subset of Consul's HTTP API that the proxy uses: keys
// with compare-and-swap and blocking queries, transactions, sessions with a TTL
// that hold locks, and the host list as a catalog service. State is in memory and
// belongs to one process; there is no replication.
//
// # Indexes
//
// Every change takes the next index. A key remembers the index of its last
// change (ModifyIndex), and a listing of a prefix carries the greatest index of
// any change below it, removals included.
//
// # Faults
//
// [Faults] switches misbehaviour on and off while the server runs: delay, being
// down, losing answers after the change took effect, answering reads from a past
// state, and a lagging host list. They are set by [Server.SetFaults] or by PUT
// /standin/faults, also on the control address, which stays up when the service
// is down. GET /standin/counts returns the [Counts] of calls.
package plat
