package entry

import (
	"time"

	"coltsfootloft"
	"coltsfootloft/core/prep"
	"coltsfootloft/io/lanes"
	"coltsfootloft/io/relay"
)

// txShare is how many target latencies a statement in a transaction waits for its
// answer before the transaction is aborted; a lost answer would hold it for the
// route's whole timeout, and nothing of it is kept either way.
const txShare = 2

// transaction is an open transaction of a session.
type transaction struct {
	operation
	begin    coltsfootloft.Statement
	readOnly bool
	place    place
	line     *relay.Line
	aligned  bool
	wrote    bool
	failed   bool
	told     bool // the caller knows that it failed
}

// abandon gives up the line; the database rolls back.
func (t *transaction) abandon() {
	if t.line == nil {
		return
	}
	t.line.Release(false)
	t.line = nil
}

// begin opens a transaction without telling a database yet.
func (n *session) begin(st coltsfootloft.Statement) (coltsfootloft.Reply, bool) {
	if n.tx != nil {
		return n.inState(coltsfootloft.RefusedReply(coltsfootloft.ReasonMalformed, "a transaction is open")), false
	}
	o, refusal := n.open(st)
	if refusal != nil {
		return *refusal, isFinal(refusal.Reason)
	}
	n.tx = &transaction{
		operation: o,
		begin:     st,
		readOnly:  st.Verb() == coltsfootloft.VerbBeginRead,
	}
	return n.inState(coltsfootloft.Reply{}), false
}

// inTransaction runs a read or a write of the open transaction.
func (n *session) inTransaction(st coltsfootloft.Statement, shape *prep.Shape) coltsfootloft.Reply {
	if _, refusal := n.permit(); refusal != nil {
		return n.abort(st, "key withdrawn or settings too old")
	}
	t := n.tx
	now := n.server.Clock.Elapsed()
	if t.line == nil {
		// Pauses of the caller before the first statement are not the host's.
		t.arrived = now
	}
	t.wall = time.Now()
	if reason := n.enter(st); reason != coltsfootloft.ReasonNone {
		n.refund(&t.operation)
		return n.fail(st, reason, "no database took the transaction; come back in 50 ms")
	}
	if t.place.reader.IsPrimary && !n.server.Groups.Holds(t.route.Group, t.place.reader.Office) {
		return n.abort(st, n.rightLost())
	}
	limit := min(t.route.Timeout, txShare*t.route.TargetLatency)
	reply, err := t.line.Exchange(n.request(st, shape, t.wall.Add(limit)), t.wall.Add(limit), true)
	t.aligned = true
	if err != nil {
		if t.place.reader.IsPrimary {
			n.server.Missing(t.route.Group, t.place.reader.Target.ID)
		}
		return n.abort(st, err.Error())
	}
	if reply.Failed() {
		return n.abort(st, reply.Reason.String()+": "+reply.Text)
	}
	if shape != nil && shape.Writes || st.Verb() == coltsfootloft.VerbWrite {
		t.wrote = true
	}
	n.server.count(st.Verb().String(), "done")
	return reply
}

func (n *session) request(st coltsfootloft.Statement, shape *prep.Shape, deadline time.Time) lanes.Request {
	r := lanes.Request{
		Statement: st,
		Shape:     shape,
		Deadline:  deadline,
	}
	if !n.tx.aligned || shape != nil {
		r.Wishes = &n.wishes
	}
	return r
}

// enter begins the transaction at a database, if it has not begun. It may try
// several: what has only begun keeps nothing.
func (n *session) enter(st coltsfootloft.Statement) coltsfootloft.Reason {
	t := n.tx
	if t.line != nil {
		return coltsfootloft.ReasonNone
	}
	tried := make(map[string]bool)
	last := coltsfootloft.ReasonBusy
	for {
		p, ok := n.place(&t.operation, !t.readOnly, tried)
		if !ok {
			if !n.awaitPlace(&t.operation, tried) {
				return last
			}
			continue
		}
		tried[p.reader.Target.ID] = true
		line := n.borrow(&t.operation, p)
		if line == nil {
			if t.patience(n.server.Clock.Elapsed()) <= 0 {
				return last
			}
			continue
		}
		if reason := n.beginAt(line, p, st); reason == coltsfootloft.ReasonNone {
			return reason
		} else if isPromise(reason) {
			last = reason
		}
		if t.patience(n.server.Clock.Elapsed()) <= 0 {
			return last
		}
		if p.reader.IsPrimary {
			n.pause(&t.operation)
		}
	}
}

// isPromise reports whether a database's refusal may be passed on as it is.
func isPromise(r coltsfootloft.Reason) bool {
	switch r {
	case coltsfootloft.ReasonBusy, coltsfootloft.ReasonLagging, coltsfootloft.ReasonReadOnly:
		return true
	default:
		return false
	}
}

// beginAt begins the transaction on a line.
func (n *session) beginAt(line *relay.Line, p place, st coltsfootloft.Statement) coltsfootloft.Reason {
	s := n.server
	t := n.tx
	sent := s.Clock.Elapsed()
	final := time.Now().Add(min(t.route.Timeout, t.route.TargetLatency))
	reply, err := line.Exchange(lanes.Request{
		Statement: t.begin,
		Wishes:    &n.wishes,
		After:     p.after,
		Deadline:  final,
	}, final, true)
	if wasNotSent(err) {
		n.unreached(&t.operation, p, err)
		return coltsfootloft.ReasonBusy
	}
	t.offered = true
	t.tries++
	if err == nil && !reply.Failed() && reply.State != coltsfootloft.TxOpen {
		line.Release(false)
		return coltsfootloft.ReasonFailed
	}
	if err != nil || reply.Failed() {
		reason := reply.Reason
		text := reply.Text
		if err != nil {
			reason = coltsfootloft.ReasonFailed
			text = err.Error()
		}
		line.Release(err == nil && reply.State == coltsfootloft.TxIdle)
		s.Log.Info("transaction not begun", "id", st.ID(), "upstream", p.reader.Target.ID, "primary", p.reader.IsPrimary,
			"reason", reason.String(), "text", text, "tries", t.tries)
		if p.reader.IsPrimary && reason != coltsfootloft.ReasonBusy {
			s.Missing(t.route.Group, p.reader.Target.ID)
		}
		return reason
	}
	if p.reader.IsPrimary && !s.Groups.Stood(t.route.Group, p.reader.Office) {
		line.Release(false)
		s.Log.Info("transaction not begun", "id", st.ID(), "upstream", p.reader.Target.ID, "primary", true,
			"reason", "the primary may have been replaced meanwhile", "lease_left", s.Groups.Tenure.Left().String(), "tries", t.tries)
		return coltsfootloft.ReasonBusy
	}
	t.line = line
	t.place = p
	t.aligned = true
	if p.reader.IsPrimary {
		s.Groups.Marks(t.route.Group).Add(p.reader.Office.Epoch, sent, reply.Position)
	}
	return coltsfootloft.ReasonNone
}

// commit ends the transaction and keeps its writes.
func (n *session) commit(st coltsfootloft.Statement) coltsfootloft.Reply {
	s := n.server
	t := n.tx
	if t.failed {
		n.tx = nil
		return coltsfootloft.RefusedReply(coltsfootloft.ReasonAborted, "transaction failed before")
	}
	if _, refusal := n.permit(); refusal != nil {
		return n.abortCommit(st, "key withdrawn or settings too old")
	}
	if t.line == nil {
		t.arrived = s.Clock.Elapsed()
	}
	t.wall = time.Now()
	if reason := n.enter(st); reason != coltsfootloft.ReasonNone {
		return n.abortCommit(st, "no database took the transaction")
	}
	if t.place.reader.IsPrimary && !s.Groups.Holds(t.route.Group, t.place.reader.Office) {
		return n.abortCommit(st, n.rightLost())
	}
	n.tx = nil
	return n.sendCommit(t, st)
}

// sendCommit sends COMMIT until the database has run it; from the first time on
// a missing answer leaves the outcome unknown.
func (n *session) sendCommit(t *transaction, st coltsfootloft.Statement) coltsfootloft.Reply {
	s := n.server
	for {
		sent := s.Clock.Elapsed()
		final := t.wall.Add(t.route.Timeout)
		reply, err := t.line.Exchange(lanes.Request{
			Statement: st,
			Deadline:  final,
		}, final, true)
		if err != nil {
			t.abandon()
			if t.place.reader.IsPrimary {
				s.Missing(t.route.Group, t.place.reader.Target.ID)
			}
			if !t.wrote {
				return n.dropped(st, "no answer to the end of a transaction that only read")
			}
			return n.doubt(st, "no answer to a commit: "+err.Error())
		}
		if reply.Reason == coltsfootloft.ReasonBusy && reply.State == coltsfootloft.TxOpen && t.patience(s.Clock.Elapsed()) > 0 {
			time.Sleep(pauseBetween)
			continue
		}
		if reply.Failed() {
			t.abandon()
			return n.commitFailed(t, st, reply)
		}
		t.line.Release(reply.State == coltsfootloft.TxIdle)
		t.line = nil
		if t.place.reader.IsPrimary {
			if t.wrote && !s.Groups.Stood(t.route.Group, t.place.reader.Office) {
				return n.doubt(st, "the primary was replaced meanwhile")
			}
			s.Groups.Marks(t.route.Group).Add(t.place.reader.Office.Epoch, sent, reply.Position)
		}
		if t.wrote {
			n.wrote = reply.Position
			n.wroteIn = t.route.Group
		}
		n.finish(&t.operation, st, t.place, reply)
		return reply
	}
}

// commitFailed passes on a database's refusal of a commit. Where it did not run
// the connection was closed, so that nothing is kept.
func (n *session) commitFailed(t *transaction, st coltsfootloft.Statement, reply coltsfootloft.Reply) coltsfootloft.Reply {
	if reply.Reason == coltsfootloft.ReasonReadOnly {
		n.server.Missing(t.route.Group, t.place.reader.Target.ID)
	}
	if isPromise(reply.Reason) || !t.wrote {
		return n.dropped(st, reply.Reason.String())
	}
	return n.doubt(st, "commit failed: "+reply.Reason.String())
}

// dropped answers the end of a transaction of which nothing is kept.
func (n *session) dropped(st coltsfootloft.Statement, why string) coltsfootloft.Reply {
	n.server.refused("commit", st.ID(), n, coltsfootloft.ReasonAborted, why)
	return coltsfootloft.RefusedReply(coltsfootloft.ReasonAborted, why)
}

func (n *session) abortCommit(st coltsfootloft.Statement, why string) coltsfootloft.Reply {
	n.tx.abandon()
	n.tx = nil
	return n.dropped(st, why)
}

// rightLost says why the host may not use a primary that it could use before.
func (n *session) rightLost() string {
	if !n.server.Groups.Tenure.Valid() {
		return "the host has lost its lease"
	}
	return "the primary is being replaced"
}

// abort drops the transaction; nothing of it is kept, because COMMIT was not sent.
func (n *session) abort(st coltsfootloft.Statement, why string) coltsfootloft.Reply {
	return n.fail(st, coltsfootloft.ReasonAborted, why)
}

func (n *session) fail(st coltsfootloft.Statement, reason coltsfootloft.Reason, why string) coltsfootloft.Reply {
	n.tx.abandon()
	n.tx.failed = true
	n.tx.told = true
	n.server.refused(st.Verb().String(), st.ID(), n, reason, why)
	return n.inState(coltsfootloft.RefusedReply(reason, why))
}

// rollback ends the transaction and drops its writes.
func (n *session) rollback() coltsfootloft.Reply {
	t := n.tx
	if t == nil {
		return coltsfootloft.RefusedReply(coltsfootloft.ReasonMalformed, "no transaction")
	}
	n.tx = nil
	if t.line == nil {
		return coltsfootloft.Reply{}
	}
	t.line.Rollback()
	t.line = nil
	return coltsfootloft.Reply{}
}
