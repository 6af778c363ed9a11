package entry

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/prep"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/relay"
)

// txTargetLatencies is how many target latencies a statement in a transaction waits for
// its answer before the transaction is aborted. A lost answer would otherwise keep it
// open for the route's whole timeout, although it is aborted in either case.
const txTargetLatencies = 2

// transaction is an open transaction of a session.
type transaction struct {
	operation
	account  string // that the key belonged to when the transaction began
	begin    coltsfootloft.Statement
	readOnly bool
	dest     destination
	conn     *relay.Conn
	synced   bool // the connection has the session's current values
	wrote    bool
	failed   bool
	reported bool // the caller has been told of the failure
}

// closeConn closes the connection, so that the database rolls back.
func (t *transaction) closeConn() {
	if t.conn == nil {
		return
	}
	t.conn.Release(false)
	t.conn = nil
}

// maxBeginID bounds the id of the statement that opens a transaction, in bytes, because it is
// kept until the transaction ends. Ids have 16 usually.
const maxBeginID = 1 << 10

// begin opens a transaction in the session. No database is contacted yet.
func (n *session) begin(st coltsfootloft.Statement) (coltsfootloft.Reply, bool) {
	if len(st.ID()) > maxBeginID {
		return n.withState(coltsfootloft.RefusedReply(coltsfootloft.ReasonTooLarge, "id over "+strconv.Itoa(maxBeginID)+" bytes")), false
	}
	if n.tx != nil {
		return n.withState(coltsfootloft.RefusedReply(coltsfootloft.ReasonMalformed, "a transaction is open")), false
	}
	o, refusal := n.admit(st)
	if refusal != nil {
		return *refusal, endsSession(refusal.Reason)
	}
	n.tx = &transaction{
		operation: o,
		account:   n.account,
		begin:     st,
		readOnly:  st.Verb() == coltsfootloft.VerbBeginRead,
	}
	return n.withState(coltsfootloft.Reply{}), false
}

// serveInTransaction runs a read or a write in the open transaction.
func (n *session) serveInTransaction(st coltsfootloft.Statement, shape *prep.Shape) coltsfootloft.Reply {
	if !n.mayContinue() {
		return n.abort(st, "key withdrawn, region not allowed any more, or settings too old")
	}
	t := n.tx
	now := n.server.Clock.Elapsed()
	if t.conn == nil {
		// Time that the caller spent before the first statement does not count.
		t.arrived = now
	}
	t.wall = time.Now()
	reason, err := n.ensureBegun(st)
	if reason != coltsfootloft.ReasonNone {
		n.refund(&t.operation)
		if err != nil {
			return n.abort(st, err.Error())
		}
		text := n.comeBack(noConnectionRetry)
		if n.isTooLate(&t.operation, !t.readOnly) {
			text = n.comeBackTooLate(&t.operation)
		}
		return n.failTransaction(st, reason, "no database took the transaction"+text)
	}
	if t.dest.reader.IsPrimary && !n.server.Groups.MaySend(t.route.Group, t.dest.reader.Primary) {
		return n.abort(st, n.primaryLostReason())
	}
	limit := min(t.route.Timeout, txTargetLatencies*t.route.TargetLatency)
	reply, err := n.exchange(t.conn, n.request(t, st, shape, t.wall.Add(limit)), t.wall.Add(limit), true)
	t.synced = true
	if err != nil {
		if t.dest.reader.IsPrimary && !wasNotSent(err) {
			n.server.ReportUnreachable(t.route.Group, t.dest.reader.Target.ID)
		}
		n.noteClosed(err)
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

// mayContinue reports whether the session's key is still valid, and still that of the account
// for which the open transaction runs, and whether that still allows the region of its database.
func (n *session) mayContinue() bool {
	route, refusal := n.authorize()
	return refusal == nil && n.account == n.tx.account && n.mayStay(n.tx, route)
}

// request returns the request for a statement of a transaction. It sets the session's values
// if they have changed since the statement before.
func (n *session) request(t *transaction, st coltsfootloft.Statement, shape *prep.Shape, deadline time.Time) dbpool.Request {
	r := dbpool.Request{
		Statement: st,
		Shape:     shape,
		Deadline:  deadline,
	}
	if !t.synced || shape != nil {
		r.Expected = &n.expected
	}
	return r
}

// ensureBegun begins the transaction at a database, if that has not happened yet. It may
// try several databases, because a transaction without statements changes nothing. The error is
// set if it can't be sent to any, as coltsfootloft.ErrNotSent or errOutsideRegions, or if the account is over its
// rate, as errOverRate.
func (n *session) ensureBegun(st coltsfootloft.Statement) (coltsfootloft.Reason, error) {
	t := n.tx
	if t.conn != nil {
		return coltsfootloft.ReasonNone, nil
	}
	tried := make(map[string]bool)
	last := coltsfootloft.ReasonBusy
	for {
		if n.isTooLate(&t.operation, !t.readOnly) && !n.commitWaits(t, st, tried) {
			return last, nil
		}
		d, ok := n.choose(&t.operation, !t.readOnly, tried)
		if !ok {
			if again, err := n.awaitChoice(t, tried); !again {
				return last, err
			}
			continue
		}
		tried[d.reader.Target.ID] = true
		conn, err := n.borrowAdmitted(&t.operation, d, tried)
		if err != nil {
			return coltsfootloft.ReasonAborted, err
		}
		if conn == nil {
			if t.waitLeft(n.server.Clock.Elapsed()) <= 0 {
				return last, nil
			}
			continue
		}
		reason, err := n.beginOn(conn, d, st)
		if err != nil || reason == coltsfootloft.ReasonNone {
			return reason, err
		}
		n.hold(&t.operation)
		if isDefinite(reason) {
			last = reason
		}
		if t.waitLeft(n.server.Clock.Elapsed()) <= 0 {
			return last, nil
		}
		if d.reader.IsPrimary {
			n.pause(&t.operation)
		}
	}
}

// awaitChoice waits while no database can be chosen for the transaction. It reports false if none will
// be in time, with errOutsideRegions if none is allowed.
func (n *session) awaitChoice(t *transaction, tried map[string]bool) (bool, error) {
	o := &t.operation
	if n.isOutsideRegions(o, !t.readOnly) {
		return false, errOutsideRegions
	}
	return !n.isCutOff(o, !t.readOnly, tried) && n.awaitDatabase(o, tried), nil
}

// commitWaits waits for another try to begin a transaction whose COMMIT is its first statement,
// since a COMMIT is not refused for its wait alone. It reports false for other statements, and
// once the COMMIT has waited long enough.
func (n *session) commitWaits(t *transaction, st coltsfootloft.Statement, tried map[string]bool) bool {
	return st.Verb() == coltsfootloft.VerbCommit && n.awaitDatabase(&t.operation, tried)
}

// isDefinite reports whether a database's refusal means that nothing ran, so that it may
// be passed on as it is.
func isDefinite(r coltsfootloft.Reason) bool {
	switch r {
	case coltsfootloft.ReasonBusy, coltsfootloft.ReasonLagging, coltsfootloft.ReasonReadOnly:
		return true
	default:
		return false
	}
}

// beginOn begins the transaction on a connection. It returns ReasonNone on success. It fails
// with coltsfootloft.ErrNotSent if the transaction can't be sent to any database.
func (n *session) beginOn(conn *relay.Conn, d destination, st coltsfootloft.Statement) (coltsfootloft.Reason, error) {
	s := n.server
	t := n.tx
	sent := s.Clock.Elapsed()
	final := time.Now().Add(min(t.route.Timeout, t.route.TargetLatency))
	reply, err := n.exchange(conn, dbpool.Request{
		Statement: t.begin,
		Expected:  &n.expected,
		After:     d.after,
		Deadline:  final,
	}, final, true)
	if errors.Is(err, coltsfootloft.ErrNotSent) {
		return coltsfootloft.ReasonAborted, err
	}
	if wasNotSent(err) {
		n.noteNotSent(&t.operation, d, err)
		return coltsfootloft.ReasonBusy, nil
	}
	t.sent = true
	t.tries++
	if err == nil && !reply.Failed() && reply.State != coltsfootloft.TxOpen {
		conn.Release(false)
		return coltsfootloft.ReasonFailed, nil
	}
	if err != nil || reply.Failed() {
		reason := reply.Reason
		text := reply.Text
		if err != nil {
			reason = coltsfootloft.ReasonFailed
			text = err.Error()
		}
		conn.Release(err == nil && reply.State == coltsfootloft.TxIdle)
		s.Log.Info("transaction not begun", "id", st.ID(), "upstream", d.reader.Target.ID, "primary", d.reader.IsPrimary,
			"reason", reason.String(), "text", text, "tries", t.tries)
		if d.reader.IsPrimary && reason != coltsfootloft.ReasonBusy {
			s.ReportUnreachable(t.route.Group, d.reader.Target.ID)
		}
		return reason, nil
	}
	if d.reader.IsPrimary && !s.Groups.MayAccept(t.route.Group, d.reader.Primary) {
		conn.Release(false)
		s.Log.Info("transaction not begun", "id", st.ID(), "upstream", d.reader.Target.ID, "primary", true,
			"reason", "the primary may have been replaced meanwhile", "lease_left", s.Groups.Lease.Left().String(), "tries", t.tries)
		return coltsfootloft.ReasonBusy, nil
	}
	t.conn = conn
	t.dest = d
	t.synced = true
	if d.reader.IsPrimary {
		s.Groups.Marks(t.route.Group).Add(d.reader.Primary.Epoch, sent, reply.Position)
	}
	return coltsfootloft.ReasonNone, nil
}

// primaryLostReason explains why the host may no longer use a primary. It counts a transaction that an
// evacuation ends.
func (n *session) primaryLostReason() string {
	if n.server.Groups.IsCutOff(n.tx.route.Group) {
		n.countAborted()
		return evacuatedTxCause
	}
	if !n.server.Groups.Lease.Valid() {
		return "the host has lost its lease"
	}
	return "the primary is being replaced"
}

// abort ends the transaction. Nothing is kept, because COMMIT was not sent.
func (n *session) abort(st coltsfootloft.Statement, text string) coltsfootloft.Reply {
	return n.failTransaction(st, coltsfootloft.ReasonAborted, text)
}

func (n *session) failTransaction(st coltsfootloft.Statement, reason coltsfootloft.Reason, text string) coltsfootloft.Reply {
	n.tx.closeConn()
	n.tx.failed = true
	n.tx.reported = true
	n.server.recordRefusal(st.Verb().String(), st.ID(), n, reason, text)
	return n.withState(coltsfootloft.RefusedReply(reason, text))
}

// rollback rolls the transaction back.
func (n *session) rollback() coltsfootloft.Reply {
	t := n.tx
	if t == nil {
		return coltsfootloft.RefusedReply(coltsfootloft.ReasonMalformed, "no transaction")
	}
	n.tx = nil
	if t.conn == nil {
		return coltsfootloft.Reply{}
	}
	t.conn.Rollback()
	t.conn = nil
	return coltsfootloft.Reply{}
}
