package entry

import (
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
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

// isWithoutMemory reports whether a statement was skipped because there was no memory for it.
func isWithoutMemory(err error) bool {
	var refusal *coltsfootloft.RefusalError
	return errors.As(err, &refusal) && refusal.Code() == coltsfootloft.CodeMemory
}

// refuseSkipped answers a statement that was skipped. It did not run, and an open transaction
// is rolled back, since its caller repeats it from its beginning.
func (n *session) refuseSkipped(st coltsfootloft.Statement, err error) coltsfootloft.Reply {
	var refusal *coltsfootloft.RefusalError
	errors.As(err, &refusal)
	if n.tx == nil {
		n.server.recordRefusal(st.Verb().String(), st.ID(), n, coltsfootloft.ReasonBusy, refusal.Message())
		return coltsfootloft.RefusedReply(coltsfootloft.ReasonBusy, refusal.Message())
	}
	if n.tx.failed {
		return n.refuseFailed()
	}
	return n.failTransaction(st, coltsfootloft.ReasonBusy, refusal.Message())
}
