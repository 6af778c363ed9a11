// Package conf turns settings into typed values and checks every one of them.
//
// # Settings by path
//
// Operators keep settings in the platform's store, one small value in JSON with
// comments at each path:
//
//	fleet/defaults                  bounds that hold for the whole fleet
//	fleet/domains/<domain>          a failure domain and its seats
//	fleet/groups/<group>            a database group
//	fleet/teams/<team>              the groups that a team may reach
//	teams/<team>/accounts/<account> a client account: rate, burst, weight
//	teams/<team>/keys/<key>         a key that callers present
//	teams/<team>/routes/<route>     a name under which callers reach a group
//
// Whoever may write below fleet decides what a team may reach; a team writes
// only below its own subtree.
//
// # Snapshots
//
// [Parse] reads all settings into a [Fleet], an immutable snapshot. Each thing
// that is wrong is a [Problem] with path, line, column, what was found and what
// is accepted. A bad value is left out and spoils no other. [Merge] does the
// same on top of an earlier snapshot and keeps the last good value where the new
// one is bad; a value that was removed is not kept.
//
// # Process settings
//
// What differs from host to host, its addresses and failure domain, is a [Host],
// read by [Loader] from flags, environment or a file with the same checks.
package conf
