// Package peer carries requests between hosts over one yamux connection for each
// pair of hosts.
//
// # Links
//
// A link is opened on demand by whichever host calls first and serves calls in
// both directions. Each side opens it with a Hello that names both hosts, so that
// an address which has passed to another host is noticed. When both sides dial at
// once, the link dialed by the host with the smaller name stays. A link without
// calls is closed after a while.
//
// # Requests
//
// Each request has a yamux stream of its own, on which a header and a body travel
// each way, both protobuf with a length before them. The header carries the time
// that the caller has left; the handler's context ends with it, when the caller
// gives up or when the link is lost.
//
// # Failures
//
// While calls wait for answers the link is probed, so that a cut or frozen peer is
// noticed within about a second; an idle link costs no traffic. A call fails with
// one of the typed errors of this package; [Unsent] tells those after which the
// request is known not to have been handled.
package peer
