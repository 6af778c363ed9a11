// Package front accepts connections from callers.
//
// A connection goes through three steps: an optional TLS handshake, the startup
// message, and a SCRAM-SHA-256 exchange that authenticates the caller's key. Open
// routes skip the last step. Then a [caller.Session] serves the connection.
//
// # Keys
//
// The user in the startup message is the name of the key, which the current settings
// assign to a client account. When a key is withdrawn, [Server.Refresh] ends its
// sessions: those without an open transaction at once, the others when their
// transaction ends or the withdrawal bound has passed.
//
// # Cancel requests
//
// The upper half of the process id sent to a caller holds a tag of the host. A cancel
// request that reaches another host is forwarded over the peer link.
package front
