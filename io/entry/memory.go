package entry

import (
	"time"

	"coltsfootloft"
	"coltsfootloft/core/prep"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/relay"
)

// exchange runs a statement on a connection. The memory of its answer is kept until the
// caller has the answer to the statement, whether it is passed on or not.
func (n *session) exchange(conn *relay.Conn, q dbpool.Request, final time.Time, keep bool) (coltsfootloft.Reply, error) {
	reply, err := conn.Exchange(q, final, keep)
	n.taken += reply.Taken
	return reply, err
}

// giveBack gives back the memory of the answers to the latest statement.
func (n *session) giveBack() {
	if n.taken > 0 {
		n.server.Memory.Give(n.taken)
		n.taken = 0
	}
}

// refuseSkipped answers a statement that was skipped.
func (n *session) refuseSkipped(st coltsfootloft.Statement, err error) coltsfootloft.Reply {
	if n.tx != nil && n.tx.failed {
		return n.refuseFailed()
	}
	return n.refuseForMemory(st, err.Error()+"; come back in 500 ms")
}

// refuseForMemory refuses a statement that did not run. An open transaction is rolled back,
// since its caller repeats it from its beginning.
func (n *session) refuseForMemory(st coltsfootloft.Statement, text string) coltsfootloft.Reply {
	if n.tx != nil {
		return n.failTransaction(st, coltsfootloft.ReasonBusy, text)
	}
	n.server.recordRefusal(st.Verb().String(), st.ID(), n, coltsfootloft.ReasonBusy, text)
	return coltsfootloft.RefusedReply(coltsfootloft.ReasonBusy, text)
}

// takeValue takes memory for a value or a prepared statement, and reports whether there is
// any.
func (n *session) takeValue(st coltsfootloft.Statement) bool {
	if st.Verb() == coltsfootloft.VerbDeallocate || n.server.ValueMemory == nil {
		return true
	}
	size := prep.EntrySize(st.Name(), st.Detail())
	if !n.server.ValueMemory.Take(n.valuesTaken, size) {
		return false
	}
	n.valuesTaken += size
	return true
}

// fitValues gives back the memory of values that were replaced or removed.
func (n *session) fitValues() { n.keepValues(n.expected.Size()) }

// keepValues gives back all but size bytes of the memory of session values.
func (n *session) keepValues(size int) {
	if n.valuesTaken > size {
		n.server.ValueMemory.Give(n.valuesTaken - size)
		n.valuesTaken = size
	}
}
