package entry

import (
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/prep"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/relay"
)

// readRetryShare is the part of the target latency after which an unanswered read is
// sent again, if the account's retry budget allows it. The answer may have been lost,
// but the database may also be overloaded.
const readRetryShare = 0.5

// serveSingle runs a statement outside a transaction. A read may be retried until it is
// answered, a write only as long as it is known not to have run.
func (n *session) serveSingle(o *operation, st coltsfootloft.Statement, shape *prep.Shape, writes bool) coltsfootloft.Reply {
	tried := make(map[string]bool)
	for {
		if n.isTooLate(o, writes) {
			return n.refuseTooLate(o, st)
		}
		d, ok := n.choose(o, writes, tried)
		if !ok && n.isOutsideRegions(o, writes) {
			return n.refuseOperation(o, st, coltsfootloft.ReasonBusy, outsideRegions)
		}
		if !ok {
			if n.isCutOff(o, writes, tried) {
				return n.refuseOperation(o, st, coltsfootloft.ReasonBusy, evacuatedText)
			}
			if !n.awaitDatabase(o, tried) {
				return n.refuseOperation(o, st, coltsfootloft.ReasonBusy, "no database can serve it"+n.comeBack(noDatabaseRetry))
			}
			continue
		}
		tried[d.reader.Target.ID] = true
		conn, err := n.borrowAdmitted(o, d, tried)
		if err != nil {
			return n.refuseUnsent(o, st, err)
		}
		if conn == nil {
			if o.waitLeft(n.server.Clock.Elapsed()) <= 0 {
				return n.refuseOperation(o, st, coltsfootloft.ReasonBusy, "no connection came free"+n.comeBack(noConnectionRetry))
			}
			continue
		}
		reply, done := n.attempt(o, conn, d, st, shape, writes)
		if done {
			n.finish(o, st, d, reply)
			return reply
		}
		n.hold(o)
		if o.waitLeft(n.server.Clock.Elapsed()) <= 0 {
			return n.refuseOperation(o, st, coltsfootloft.ReasonBusy, "no connection came free"+n.comeBack(noConnectionRetry))
		}
	}
}

// attempt sends the statement once. It reports false if the statement should be tried
// again.
func (n *session) attempt(o *operation, conn *relay.Conn, d destination, st coltsfootloft.Statement, shape *prep.Shape, writes bool) (reply coltsfootloft.Reply, done bool) {
	s := n.server
	sent := s.Clock.Elapsed()
	final := o.wall.Add(o.route.Timeout)
	deadline := final
	retryAt := time.Now().Add(n.answerTime(o, d))
	if !writes && retryAt.Before(final) && s.retries.Available(n.account) {
		deadline = retryAt
	}
	reply, err := n.exchange(conn, dbpool.Request{
		Statement: st,
		Expected:  &n.expected,
		Shape:     shape,
		After:     d.after,
		Deadline:  deadline,
	}, final, false)
	if errors.Is(err, relay.ErrNoMemory) {
		return n.refuseOperation(o, st, coltsfootloft.ReasonBusy, "no memory for the statement; come back in 500 ms"), true
	}
	if errors.Is(err, coltsfootloft.ErrNotSent) {
		return n.refuseUnsent(o, st, err), true
	}
	if wasNotSent(err) {
		n.noteNotSent(o, d, err)
		return reply, false
	}
	o.sent = true
	o.tries++
	if err != nil {
		conn.Release(false)
		return n.handleNoAnswer(o, d, st, writes, err)
	}
	conn.Release(reply.State == coltsfootloft.TxIdle && reply.Reason != coltsfootloft.ReasonNoStatement)
	reply.State = coltsfootloft.TxIdle // a connection that a refusal left in another state is closed
	if reply.Failed() {
		return n.handleRefusal(o, d, st, reply, writes)
	}
	if d.reader.IsPrimary {
		if !n.mayAccept(o, d, writes, final) {
			return n.primaryNotConfirmed(o, st, d, writes)
		}
		s.Groups.Marks(o.route.Group).Add(d.reader.Primary.Epoch, sent, reply.Position)
	}
	if writes {
		n.noteWrite(o.route.Group, reply.Position)
	}
	return reply, true
}

// mayAccept reports whether the success of a primary may be passed on. For a write it waits for that until the
// deadline.
func (n *session) mayAccept(o *operation, d destination, writes bool, deadline time.Time) bool {
	if writes {
		return n.server.Groups.AwaitAccept(o.route.Group, d.reader.Primary, deadline)
	}
	return n.server.Groups.MayAccept(o.route.Group, d.reader.Primary)
}

// answerTime returns the time after which an unanswered read is sent again: readRetryShare of the
// target latency, or more if the load of the database explains that it is not answered yet.
func (n *session) answerTime(o *operation, d destination) time.Duration {
	const margin = 2 // of the mean time until the answer
	t := time.Duration(float64(o.route.TargetLatency) * readRetryShare)
	if expect := n.server.Groups.Expect; expect != nil {
		if e, ok := expect(d.reader.Target, n.account, o.route.Priority, o.homes); ok {
			t = max(t, margin*e.Total())
		}
	}
	return t
}

// primaryNotConfirmed handles an answer of a primary that may have been replaced before
// it ran the statement, for example because the host was suspended in between. A read
// is tried again; the outcome of a write is unknown.
func (n *session) primaryNotConfirmed(o *operation, st coltsfootloft.Statement, d destination, writes bool) (coltsfootloft.Reply, bool) {
	const text = "the primary may have been replaced meanwhile"
	if writes {
		return n.outcomeUnknown(st, text), true
	}
	s := n.server
	s.Log.Info("answer dropped", "id", st.ID(), "upstream", d.reader.Target.ID, "group", o.route.Group, "epoch", d.reader.Primary.Epoch,
		"reason", text, "lease_left", s.Groups.Lease.Left().String(), "tries", o.tries)
	if o.waitLeft(s.Clock.Elapsed()) <= 0 {
		return n.refuseOperation(o, st, coltsfootloft.ReasonAborted, text+"; come back at once"), true
	}
	n.pause(o)
	return coltsfootloft.Reply{}, false
}

// handleNoAnswer handles a statement that was sent and not answered.
func (n *session) handleNoAnswer(o *operation, d destination, st coltsfootloft.Statement, writes bool, err error) (coltsfootloft.Reply, bool) {
	s := n.server
	s.Log.Info("no answer", "id", st.ID(), "database", d.reader.Target.ID, "group", o.route.Group, "writes", writes,
		"reason", err.Error(), "after_ms", time.Since(o.wall).Milliseconds(), "tries", o.tries)
	if d.reader.IsPrimary {
		s.ReportUnreachable(o.route.Group, d.reader.Target.ID)
	}
	if writes {
		return n.outcomeUnknown(st, "no answer to a write"), true
	}
	if o.waitLeft(s.Clock.Elapsed()) <= 0 || !s.retries.Take(n.account) {
		return n.refuseOperation(o, st, coltsfootloft.ReasonAborted, "no answer to a read; come back at once"), true
	}
	return coltsfootloft.Reply{}, false
}

// handleRefusal handles a refusal or failure by the database. A statement that did not
// run is tried again; so is a read that ran and failed, within the retry budget.
func (n *session) handleRefusal(o *operation, d destination, st coltsfootloft.Statement, reply coltsfootloft.Reply, writes bool) (coltsfootloft.Reply, bool) {
	switch reply.Reason {
	case coltsfootloft.ReasonBusy, coltsfootloft.ReasonLagging, coltsfootloft.ReasonReadOnly,
		coltsfootloft.ReasonMisrouted, coltsfootloft.ReasonConnections, coltsfootloft.ReasonNoStatement:
	case coltsfootloft.ReasonFailed, coltsfootloft.ReasonTimeout:
		if writes || !n.server.retries.Take(n.account) {
			return reply, true
		}
	case coltsfootloft.ReasonTooLarge:
		n.server.Log.Info("answer dropped", "id", st.ID(), "upstream", d.reader.Target.ID, "group", o.route.Group, "reason", reply.Text)
		return reply, true
	default:
		return reply, true
	}
	if d.reader.IsPrimary && reply.Reason == coltsfootloft.ReasonReadOnly {
		n.server.ReportUnreachable(o.route.Group, d.reader.Target.ID)
	}
	if o.waitLeft(n.server.Clock.Elapsed()) <= 0 {
		n.server.recordRefusal(st.Verb().String(), st.ID(), n, reply.Reason, reply.Text)
		return reply, true
	}
	if reply.Reason == coltsfootloft.ReasonBusy || d.reader.IsPrimary {
		n.pause(o)
	}
	return coltsfootloft.Reply{}, false
}

func (n *session) outcomeUnknown(st coltsfootloft.Statement, text string) coltsfootloft.Reply {
	n.server.Log.Info("outcome unknown", "id", st.ID(), "database", n.startup.Database(), "account", n.account, "reason", text)
	return coltsfootloft.RefusedReply(coltsfootloft.ReasonInDoubt, text)
}

func (n *session) refuseOperation(o *operation, st coltsfootloft.Statement, reason coltsfootloft.Reason, text string) coltsfootloft.Reply {
	n.refund(o)
	n.server.recordRefusal(st.Verb().String(), st.ID(), n, reason, text)
	return coltsfootloft.RefusedReply(reason, text)
}

// finish counts an answered statement. It logs failures, retries and a sample of the
// rest.
func (n *session) finish(o *operation, st coltsfootloft.Statement, d destination, reply coltsfootloft.Reply) {
	s := n.server
	outcome := reply.Reason.String()
	if !reply.Failed() {
		outcome = "done"
		s.retries.AddSuccess(n.account)
	}
	s.count(st.Verb().String(), outcome)
	took := s.Clock.Elapsed() - o.arrived
	s.Metrics.GetOrCreateHistogram("coltsfootloft_operation_seconds").Update(took.Seconds())
	if !reply.Failed() && o.tries <= 1 && s.served.Add(1)%logEvery != 0 {
		return
	}
	s.Log.Info("served", "id", st.ID(), "what", st.Verb().String(), "database", n.startup.Database(), "account", n.account,
		"upstream", d.reader.Target.ID, "primary", d.reader.IsPrimary, "epoch", s.Groups.Epoch(o.route.Group),
		"outcome", outcome, "asked_for", d.after.Offset(), "applied", reply.Position.Offset(), "tries", o.tries, "took_ms", took.Milliseconds())
}
