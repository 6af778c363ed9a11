package relay

import (
	"strconv"

	"coltsfootloft"
)

const (
	// freeSize is the number of bytes up to which a message between hosts takes no
	// memory; the usual largest has 3,000 bytes.
	freeSize = 4 << 10
	// copies is how many more times a message is held while it is encoded: as a message,
	// encoded, and in a frame of the link.
	copies = 3
)

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
