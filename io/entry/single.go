package entry

import (
	"time"

	"coltsfootloft"
	"coltsfootloft/core/prep"
	"coltsfootloft/io/lanes"
	"coltsfootloft/io/relay"
)

// readShare is the part of the target latency after which a read that is not
// answered is sent again, if the account's budget for that has something left:
// its answer may have been lost, but the database may also have too much to do.
const readShare = 0.5

// single runs a statement outside a transaction. A read is repeated until it is
// answered; a write only while it is known not to have run.
func (n *session) single(o *operation, st coltsfootloft.Statement, shape *prep.Shape, writes bool) coltsfootloft.Reply {
	tried := make(map[string]bool)
	for {
		p, ok := n.place(o, writes, tried)
		if !ok {
			if !n.awaitPlace(o, tried) {
				return n.giveUp(o, st, coltsfootloft.ReasonBusy, "no database can serve it; come back in 100 ms")
			}
			continue
		}
		tried[p.reader.Target.ID] = true
		line := n.borrow(o, p)
		if line == nil {
			if o.patience(n.server.Clock.Elapsed()) <= 0 {
				return n.giveUp(o, st, coltsfootloft.ReasonBusy, "no connection came free; come back in 50 ms")
			}
			continue
		}
		reply, end := n.attempt(o, line, p, st, shape, writes)
		if end {
			n.finish(o, st, p, reply)
			return reply
		}
		if o.patience(n.server.Clock.Elapsed()) <= 0 {
			return n.giveUp(o, st, coltsfootloft.ReasonBusy, "no connection came free; come back in 50 ms")
		}
	}
}

// attempt sends the statement once; end is false if it is to be tried again.
func (n *session) attempt(o *operation, line *relay.Line, p place, st coltsfootloft.Statement, shape *prep.Shape, writes bool) (reply coltsfootloft.Reply, end bool) {
	s := n.server
	sent := s.Clock.Elapsed()
	final := o.wall.Add(o.route.Timeout)
	deadline := final
	early := time.Now().Add(time.Duration(float64(o.route.TargetLatency) * readShare))
	if !writes && early.Before(final) && s.repeats.Left(n.account) {
		deadline = early
	}
	reply, err := line.Exchange(lanes.Request{
		Statement: st,
		Wishes:    &n.wishes,
		Shape:     shape,
		After:     p.after,
		Deadline:  deadline,
	}, final, false)
	if wasNotSent(err) {
		n.unreached(o, p, err)
		return reply, false
	}
	o.offered = true
	o.tries++
	if err != nil {
		line.Release(false)
		return n.unanswered(o, p, st, writes, err)
	}
	line.Release(reply.State == coltsfootloft.TxIdle && reply.Reason != coltsfootloft.ReasonNoStatement)
	if reply.Failed() {
		return n.refusedBy(o, p, st, reply, writes)
	}
	if p.reader.IsPrimary {
		if !s.Groups.Stood(o.route.Group, p.reader.Office) {
			return n.unproved(o, st, p, writes)
		}
		s.Groups.Marks(o.route.Group).Add(p.reader.Office.Epoch, sent, reply.Position)
	}
	if writes {
		n.wrote = reply.Position
		n.wroteIn = o.route.Group
	}
	return reply, true
}

// unproved handles an answer of a primary that may have been replaced before it
// was asked, as when the host was suspended on the way: a read is tried again, the
// outcome of a write is not known.
func (n *session) unproved(o *operation, st coltsfootloft.Statement, p place, writes bool) (coltsfootloft.Reply, bool) {
	const why = "the primary may have been replaced meanwhile"
	if writes {
		return n.doubt(st, why), true
	}
	s := n.server
	s.Log.Info("answer dropped", "id", st.ID(), "upstream", p.reader.Target.ID, "group", o.route.Group, "epoch", p.reader.Office.Epoch,
		"reason", why, "lease_left", s.Groups.Tenure.Left().String(), "tries", o.tries)
	if o.patience(s.Clock.Elapsed()) <= 0 {
		return n.giveUp(o, st, coltsfootloft.ReasonAborted, why+"; come back at once"), true
	}
	n.pause(o)
	return coltsfootloft.Reply{}, false
}

// unanswered handles a statement whose answer did not come.
func (n *session) unanswered(o *operation, p place, st coltsfootloft.Statement, writes bool, err error) (coltsfootloft.Reply, bool) {
	s := n.server
	s.Log.Info("no answer", "id", st.ID(), "database", p.reader.Target.ID, "group", o.route.Group, "writes", writes,
		"reason", err.Error(), "after_ms", time.Since(o.wall).Milliseconds(), "tries", o.tries)
	if p.reader.IsPrimary {
		s.Missing(o.route.Group, p.reader.Target.ID)
	}
	if writes {
		return n.doubt(st, "no answer to a write"), true
	}
	if o.patience(s.Clock.Elapsed()) <= 0 || !s.repeats.Take(n.account) {
		return n.giveUp(o, st, coltsfootloft.ReasonAborted, "no answer to a read; come back at once"), true
	}
	return coltsfootloft.Reply{}, false
}

// refusedBy decides on a database's refusal or failure: what did not run is tried
// elsewhere, and a read that ran and failed too, out of the budget of repeats.
func (n *session) refusedBy(o *operation, p place, st coltsfootloft.Statement, reply coltsfootloft.Reply, writes bool) (coltsfootloft.Reply, bool) {
	switch reply.Reason {
	case coltsfootloft.ReasonBusy, coltsfootloft.ReasonLagging, coltsfootloft.ReasonReadOnly,
		coltsfootloft.ReasonMisrouted, coltsfootloft.ReasonConnections, coltsfootloft.ReasonNoStatement:
	case coltsfootloft.ReasonFailed, coltsfootloft.ReasonTimeout:
		if writes || !n.server.repeats.Take(n.account) {
			return reply, true
		}
	default:
		return reply, true
	}
	if p.reader.IsPrimary && reply.Reason == coltsfootloft.ReasonReadOnly {
		n.server.Missing(o.route.Group, p.reader.Target.ID)
	}
	if o.patience(n.server.Clock.Elapsed()) <= 0 {
		n.server.refused(st.Verb().String(), st.ID(), n, reply.Reason, reply.Text)
		return reply, true
	}
	if reply.Reason == coltsfootloft.ReasonBusy || p.reader.IsPrimary {
		n.pause(o)
	}
	return coltsfootloft.Reply{}, false
}

func (n *session) doubt(st coltsfootloft.Statement, why string) coltsfootloft.Reply {
	n.server.Log.Info("outcome unknown", "id", st.ID(), "database", n.greeting.Database(), "account", n.account, "reason", why)
	return coltsfootloft.RefusedReply(coltsfootloft.ReasonInDoubt, why)
}

func (n *session) giveUp(o *operation, st coltsfootloft.Statement, reason coltsfootloft.Reason, text string) coltsfootloft.Reply {
	n.refund(o)
	n.server.refused(st.Verb().String(), st.ID(), n, reason, text)
	return coltsfootloft.RefusedReply(reason, text)
}

// refund gives back what an operation took of its account's rate, if no database
// was offered it.
func (n *session) refund(o *operation) {
	if !o.offered && n.account != "" {
		n.server.Quota.Return(n.account)
	}
}

// finish counts an answered statement, and logs failures, repeats and a sample of
// the rest.
func (n *session) finish(o *operation, st coltsfootloft.Statement, p place, reply coltsfootloft.Reply) {
	s := n.server
	outcome := reply.Reason.String()
	if !reply.Failed() {
		outcome = "done"
		s.repeats.Success(n.account)
	}
	s.count(st.Verb().String(), outcome)
	took := s.Clock.Elapsed() - o.arrived
	s.Metrics.GetOrCreateHistogram("coltsfootloft_operation_seconds").Update(took.Seconds())
	if !reply.Failed() && o.tries <= 1 && s.served.Add(1)%logEvery != 0 {
		return
	}
	s.Log.Info("served", "id", st.ID(), "what", st.Verb().String(), "database", n.greeting.Database(), "account", n.account,
		"upstream", p.reader.Target.ID, "primary", p.reader.IsPrimary, "epoch", s.Groups.Epoch(o.route.Group),
		"outcome", outcome, "asked_for", p.after.Offset(), "applied", reply.Position.Offset(), "tries", o.tries, "took_ms", took.Milliseconds())
}
