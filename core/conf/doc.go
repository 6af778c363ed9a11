// Package conf parses settings into typed values and validates them.
//
// # Settings by path
//
// Operators keep settings in the platform's store, one small value in JSON with
// comments at each path:
//
//	fleet/defaults                  limits that apply to the whole fleet
//	fleet/domains/<domain>          a failure domain and its seats
//	fleet/groups/<group>            a database group
//	fleet/teams/<team>              the groups that a team may reach
//	teams/<team>/accounts/<account> a client account: rate, burst, weight
//	teams/<team>/keys/<key>         a key that callers authenticate with
//	teams/<team>/routes/<route>     a name under which callers reach a group
//
// Write access below fleet controls which groups a team may reach; a team writes only
// below its own subtree.
//
// # Snapshots
//
// [Parse] reads all settings into a [Fleet], an immutable snapshot. Each error is a
// [Problem] with path, line, column, what was found and what is accepted. An invalid
// value is left out and does not affect others, except those that refer to it.
// [Merge] does the same on top of an earlier snapshot and keeps the last valid value
// where the new one is invalid; a value that was removed is not kept.
//
// # Process settings
//
// Settings that differ from host to host, such as addresses and the failure domain,
// are a [Host], which a [Loader] reads from flags, the environment or a file and
// validates in the same way. An [EntrySettings] holds the process settings of an entry host
// on the users' platform.
package conf
