// Package peer sends requests between hosts over one multiplexed (yamux) connection
// for each pair of hosts.
//
// # Links
//
// A link is a connection between two hosts. It is opened by the first call of either
// host and carries calls in both directions. Both sides send a Hello first that names
// both hosts, which detects an address that now belongs to another host. When both
// sides dial at the same time, the link dialed by the host with the smaller name is
// kept. A link that has had no call for [Links].IdleTimeout is closed, once the other side has agreed to
// open no more calls on it: it answers behind those that it has sent, which are handled.
//
// # Requests
//
// Each request uses a separate yamux stream, which carries a header and a body each
// way, preceded by their lengths. The header is a protobuf message. That of a request
// holds the time until the caller's deadline; the handler's context ends after that
// time, when the caller gives up or when the link is lost.
//
// # Limits
//
// Anybody who reaches the port may open links, so what they make a host hold is bounded: the
// number of links, of connections without a Hello, of streams and of pings, the size of headers,
// and the bytes of all requests and answers together ([Links].MaxHeld). Bodies are allocated
// as they arrive. A request beyond a limit is answered as busy, not handled; a link on which
// the other side does what no host does is closed.
//
// # Failures
//
// While calls wait for answers the link is probed, so that a peer which is cut off or
// frozen is detected within about a second; an idle link causes no traffic. A call
// fails with one of the typed errors of this package; [NotHandled] reports whether the
// request is known not to have been handled.
package peer
