// Package host runs one entry host: it joins the duties of the other packages.
//
// Every host runs the same duties. The settings in force reach them through one
// place, [Host.apply], each time a new revision is taken. Duties that need one
// owner in a failure domain, such as observing a database group, decide that
// among themselves by rank.
//
// The order of starting is: settings, peers, observation and limits, and callers
// last; the order of stopping is the reverse, so that a running transaction finds
// all it needs until it ends.
package host
