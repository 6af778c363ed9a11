package entry

import (
	"github.com/pkg/errors"

	"coltsfootloft"
)

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
