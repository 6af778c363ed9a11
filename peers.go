package coltsfootloft

import "context"

// Peers carries requests between hosts. A duty is one vertical slice, such as
// "observe" or "share"; it encodes its own protobuf messages.
type Peers interface {
	// Call sends body to the duty on the named host and returns its answer. It
	// fails when the host can't be reached or ctx ends; the request may have
	// been handled all the same.
	Call(ctx context.Context, host, duty string, body []byte) ([]byte, error)
	// Register sets the handler of a duty on this host, before Run.
	Register(duty string, h Handler)
}

// Handler answers the requests of one duty. It is called concurrently; ctx ends
// when the link is lost.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Members is the view that this host has of the fleet: the platform's lagging
// list corrected by peer heartbeats.
type Members interface {
	// Self is this host.
	Self() HostRecord
	// Alive returns the entry hosts held to be live, self included, by name.
	Alive() []HostRecord
	// Leaving reports whether the named upstream is announced to leave.
	Leaving(upstream string) bool
}
