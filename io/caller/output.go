package caller

import (
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// flushBytes is how much of an answer is gathered before it is sent.
const flushBytes = 32 << 10

var errHeldTooMuch = errors.New("held answer is too large")

// output gathers the answer to a batch. What was added after hold is not sent
// until the hold is lifted, and can be taken back.
type output struct {
	conn  net.Conn
	bytes []byte
	sent  bool
	held  bool
	mark  int
	limit int
}

// add appends a message and sends what is gathered when it is much.
func (o *output) add(m pgproto3.BackendMessage) error {
	b, err := m.Encode(o.bytes)
	if err != nil {
		return errors.Wrap(err, "encoding an answer")
	}
	o.bytes = b
	if o.held {
		if len(o.bytes)-o.mark > o.limit {
			return errHeldTooMuch
		}
		return nil
	}
	if len(o.bytes) < flushBytes {
		return nil
	}
	return o.flush()
}

// hold keeps everything added from now on until release or revoke.
func (o *output) hold() {
	if o.held {
		return
	}
	o.held = true
	o.mark = len(o.bytes)
}

// release lifts the hold.
func (o *output) release() { o.held = false }

// revoke lifts the hold and drops what was held.
func (o *output) revoke() {
	if !o.held {
		return
	}
	o.held = false
	o.bytes = o.bytes[:o.mark]
}

// restart drops an answer of which nothing was sent, for another attempt. It
// reports false if it is too late.
func (o *output) restart() bool {
	if o.sent {
		return false
	}
	o.held = false
	o.bytes = o.bytes[:0]
	return true
}

// begin starts the answer to a new batch.
func (o *output) begin() { o.sent = len(o.bytes) > 0 }

// flush sends what is gathered and not held.
func (o *output) flush() error {
	n := len(o.bytes)
	if o.held {
		n = o.mark
	}
	if n == 0 {
		return nil
	}
	o.sent = true
	_, err := o.conn.Write(o.bytes[:n])
	rest := copy(o.bytes, o.bytes[n:])
	o.bytes = o.bytes[:rest]
	o.mark = 0
	if cap(o.bytes) > 4*flushBytes && rest == 0 {
		o.bytes = nil
	}
	return err
}
