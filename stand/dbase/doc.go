// Package dbase is a stand-in for one PostgreSQL database of a database group,
// for tests and trials.
//
// A [Server] speaks the PostgreSQL protocol, simple and extended, in front of an
// SQL engine (SQLite) that works on temporary files. It keeps a replication log
// with one record for each committed transaction that writes. Replicas pull the
// log from the primary that they follow. A record counts as received on arrival
// and as applied after the replication lag.
//
// Every database keeps a fence term. After it was fenced, it accepts neither
// commits nor replication of a lower term. The user platform reads and changes
// this state with the functions platform_await, platform_fence, platform_promote
// and platform_follow. Any user can call platform_status, which returns the
// state, and platform_commit, which returns the position of the last commit on
// the same connection.
//
// Faults are injected with functions as well: standin_lag('50ms'),
// standin_freeze('2s') and standin_cut('<peer>'). standin_executed() lists the
// statements that were executed, by kind, with their counts, so that a test can
// verify a refusal that says "not run". standin_connections() returns the
// greatest number of simultaneous connections so far.
//
// # Differences from PostgreSQL
//
// Writes of one database are serialized: a transaction takes the single write
// lock with its first writing statement and holds it until the transaction ends.
// Before that, each of its statements reads the newest commit, as with READ
// COMMITTED. REPEATABLE READ and SERIALIZABLE read from one snapshot, and fail
// with 40001 if another transaction commits between the snapshot and the first
// write. Replication is statement-based, so random() or now() in a statement
// gives different values on each database. The SQL dialect is the engine's, plus
// the PostgreSQL spellings that common programs use.
//
// # Restarts
//
// With Dir set, the log and the terms survive a restart of the process, but not
// a crash of the machine. Without it, a restarted database has lost the promises
// that it made to the group. It asks its peers whether they have replicated with
// it before. If one has, the database refuses to be fenced, promoted or made to
// follow: a database without its state is a new database and needs a new name.
package dbase
