package front

import (
	"bufio"
	"encoding/binary"
	"net"
)

const (
	// headerBytes is the length of the type and length fields of a message.
	headerBytes = 5
	// lengthBytes is the length of the length field. Startup messages have no type
	// field.
	lengthBytes = 4
)

// messageConn is a connection whose Read returns bytes of at most one message, so
// that the protocol library never reads ahead and Peek can tell whether the caller
// has sent another message. Messages have a type field once hasType is set.
type messageConn struct {
	net.Conn
	reader    *bufio.Reader
	hasType   bool
	remaining int
}

func newMessageConn(c net.Conn) *messageConn {
	return &messageConn{
		Conn:   c,
		reader: bufio.NewReaderSize(c, 2048),
	}
}

// Peek waits for the first byte of the next message.
func (mc *messageConn) Peek() error {
	_, err := mc.reader.Peek(1)
	return err
}

// Read reads bytes of the current message.
func (mc *messageConn) Read(p []byte) (int, error) {
	if mc.remaining == 0 {
		n, err := mc.nextLength()
		if err != nil {
			return 0, err
		}
		mc.remaining = n
	}
	n, err := mc.reader.Read(p[:min(len(p), mc.remaining)])
	mc.remaining -= n
	return n, err
}

// nextLength returns the length in bytes of the next message.
func (mc *messageConn) nextLength() (int, error) {
	if !mc.hasType {
		h, err := mc.reader.Peek(lengthBytes)
		if err != nil {
			return 0, err
		}
		return int(max(binary.BigEndian.Uint32(h), lengthBytes)), nil
	}
	h, err := mc.reader.Peek(headerBytes)
	if err != nil {
		return 0, err
	}
	return 1 + int(max(binary.BigEndian.Uint32(h[1:]), lengthBytes)), nil
}
