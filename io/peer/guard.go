package peer

import (
	"encoding/binary"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	// yamuxHeader is the size in bytes of the header of a yamux frame: version, type, flags (2),
	// stream (4) and length (4).
	yamuxHeader = 12
	yamuxData   = 0
	yamuxPing   = 2
	// maxPings is how many pings and answers to pings a link takes in pingPeriod. Hosts send five
	// in that time.
	maxPings   = 100
	pingPeriod = time.Second
)

var errTooManyPings = errors.New("too many pings")

// guardedConn ends a link whose other side floods it with pings: yamux answers each in a goroutine of
// its own, which waits if the answers are not read.
type guardedConn struct {
	net.Conn

	header [yamuxHeader]byte
	have   int    // bytes of header that have been read
	skip   uint32 // bytes of the present frame's data that have not
	pings  int
	since  time.Time
}

// Read reads from the connection and follows the frames in what it has read.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.follow(p[:n]) > maxPings {
		return 0, errTooManyPings
	}
	return n, err
}

// follow returns how many pings have come in the present period.
func (c *guardedConn) follow(b []byte) int {
	for len(b) > 0 {
		if c.skip > 0 {
			n := min(uint32(len(b)), c.skip)
			c.skip -= n
			b = b[n:]
			continue
		}
		n := copy(c.header[c.have:], b)
		c.have += n
		b = b[n:]
		if c.have == yamuxHeader {
			c.have = 0
			c.frame()
		}
	}
	return c.pings
}

func (c *guardedConn) frame() {
	switch c.header[1] {
	case yamuxData:
		c.skip = binary.BigEndian.Uint32(c.header[8:])
	case yamuxPing:
		if now := time.Now(); now.Sub(c.since) >= pingPeriod {
			c.since = now
			c.pings = 0
		}
		c.pings++
	}
}
