// Package pool lends connections to one upstream.
//
// A connection belongs to one transaction at a time. Opening one requires a right from
// the fleet-wide connection limit of the database, which the host's
// [coltsfootloft.Shares] grant; an open connection holds its right. Waiters are served
// by deficit round robin over client accounts, so that no account can starve another.
// An idle connection is closed when another host requests its right. One that has unread input
// when it is returned or lent is closed, too: the input would be taken for the answer to the
// next session's first request.
//
// A [Conn] tracks the state of the server side: the prepared statements, the settings
// in force, and a position that its reads are verified to have reached. A database that
// truncates the end of its log closes its connections, so a verified position stays
// valid for the life of the connection.
package pool
