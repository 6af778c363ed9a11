package front

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/hold"
	"coltsfootloft/io/dial"
)

const (
	// headerBytes is the length of the type and length fields of a message.
	headerBytes = 5
	// lengthBytes is the length of the length field. Startup messages have no type
	// field.
	lengthBytes = 4
	// smallMessage is the size in bytes of the largest message that fits the fixed buffer of the
	// protocol library. The memory of larger ones is counted.
	smallMessage = 8 << 10
	// lastChunk is the size in bytes of the largest piece in which a larger message is kept until it
	// is complete.
	lastChunk = 64 << 10
	// workCopies is how often a message is in memory while it is served: as received, as decoded,
	// and as sent to the database.
	workCopies = 3
	// stepBytes is how much of a message must arrive within the time for a step of it.
	stepBytes = 32 << 10
)

// messageConn is a connection whose Read returns bytes of at most one message, so
// that the protocol library never reads ahead and Peek can tell whether the caller
// has sent another message. Messages have a type field once hasType is set.
//
// The protocol library allocates what the length of a message announces. A message that is larger than
// its buffer is therefore read here, as its bytes arrive, and passed on once it is complete.
type messageConn struct {
	net.Conn
	reader    *bufio.Reader
	hasType   bool
	remaining int

	// hold is the memory of messages. Who serves a message fits it to what is left of it.
	hold *hold.Hold
	// limit is the size in bytes of the largest body; 0 before the session. Read passes a larger
	// message on as it arrives; the protocol library refuses it.
	limit int
	// timed is set while the message has a deadline.
	timed bool
	// wait is how long stepBytes of a message may take; 0 for no limit.
	wait time.Duration
	// chunks is what is left of a message that was read as a whole.
	chunks [][]byte
	// large is set once a message was larger than smallMessage.
	large bool
}

func newMessageConn(c net.Conn) *messageConn {
	return &messageConn{
		Conn:   c,
		reader: bufio.NewReaderSize(c, 2048),
		hold:   &hold.Hold{},
	}
}

// Peek waits for the first byte of the next message.
func (mc *messageConn) Peek() error {
	_, err := mc.reader.Peek(1)
	return err
}

// TakeLarge reports whether a message since the last call was larger than the protocol library's
// buffer, which then keeps its bytes.
func (mc *messageConn) TakeLarge() bool {
	large := mc.large
	mc.large = false
	return large
}

// Read reads bytes of the current message.
func (mc *messageConn) Read(p []byte) (int, error) {
	if mc.remaining == 0 {
		if err := mc.begin(); err != nil {
			return 0, err
		}
	}
	n, err := mc.readPart(p[:min(len(p), mc.remaining)])
	mc.remaining -= n
	if mc.remaining == 0 && mc.timed {
		// A deadline that stays set would expire while the session is idle.
		mc.timed = false
		_ = mc.SetReadDeadline(time.Time{})
	}
	return n, mc.unfinished(err)
}

// begin waits for the length of the next message, and for all of it if it is large.
func (mc *messageConn) begin() error {
	mc.extend(headerBytes)
	n, err := mc.nextLength()
	if err != nil {
		return mc.unfinished(err)
	}
	if n > smallMessage && n <= mc.limit+headerBytes {
		if err := mc.gather(n); err != nil {
			return mc.unfinished(err)
		}
	} else {
		mc.extend(n)
	}
	mc.remaining = n
	return nil
}

// extend sets the deadline for the next bytes of a message, unless n bytes have arrived.
func (mc *messageConn) extend(n int) {
	if mc.wait == 0 || mc.reader.Buffered() >= n {
		return
	}
	mc.timed = true
	_ = mc.SetReadDeadline(time.Now().Add(mc.wait)) // fails if the connection is closed; the read then fails too
}

// unfinished converts a time-out within a message.
func (mc *messageConn) unfinished(err error) error {
	if mc.timed && dial.IsTimeout(err) {
		return coltsfootloft.Refuse(coltsfootloft.CodeProtocol, "message unfinished after "+mc.wait.String())
	}
	return err
}

// gather reads a message of n bytes. It takes memory as the bytes arrive; if there is none, it skips
// the rest and refuses the message.
func (mc *messageConn) gather(n int) error {
	mc.large = true
	got, size := 0, smallMessage
	for got < n {
		size = min(size, n-got)
		if !mc.hold.Grow(size) {
			return mc.skip(n, n-got)
		}
		chunk := make([]byte, size)
		if err := mc.fill(chunk); err != nil {
			return err
		}
		mc.chunks = append(mc.chunks, chunk)
		got += size
		size = min(2*size, lastChunk)
	}
	if !mc.hold.Swap(n, workCopies*n) {
		return mc.skip(n, 0)
	}
	return nil
}

// skip reads the rest of a message for which there is no memory, so that its caller gets the refusal.
func (mc *messageConn) skip(n, rest int) error {
	mc.chunks = nil
	step := make([]byte, smallMessage)
	for rest > 0 {
		part := step[:min(rest, len(step))]
		if err := mc.fill(part); err != nil {
			return err
		}
		rest -= len(part)
	}
	return coltsfootloft.NoMemory(n)
}

// fill reads all of p, at least stepBytes within each wait.
func (mc *messageConn) fill(p []byte) error {
	for len(p) > 0 {
		step := p[:min(len(p), stepBytes)]
		mc.extend(len(step))
		if _, err := io.ReadFull(mc.reader, step); err != nil {
			return err
		}
		p = p[len(step):]
	}
	return nil
}

// readPart reads from the message that was read as a whole, or else from the connection.
func (mc *messageConn) readPart(p []byte) (int, error) {
	if len(mc.chunks) == 0 {
		return mc.reader.Read(p)
	}
	n := copy(p, mc.chunks[0])
	mc.chunks[0] = mc.chunks[0][n:]
	if len(mc.chunks[0]) == 0 {
		mc.chunks[0] = nil // to be collected while the rest is read
		mc.chunks = mc.chunks[1:]
	}
	return n, nil
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
