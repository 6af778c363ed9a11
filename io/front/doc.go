// Package front takes callers' connections.
//
// A connection passes through three steps: an optional TLS handshake, the startup
// message, and a SCRAM-SHA-256 exchange that proves the caller's key. On open
// routes the last is left out. What follows is a [caller.Session].
//
// # Keys
//
// The key's name is the user, and the settings in force tell its client account.
// When a key is withdrawn, [Server.Refresh] ends its sessions: those between
// transactions at once, the others when their transaction ends or the withdrawal
// bound has passed.
//
// # Cancel requests
//
// The process id given to a caller holds a tag of the host in its upper half, so
// that a cancel request which reaches another host is passed on over the peer
// link.
package front
