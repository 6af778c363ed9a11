package front

import (
	"bufio"
	"encoding/binary"
	"net"
)

// headerBytes is the type and length that precede every message but the first.
const headerBytes = 5

// frames is a connection that hands out at most one message at a time once it is
// framed. The protocol library then never reads ahead, and Peek tells whether the
// caller has sent anything further.
type frames struct {
	net.Conn
	reader *bufio.Reader
	framed bool
	left   int
}

func newFrames(c net.Conn) *frames {
	return &frames{
		Conn:   c,
		reader: bufio.NewReaderSize(c, 2048),
	}
}

// Peek waits for the first byte of the next message.
func (f *frames) Peek() error {
	_, err := f.reader.Peek(1)
	return err
}

// Read hands out bytes of the current message.
func (f *frames) Read(p []byte) (int, error) {
	if !f.framed {
		return f.reader.Read(p)
	}
	if f.left == 0 {
		h, err := f.reader.Peek(headerBytes)
		if err != nil {
			return 0, err
		}
		f.left = 1 + int(max(binary.BigEndian.Uint32(h[1:]), headerBytes-1))
	}
	n, err := f.reader.Read(p[:min(len(p), f.left)])
	f.left -= n
	return n, err
}
