package entry

import (
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/relay"
)

// commit commits the transaction.
func (n *session) commit(st coltsfootloft.Statement) coltsfootloft.Reply {
	s := n.server
	t := n.tx
	if t.failed {
		n.tx = nil
		return coltsfootloft.RefusedReply(coltsfootloft.ReasonAborted, "transaction failed before")
	}
	if !n.mayContinue() {
		return n.abortCommit(st, "key withdrawn, region not allowed any more, or settings too old")
	}
	if t.conn == nil {
		t.arrived = s.Clock.Elapsed()
	}
	t.wall = time.Now()
	reason, err := n.ensureBegun(st)
	if err != nil {
		return n.abortCommit(st, err.Error())
	}
	if reason != coltsfootloft.ReasonNone {
		return n.abortCommit(st, "no database took the transaction")
	}
	if t.dest.reader.IsPrimary && !s.Groups.MaySend(t.route.Group, t.dest.reader.Primary) {
		return n.abortCommit(st, n.primaryLostReason())
	}
	n.tx = nil
	return n.sendCommit(t, st)
}

// sendCommit sends COMMIT, again while the database refuses it as busy. Once it has been
// sent, a missing answer leaves the outcome unknown.
func (n *session) sendCommit(t *transaction, st coltsfootloft.Statement) coltsfootloft.Reply {
	s := n.server
	for {
		sent := s.Clock.Elapsed()
		final := t.wall.Add(t.route.Timeout)
		reply, err := n.exchange(t.conn, n.request(t, st, nil, final), final, true)
		if err != nil {
			t.closeConn()
			if wasNotSent(err) {
				n.noteClosed(err)
				return n.answerAborted(st, "commit not sent: "+err.Error())
			}
			if t.dest.reader.IsPrimary {
				s.ReportUnreachable(t.route.Group, t.dest.reader.Target.ID)
			}
			if !t.wrote {
				return n.answerAborted(st, "no answer to the end of a transaction that only read")
			}
			if errors.Is(err, relay.ErrTransactionEnded) {
				return n.answerAborted(st, err.Error())
			}
			return n.outcomeUnknown(st, "no answer to a commit: "+err.Error())
		}
		if reply.Reason == coltsfootloft.ReasonBusy && reply.State == coltsfootloft.TxOpen && t.waitLeft(s.Clock.Elapsed()) > 0 {
			time.Sleep(retryPause)
			continue
		}
		if reply.Failed() {
			t.closeConn()
			return n.commitFailed(t, st, reply)
		}
		t.conn.Release(reply.State == coltsfootloft.TxIdle)
		t.conn = nil
		if t.dest.reader.IsPrimary {
			if t.wrote && !s.Groups.AwaitAccept(t.route.Group, t.dest.reader.Primary, final) {
				return n.outcomeUnknown(st, "the primary was replaced meanwhile")
			}
			s.Groups.Marks(t.route.Group).Add(t.dest.reader.Primary.Epoch, sent, reply.Position)
		}
		if t.wrote {
			n.noteWrite(t.route.Group, reply.Position)
		}
		n.finish(&t.operation, st, t.dest, reply)
		return reply
	}
}

// commitFailed passes on a database's refusal of a commit. The connection has been
// closed, so a COMMIT that did not run leaves nothing behind.
func (n *session) commitFailed(t *transaction, st coltsfootloft.Statement, reply coltsfootloft.Reply) coltsfootloft.Reply {
	if reply.Reason == coltsfootloft.ReasonReadOnly {
		n.server.ReportUnreachable(t.route.Group, t.dest.reader.Target.ID)
	}
	if isDefinite(reply.Reason) || !t.wrote {
		return n.answerAborted(st, reply.Reason.String())
	}
	return n.outcomeUnknown(st, "commit failed: "+reply.Reason.String())
}

// answerAborted answers COMMIT for a transaction that left no changes.
func (n *session) answerAborted(st coltsfootloft.Statement, text string) coltsfootloft.Reply {
	n.server.recordRefusal("commit", st.ID(), n, coltsfootloft.ReasonAborted, text)
	return coltsfootloft.RefusedReply(coltsfootloft.ReasonAborted, text)
}

func (n *session) abortCommit(st coltsfootloft.Statement, text string) coltsfootloft.Reply {
	n.tx.closeConn()
	n.tx = nil
	return n.answerAborted(st, text)
}
