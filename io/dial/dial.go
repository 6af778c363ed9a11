// Package dial opens outgoing connections from the address that a host is configured
// with.
//
// A machine may have several addresses. Connections use the configured one as their
// source, so that firewalls and the other end can identify the host and its failure
// domain by address.
package dial

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Func opens a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// From returns a Func whose connections use the IP of local, an address of the form
// IP:port, as their source. The Func fails after timeout, unless that is 0. If local
// names no specific IP, the system chooses the source.
func From(local string, timeout time.Duration) Func {
	d := &net.Dialer{Timeout: timeout}
	if a, err := netip.ParseAddrPort(local); err == nil && !a.Addr().IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: a.Addr().AsSlice()}
	}
	return d.DialContext
}

// Or returns f or, if f is nil, a Func with this timeout that leaves the source to the
// system.
func Or(f Func, timeout time.Duration) Func {
	if f != nil {
		return f
	}
	return From("", timeout)
}
