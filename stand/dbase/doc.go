// Package dbase is a stand-in for one database of a group, for tests and trials.
//
// A [Server] speaks the PostgreSQL protocol, simple and extended, over an SQL
// engine in temporary files. It keeps a log with one record for each committed
// transaction that writes. Replicas pull the log from the primary that they
// follow; a record counts as received at once, and as applied after a lag.
//
// Every database keeps a fence term. A database that was fenced takes no commit
// and no replication of a lower term. The functions platform_await,
// platform_fence, platform_promote and platform_follow, called by the user
// platform, read and change this state. platform_status gives any user the state,
// and platform_commit the position of the last commit on the same connection.
//
// Faults are functions as well: standin_lag('50ms'), standin_freeze('2s') and
// standin_cut('<peer>'). standin_executed() lists the statements that have run,
// by kind, with their number; it tells whether a refusal that says "not run" is
// true. standin_connections() tells how many connections there were at most.
//
// # Differences from PostgreSQL
//
// Writes of one database run one after another: a transaction takes the one
// write lock with its first statement that writes, and holds it to its end. Until
// then its statements each read the newest commit, as with READ COMMITTED.
// REPEATABLE READ and SERIALIZABLE read one snapshot, and fail with 40001 if
// another commit came between it and the first write. Replicas repeat statements,
// so that random() or now() in a statement differs between databases. SQL is the
// engine's, with the spellings of PostgreSQL that common programs use.
//
// # Restarts
//
// With Dir set, log and terms outlive the process, though not the machine.
// Without it, a restarted database has lost what it promised to the group. It
// asks its peers whether they have met it, and if one has, it refuses to be
// fenced, promoted or made to follow: lost state means a new database, which
// needs a new name.
package dbase
