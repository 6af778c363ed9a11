// Package admin serves a host's admin port over HTTP: metrics, readiness and
// liveness, and the status and explanations that the command line shows.
//
//	GET  /metrics     metrics in the Prometheus text form
//	GET  /live        200 while the process can answer at all
//	GET  /ready       200 while the host takes new callers, 503 with the reason else
//	GET  /v1/status   a [Status]
//	GET  /v1/explain  the decisions that match, as a list of journ.View
//	POST /v1/drain    starts a graceful shutdown, 202
//	GET  /debug/pprof/  profiles of the process, as package pprof serves them
//
// The port has no login of its own. It belongs on an address that only operators
// and monitoring reach.
package admin
