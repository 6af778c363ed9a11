package coltsfootloft

import "context"

// Peers carries requests between hosts. A duty is one service that hosts offer each
// other, such as "watch" or "share", with its own protobuf messages.
type Peers interface {
	// Call sends body to the duty on the named host and returns its answer. It
	// fails if the host can't be reached or ctx ends; the host may have handled
	// the request nevertheless.
	Call(ctx context.Context, host, duty string, body []byte) ([]byte, error)
	// Register sets the handler of a duty on this host. It must be called before
	// Run of the implementation.
	Register(duty string, h Handler)
}

// Handler answers the requests that the host named from sends for one duty. It is
// called concurrently; ctx ends if the link is lost.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Members is this host's view of the fleet: the platform's host list, which lags,
// corrected by heartbeats between hosts.
type Members interface {
	// Self is this host.
	Self() HostRecord
	// Alive returns the entry hosts that are considered alive, sorted by name. It
	// includes this host.
	Alive() []HostRecord
	// Leaving reports whether the removal of the named upstream is announced.
	Leaving(upstream string) bool
}
