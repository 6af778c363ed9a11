package caller

import (
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// flushBytes is the size of the buffered answer, in bytes, at which it is sent.
const flushBytes = 32 << 10

var errHeldTooLarge = errors.New("held answer is too large")

// output buffers the answer to a batch. Messages added after hold are not sent until
// the hold is released, and can be dropped.
type output struct {
	conn     net.Conn
	bytes    []byte
	sent     bool
	held     bool
	heldFrom int
	limit    int
	// wait is how long the caller may take for flushBytes; 0 for no limit.
	wait time.Duration
}

// add appends a message. It flushes the buffer if that has reached flushBytes and is
// not held. It returns errHeldTooLarge if the held part exceeds the limit.
func (o *output) add(m pgproto3.BackendMessage) error {
	b, err := m.Encode(o.bytes)
	if err != nil {
		return errors.Wrap(err, "encoding an answer")
	}
	o.bytes = b
	if o.held {
		if len(o.bytes)-o.heldFrom > o.limit {
			return errHeldTooLarge
		}
		return nil
	}
	if len(o.bytes) < flushBytes {
		return nil
	}
	return o.flush()
}

// hold withholds all messages added from now on, until release or dropHeld.
func (o *output) hold() {
	if o.held {
		return
	}
	o.held = true
	o.heldFrom = len(o.bytes)
}

// release ends the hold; the held messages can be sent.
func (o *output) release() { o.held = false }

// dropHeld ends the hold and drops the held messages.
func (o *output) dropHeld() {
	if !o.held {
		return
	}
	o.held = false
	o.bytes = o.bytes[:o.heldFrom]
}

// discard drops an answer of which nothing has been sent, before another attempt. It
// returns false if part of the answer has been sent.
func (o *output) discard() bool {
	if o.sent {
		return false
	}
	o.held = false
	o.bytes = o.bytes[:0]
	return true
}

// begin starts the answer to a new batch.
func (o *output) begin() { o.sent = len(o.bytes) > 0 }

// flush sends the buffered messages that are not held.
func (o *output) flush() error {
	n := len(o.bytes)
	if o.held {
		n = o.heldFrom
	}
	if n == 0 {
		return nil
	}
	o.sent = true
	err := o.write(o.bytes[:n])
	rest := copy(o.bytes, o.bytes[n:])
	o.bytes = o.bytes[:rest]
	o.heldFrom = 0
	if cap(o.bytes) > 4*flushBytes && rest == 0 {
		o.bytes = nil
	}
	return err
}

// write sends b. The deadline moves on with each part of it, so that a large answer may take longer than
// a small one.
func (o *output) write(b []byte) error {
	if o.wait == 0 {
		_, err := o.conn.Write(b)
		return err
	}
	for len(b) > 0 {
		part := b[:min(len(b), flushBytes)]
		if err := o.conn.SetWriteDeadline(time.Now().Add(o.wait)); err != nil {
			return err
		}
		if _, err := o.conn.Write(part); err != nil {
			return err
		}
		b = b[len(part):]
	}
	return nil
}
