// Package host assembles and runs one entry host: a proxy process that accepts
// callers and forwards their statements to the databases.
//
// [Build] constructs a [Host] from the packages that do the work, with constructors
// injected by Wire. Every host runs the same background tasks: membership, settings,
// observation of the databases, election of primaries, limits and the admin port.
// [Host.apply] is the only place that passes a new settings revision to them. Tasks
// that need one owner in a failure domain, such as observing a database group,
// choose it among the hosts by rank.
//
// A host accepts callers last: it first waits for settings and for its part of the
// limits. It stops in the reverse order, so that a running transaction has all that
// it needs until it ends: callers first, then the tasks, then the links between
// hosts.
package host
