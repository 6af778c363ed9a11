// Package coltsfootloft holds the values and interfaces that every part of the
// proxy shares.
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
// A [Reading] is what one database reports of itself at one moment. Decisions
// about acknowledgement, routing and promotion are made from readings alone.
//
// # Outcomes
//
// A request ends in exactly one [Outcome]: done, not run, or unknown. A
// [RefusalError] is the error form of the last two and carries the SQLSTATE that the
// caller sees.
//
// # Layout
//
// The interfaces here are implemented below: pure state machines under core,
// sockets and goroutines under io, and the embedded stand-ins for databases and
// platform under stand.
package coltsfootloft
