package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/prep"
	"coltsfootloft/io/groups"
	"coltsfootloft/io/lanes"
	"coltsfootloft/io/relay"
)

const (
	// offerShare is the part of the target latency that an operation may wait
	// for a database before it is refused: in time for a try at another host.
	offerShare = 0.6
	// nowhereShare is that while no database may be used, as during a change of
	// primary, which takes longer than any wait: at once, but for the moment
	// between a change and its news.
	nowhereShare = 0.24
	// repeatShare is the part of the target latency within which an operation
	// that was offered to a database, and has not run, is offered again.
	repeatShare = 0.9
	// readShare is the part of the target latency after which a read that is not
	// answered is sent again, if the account's budget for that has something left:
	// its answer may have been lost, but the database may also have too much to do.
	readShare = 0.5
	// pauseBetween is the wait before an operation is offered again to databases
	// that have all refused it.
	pauseBetween = 8 * time.Millisecond
	// ageMargin is left of the age that a route allows.
	ageMargin = 30 * time.Millisecond
)

// place is where a statement may run, and what it must find there.
type place struct {
	reader groups.Reader
	after  coltsfootloft.Position
}

// patience is how much longer an operation may wait before it is refused.
func (o *operation) patience(now time.Duration) time.Duration {
	if o.offered {
		return o.within(now, repeatShare)
	}
	return o.within(now, offerShare)
}

// within is what is left of a share of the target latency.
func (o *operation) within(now time.Duration, share float64) time.Duration {
	return time.Duration(float64(o.route.Target)*share) - (now - o.arrived)
}

// primaryPlace returns the primary, while it may be used.
func (n *session) primaryPlace(o *operation) (place, bool) {
	office, ok := n.server.Groups.Primary(o.route.Group)
	if !ok {
		return place{}, false
	}
	return place{reader: groups.Reader{
		Target:    office.Target,
		Office:    office,
		IsPrimary: true,
	}}, true
}

// place chooses a database for a statement.
func (n *session) place(o *operation, writes bool, tried map[string]bool) (place, bool) {
	if writes {
		return n.primaryPlace(o)
	}
	return n.readPlace(o, tried)
}

// readPlace chooses a database for a read, the tried ones last.
func (n *session) readPlace(o *operation, tried map[string]bool) (place, bool) {
	if o.route.Kind == coltsfootloft.RoutePrimary {
		return n.primaryPlace(o)
	}
	after, fresh := n.least(o)
	for _, r := range n.server.Groups.Readers(o.route.Group) {
		if tried[r.Target.ID] || !r.IsPrimary && (!fresh || n.server.Groups.Lanes.Lacks(r.Target.ID, after)) {
			continue
		}
		p := place{reader: r}
		if !r.IsPrimary {
			p.after = after
		}
		return p, true
	}
	return place{}, false
}

// least is the position that a replica must have applied for the route's promise;
// ok is false if that is not known.
func (n *session) least(o *operation) (p coltsfootloft.Position, ok bool) {
	g := n.server.Groups
	since := o.arrived - o.route.MaxAge + ageMargin
	p, ok = g.Marks(o.route.Group).Oldest(g.Epoch(o.route.Group), since)
	if !ok {
		return p, false
	}
	if o.route.Kind == coltsfootloft.RouteOwnWrites && n.wroteIn == o.route.Group && n.wrote.Compare(p) > 0 {
		p = n.wrote
	}
	return p, true
}

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

// awaitPlace waits where no database can be chosen; false means that the operation
// has waited long enough. Those that were tried may be tried again.
func (n *session) awaitPlace(o *operation, tried map[string]bool) bool {
	now := n.server.Clock.Elapsed()
	left := o.patience(now)
	if len(tried) == 0 && !o.offered {
		left = o.within(now, nowhereShare)
	}
	clear(tried)
	return n.pauseWithin(left)
}

// pause waits a little for a change, if the operation may wait at all.
func (n *session) pause(o *operation) {
	n.pauseWithin(o.patience(n.server.Clock.Elapsed()))
}

// pauseWithin waits a little for a change; false means that no time is left.
func (n *session) pauseWithin(left time.Duration) bool {
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(min(left, pauseBetween))
	defer timer.Stop()
	select {
	case <-n.server.Mirror.Changed():
	case <-timer.C:
	}
	return true
}

// borrow takes a line to a database, and returns nil if there is none or if the
// right to use the primary was lost while waiting.
func (n *session) borrow(o *operation, p place) *relay.Line {
	s := n.server
	left := o.patience(s.Clock.Elapsed())
	if left <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var office *groups.Office
	if p.reader.IsPrimary {
		office = &p.reader.Office
	}
	line, err := s.Relay.Borrow(ctx, p.reader.Target, n.account, o.route.Priority, office)
	if err != nil {
		n.unreached(o, p, err)
		return nil
	}
	if p.reader.IsPrimary && !s.Groups.Holds(o.route.Group, p.reader.Office) {
		line.Release(true)
		return nil
	}
	return line
}

// unreached notes a statement that was not sent.
func (n *session) unreached(o *operation, p place, err error) {
	if errors.Is(err, lanes.ErrDown) && p.reader.IsPrimary {
		n.server.Missing(o.route.Group, p.reader.Target.ID)
		n.pause(o)
	}
}

func wasNotSent(err error) bool {
	return errors.Is(err, lanes.ErrBusy) || errors.Is(err, lanes.ErrDown)
}

// attempt sends the statement once; end is false if it is to be tried again.
func (n *session) attempt(o *operation, line *relay.Line, p place, st coltsfootloft.Statement, shape *prep.Shape, writes bool) (reply coltsfootloft.Reply, end bool) {
	s := n.server
	sent := s.Clock.Elapsed()
	final := o.wall.Add(o.route.Timeout)
	deadline := final
	early := time.Now().Add(time.Duration(float64(o.route.Target) * readShare))
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
