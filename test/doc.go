// Package test holds the integration tests. Each test starts a fleet: entry hosts,
// database stand-ins and the platform stand-in run as separate processes, and
// relays inside the test process inject network faults between them. A fleet's
// failure domains have separate loopback addresses, so that a relay knows between
// which domains it forwards.
//
// With -measure the package also runs the measurements of load and of idle cost.
package test
