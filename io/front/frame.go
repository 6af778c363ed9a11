package front

import (
	"bufio"
	"encoding/binary"
	"net"
)

const (
	// headerBytes is the type and length that precede every message but those
	// before the session.
	headerBytes = 5
	// lengthBytes is the length that precedes those.
	lengthBytes = 4
)

// frames is a connection that hands out at most one message at a time, so that the
// protocol library never reads ahead, and Peek tells whether the caller has sent
// anything further. Messages have a type once typed is set.
type frames struct {
	net.Conn
	reader *bufio.Reader
	typed  bool
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
	if f.left == 0 {
		n, err := f.next()
		if err != nil {
			return 0, err
		}
		f.left = n
	}
	n, err := f.reader.Read(p[:min(len(p), f.left)])
	f.left -= n
	return n, err
}

// next is the number of bytes of the next message.
func (f *frames) next() (int, error) {
	if !f.typed {
		h, err := f.reader.Peek(lengthBytes)
		if err != nil {
			return 0, err
		}
		return int(max(binary.BigEndian.Uint32(h), lengthBytes)), nil
	}
	h, err := f.reader.Peek(headerBytes)
	if err != nil {
		return 0, err
	}
	return 1 + int(max(binary.BigEndian.Uint32(h[1:]), lengthBytes)), nil
}
