package port

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Buffers returns a Control function for a [net.ListenConfig] that sets the sizes in bytes of the kernel's
// buffers of a listening socket, which its connections inherit. Where they can't be set, the kernel's
// own sizes hold.
func Buffers(receive, send int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, send)
		})
	}
}
