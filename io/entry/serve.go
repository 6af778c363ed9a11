package entry

import (
	"context"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/prep"
)

const (
	// admitWait bounds the wait for an account's rate, as a share of the route's
	// target latency: an operation that waits longer is better tried elsewhere.
	admitWait = 0.24
	// firstWait is that for the first rate that the host asks for, which has to
	// come from another host.
	firstWait = 0.6
)

// logEvery is the share of successes that get a line.
const logEvery = 128

// serve runs one statement; last ends the session behind the answer.
func (n *session) serve(st coltsfootloft.Statement) (reply coltsfootloft.Reply, last bool) {
	if n.tx != nil && n.tx.failed && st.Verb() != coltsfootloft.VerbRollback && st.Verb() != coltsfootloft.VerbCommit {
		if !n.tx.told {
			n.tx.told = true
			return n.inState(coltsfootloft.RefusedReply(coltsfootloft.ReasonAborted, "transaction aborted")), false
		}
		return n.inState(coltsfootloft.RefusedReply(coltsfootloft.ReasonMalformed, "transaction failed")), false
	}
	switch st.Verb() {
	case coltsfootloft.VerbSet, coltsfootloft.VerbPrepareRead, coltsfootloft.VerbPrepareWrite, coltsfootloft.VerbDeallocate:
		return n.inState(n.remember(st)), false
	case coltsfootloft.VerbBegin, coltsfootloft.VerbBeginRead:
		return n.begin(st)
	case coltsfootloft.VerbRollback:
		return n.rollback(), false
	case coltsfootloft.VerbCommit:
		if n.tx == nil {
			return coltsfootloft.RefusedReply(coltsfootloft.ReasonMalformed, "no transaction"), false
		}
		return n.commit(st), false
	case coltsfootloft.VerbRead, coltsfootloft.VerbWrite, coltsfootloft.VerbExecute:
		return n.data(st)
	case coltsfootloft.VerbUnknown:
	}
	return n.inState(coltsfootloft.RefusedReply(coltsfootloft.ReasonMalformed, "unknown statement")), false
}

// inState puts the session's state into a reply of the host's own.
func (n *session) inState(r coltsfootloft.Reply) coltsfootloft.Reply {
	switch {
	case n.tx == nil:
		r.State = coltsfootloft.TxIdle
	case n.tx.failed:
		r.State = coltsfootloft.TxFailed
	default:
		r.State = coltsfootloft.TxOpen
	}
	return r
}

// remember answers statements that change only the session.
func (n *session) remember(st coltsfootloft.Statement) coltsfootloft.Reply {
	if n.wishes.Len() >= maxWishes && st.Verb() != coltsfootloft.VerbDeallocate {
		return coltsfootloft.RefusedReply(coltsfootloft.ReasonTooLarge, "too many session values")
	}
	switch st.Verb() {
	case coltsfootloft.VerbSet:
		n.wishes.Set(st.Name(), st.Detail())
	case coltsfootloft.VerbPrepareRead, coltsfootloft.VerbPrepareWrite:
		n.wishes.Prepare(st.Name(), prep.Shape{
			Writes: st.Verb() == coltsfootloft.VerbPrepareWrite,
			Text:   st.Detail(),
		})
	case coltsfootloft.VerbDeallocate:
		if !n.wishes.Deallocate(st.Name()) {
			return coltsfootloft.RefusedReply(coltsfootloft.ReasonNoStatement, "no such statement")
		}
	default:
	}
	if n.tx != nil {
		n.tx.aligned = false
	}
	return coltsfootloft.Reply{}
}

// operation is a single statement or a transaction, from its first byte.
type operation struct {
	route   coltsfootloft.Route
	arrived time.Duration
	wall    time.Time
	offered bool
	tries   int
}

// open checks key, route and rate for a new operation.
func (n *session) open(st coltsfootloft.Statement) (operation, *coltsfootloft.Reply) {
	o := operation{
		arrived: n.server.Clock.Elapsed(),
		wall:    time.Now(),
	}
	route, refusal := n.permit()
	if refusal != nil {
		n.server.refused(st.Verb().String(), st.ID(), n, refusal.Reason, refusal.Text)
		return o, refusal
	}
	o.route = route
	n.server.repeats.Offer(n.account)
	if n.account == "" {
		return o, nil
	}
	share := admitWait
	if n.server.Quota.IsNew(n.account) {
		share = firstWait
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(route.TargetLatency)*share))
	defer cancel()
	if !n.server.Quota.Admit(ctx, n.account) {
		r := refuse(coltsfootloft.ReasonBusy, "account over its rate; come back in 1000 ms")
		n.server.refused(st.Verb().String(), st.ID(), n, r.Reason, r.Text)
		return o, r
	}
	return o, nil
}

// isFinal reports whether a refusal ends the session, so that its caller finds
// another host or gives up.
func isFinal(r coltsfootloft.Reason) bool {
	return r == coltsfootloft.ReasonNoKey || r == coltsfootloft.ReasonNoRoute
}

// data serves a read or a write.
func (n *session) data(st coltsfootloft.Statement) (coltsfootloft.Reply, bool) {
	var shape *prep.Shape
	if st.Verb() == coltsfootloft.VerbExecute {
		s, ok := n.wishes.Shape(st.Name())
		if !ok {
			return n.inState(coltsfootloft.RefusedReply(coltsfootloft.ReasonNoStatement, "no such statement")), false
		}
		shape = &s
	}
	if n.tx != nil {
		return n.inTransaction(st, shape), false
	}
	o, refusal := n.open(st)
	if refusal != nil {
		return *refusal, isFinal(refusal.Reason)
	}
	writes := st.Verb() == coltsfootloft.VerbWrite || shape != nil && shape.Writes
	return n.single(&o, st, shape, writes), false
}

// refused logs and counts a refusal.
func (s *Server) refused(what, id string, n *session, reason coltsfootloft.Reason, text string) {
	s.count(what, reason.String())
	age, known := s.Mirror.Horizon().Age(s.Clock.Elapsed())
	version := uint64(0)
	if c := s.Mirror.View().Catalog; c != nil {
		version = c.Version
	}
	s.Log.Info("refused", "id", id, "what", what, "database", n.greeting.Database(), "account", n.account, "reason", reason.String(),
		"text", text, "settings", version, "settings_age", age.String(), "settings_known", known, "lease_left", s.Groups.Tenure.Left().String())
}

func (s *Server) count(what, outcome string) {
	s.Metrics.GetOrCreateCounter(`coltsfootloft_statements_total{what="` + what + `",outcome="` + outcome + `"}`).Inc()
}
