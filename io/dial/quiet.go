package dial

import (
	"net"

	"golang.org/x/sys/unix"
)

// IsQuiet reports whether the connection is open and has no unread input. It does not block, also while
// another goroutine reads. Input that a layer above has read already, as TLS may have, is not seen. A connection that is not of TCP is
// taken to be quiet.
func IsQuiet(conn net.Conn) bool {
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = t.NetConn()
	}
	c, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	isQuiet := false
	err = raw.Control(func(fd uintptr) { // Read would wait for other reads
		var one [1]byte
		_, _, e := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isQuiet = e == unix.EAGAIN
	})
	return err == nil && isQuiet
}
