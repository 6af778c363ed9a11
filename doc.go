// Package coltsfootloft holds the values and interfaces that the packages of the
// proxy share.
//
// # Hosts, groups and accounts
//
// Callers connect to any entry host of a fleet. The host forwards each statement to
// a database, called an upstream, of the database group that the statement's route
// names. Hosts and upstreams each belong to a failure domain. A caller acts for a
// client account, whose rate limit holds over all hosts together.
//
// # Terms and positions
//
// A database group is one primary and its replicas. Each promotion starts a new
// [Term]; the log of a database is a sequence of records, each written in one
// term. A [Position] is a place in that log: the term of the record and its
// offset. Positions compare by term first, because a promotion always keeps the
// acknowledged records of earlier terms.
//
// # Readings
//
// A [Reading] is the state that one database reports at one moment. Decisions about
// acknowledgement, routing and promotion are made from readings alone.
//
// # Outcomes
//
// A request ends in exactly one [Outcome]: done, not run, or unknown. A
// [RefusalError] is the error form of the last two and carries the SQLSTATE that the
// caller receives.
//
// # Layout
//
// The interfaces declared here are implemented in other packages: pure state machines
// in core, sockets and goroutines in io, the formats and calls of the users' platform
// in platform, and embedded stand-ins for databases and platform in stand.
package coltsfootloft
