// Package consul is a small stand-in for the platform's key-value service, for tests
// and for trying out the proxy.
//
// It offers the subset of Consul's published HTTP API that the proxy uses: keys with
// compare-and-swap and blocking queries, transactions, sessions with a TTL that hold
// locks, and the host list as a catalog service. Its state is kept in the memory of
// one process and is not replicated.
//
// # Indexes
//
// Every change takes the next index. A key holds the index of its last change
// (ModifyIndex). A listing of a prefix has the greatest index of the changes under
// it, including removals. A blocking query of keys waits until the index of its
// result exceeds the given one, a blocking query of the catalog until it differs.
//
// # Faults
//
// [Faults] are injected while the server runs: delayed calls, an unreachable service,
// answers that are lost after the change took effect, reads of a past state, and a
// host list that lags. They are set with [Server.SetFaults] or PUT /standin/faults.
// The control address serves /standin/faults too, and stays up while the service is
// down. GET /standin/counts returns the [Counts] of calls.
package consul
