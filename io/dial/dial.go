// Package dial opens outgoing connections from a host's own address.
//
// A machine may have several addresses. Connections leave from the one that the
// process was told is its own, so that firewalls and failure domains can be told
// apart by address at the other end.
package dial

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Func opens a connection, as net.Dialer.DialContext does.
type Func func(ctx context.Context, network, address string) (net.Conn, error)

// From returns a Func whose connections leave from the IP of own, given as
// IP:port, and that fails after timeout, if that is not 0. Where own names no
// specific IP, the system chooses.
func From(own string, timeout time.Duration) Func {
	d := &net.Dialer{Timeout: timeout}
	if a, err := netip.ParseAddrPort(own); err == nil && !a.Addr().IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: a.Addr().AsSlice()}
	}
	return d.DialContext
}

// Or returns f, or a Func that leaves the source to the system if f is nil.
func Or(f Func, timeout time.Duration) Func {
	if f != nil {
		return f
	}
	return From("", timeout)
}
