package entry

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// The sizes of the kernel's buffers for a caller's connection, in bytes. The kernel doubles
// them and counts its own overhead too. It would otherwise let them grow to megabytes for
// each caller that sends ahead or does not read. The largest usual statement has 1,200 bytes,
// the largest usual answer 3,000.
const (
	receiveBuffer = 8 << 10
	sendBuffer    = 16 << 10
)

// boundBuffers sets the sizes of the buffers of a listening socket, which its connections
// inherit. Where they can't be set, the kernel's own sizes hold.
func boundBuffers(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
	})
}
