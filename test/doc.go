// Package test holds the integration tests, which run hosts, databases, the
// platform and fault-injecting relays as processes of their own.
package test
