// Package admin serves a host's admin port over HTTP: metrics, health checks, and
// the status and the recorded decisions that the command line shows.
//
//	GET  /metrics     metrics in the Prometheus text format
//	GET  /live        200 while the process runs
//	GET  /ready       200 while the host accepts new callers, otherwise 503 with the reason
//	GET  /v1/status   a [Status]
//	GET  /v1/explain  the decisions that match the query, as a list of events.View
//	POST /v1/drain    202; starts a graceful shutdown
//	POST /v1/upstreams/{name}/drain  202, or 404 if there is no such upstream;
//	                  announces to the fleet that the upstream leaves
//	GET  /debug/pprof/  profiles of the process, see package net/http/pprof
//
// The port has no authentication. It must listen on an address that only operators
// and monitoring can reach.
package admin
