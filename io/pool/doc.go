// Package pool lends connections to one upstream.
//
// A connection belongs to one transaction at a time. Opening one needs a right
// from the fleet-wide limit of the database, which the host's [coltsfootloft.Shares]
// hand out; while a connection is open it holds its right. Waiters are served by
// deficit round robin over client accounts, so that no account crowds out
// another. An idle connection is closed when another host asks for its right.
//
// A [Conn] remembers what is known of the server side: which statements are
// prepared, which settings are in force, and the position that its reads are
// verified to have reached. A database that cuts back its log closes its
// connections, so a verified position stays true while the connection lives.
package pool
