package relay

import (
	"strconv"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/relay/relaypb"
)

// ErrNoMemory is the error of Exchange if there is no memory to send the statement to another
// host. It was not sent.
var ErrNoMemory = errors.Wrap(dbpool.ErrBusy, "no memory for the statement")

const (
	// freeSize is the number of bytes up to which a message between hosts takes no
	// memory; the usual largest has 3,000 bytes.
	freeSize = 4 << 10
	// copies is how many more times a message is held while it is encoded: as a message,
	// encoded, and in a frame of the link.
	copies = 3
)

// takeRequest takes memory for the copies of a statement that is sent to another host. It
// returns how much, and false if there is none.
func (r *Relay) takeRequest(q dbpool.Request) (int, bool) {
	size := len(q.Statement.ID()) + len(q.Statement.Text())
	if q.Expected != nil {
		size += q.Expected.Size()
	}
	if q.Shape != nil {
		size += len(q.Shape.Text)
	}
	if size <= freeSize {
		return 0, true
	}
	n := copies * size
	return n, r.Memory.Take(0, n)
}

// takeBody takes memory for a statement of another host, as it was received and decoded. It
// returns how much, and false if there is none.
func (r *Relay) takeBody(body []byte) (int, bool) {
	if len(body) <= freeSize {
		return 0, true
	}
	n := copies * len(body)
	return n, r.Memory.Take(0, n)
}

// give gives memory back.
func (r *Relay) give(n int) {
	if n > 0 {
		r.Memory.Give(n)
	}
}

// refuseStatement returns the response to a statement that was not sent, as if the database had
// refused it. A transaction stays as it is.
func refuseStatement(x *relaypb.Exchange, reason coltsfootloft.Reason, text string) *relaypb.Response {
	state := coltsfootloft.TxIdle
	if x.GetHandle() != 0 {
		state = coltsfootloft.TxOpen
	}
	a := encode(coltsfootloft.Reply{
		Reason: reason,
		Text:   text,
		State:  state,
	})
	a.Handle = x.GetHandle()
	return a
}

// takeCopies takes memory for the copies of an answer to another host. If there is none, the
// answer is dropped. It returns the answer and all that it has taken.
func (r *Relay) takeCopies(reply coltsfootloft.Reply) (coltsfootloft.Reply, int) {
	if reply.Taken == 0 {
		return reply, 0
	}
	if n := copies * reply.Taken; r.Memory.Take(reply.Taken, n) {
		return reply, reply.Taken + n
	}
	r.Memory.Give(reply.Taken)
	return withoutRows(reply, reply.Taken), 0
}

// takeReply takes memory for an answer of size bytes from another host. If there is none, the
// answer is dropped.
func (r *Relay) takeReply(reply coltsfootloft.Reply, size int) coltsfootloft.Reply {
	if size <= freeSize {
		return reply
	}
	if !r.Memory.Take(0, size) {
		return withoutRows(reply, size)
	}
	reply.Taken = size
	return reply
}

// withoutRows returns the failure that takes the place of an answer whose rows were dropped.
func withoutRows(reply coltsfootloft.Reply, size int) coltsfootloft.Reply {
	return coltsfootloft.Reply{
		Reason:   coltsfootloft.ReasonTooLarge,
		Text:     "it ran; no memory for its answer of " + strconv.Itoa(size) + " bytes; come back in 500 ms",
		State:    reply.State,
		Position: reply.Position,
	}
}
