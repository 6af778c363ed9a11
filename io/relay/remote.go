package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/core/pick"
	"coltsfootloft/io/lanes"
	"coltsfootloft/io/relay/relaypb"
)

// dutyName is the duty on the links between hosts.
const dutyName = "relay"

// waitShare is the part of the caller's patience with an answer that a statement may
// wait for its turn at the keeper; later it would run for nobody.
const waitShare = 0.6

// exchangeAt has the keeper run a statement.
func (n *Line) exchangeAt(q lanes.Request, final time.Time, keep bool) (coltsfootloft.Reply, error) {
	r := n.relay
	b, err := proto.Marshal(&relaypb.Request{Exchange: n.encode(q, final, keep)})
	if err != nil {
		panic(err) // messages of plain fields always encode
	}
	started := r.Clock.Elapsed()
	r.Lanes.Observe(n.target.ID, func(c *pick.Candidate, _ time.Duration) { c.Start() })
	defer r.Lanes.Observe(n.target.ID, func(c *pick.Candidate, _ time.Duration) { c.End() })
	ctx, cancel := context.WithDeadline(context.Background(), q.Deadline.Add(way))
	defer cancel()
	b, err = r.Peers.Call(ctx, n.keeper, dutyName, b)
	if err != nil {
		return coltsfootloft.Reply{}, n.uncalled(err)
	}
	var a relaypb.Response
	if err := proto.Unmarshal(b, &a); err != nil {
		return coltsfootloft.Reply{}, errors.Wrap(err, "answer of the keeper")
	}
	n.handle = a.GetHandle()
	switch a.GetOutcome() {
	case relaypb.Outcome_OUTCOME_BUSY:
		return coltsfootloft.Reply{}, lanes.ErrBusy
	case relaypb.Outcome_OUTCOME_DOWN:
		r.Lanes.Observe(n.target.ID, func(c *pick.Candidate, now time.Duration) { c.Down(now) })
		return coltsfootloft.Reply{}, lanes.ErrDown
	case relaypb.Outcome_OUTCOME_LOST:
		return coltsfootloft.Reply{}, errors.Errorf("no answer of the database: %s", a.GetText())
	case relaypb.Outcome_OUTCOME_ANSWERED:
	}
	reply := decode(&a)
	r.Lanes.Observe(n.target.ID, func(c *pick.Candidate, now time.Duration) { lanes.Note(c, now, started, reply) })
	return reply, nil
}

// uncalled is the error of a call that the keeper did not answer.
func (n *Line) uncalled(err error) error {
	if wasNotCalled(err) {
		n.relay.avoid(n.keeper, err)
		if n.handle == 0 {
			return errors.Wrap(lanes.ErrBusy, err.Error())
		}
		return errors.Wrap(err, "keeper of the transaction")
	}
	n.relay.Lanes.Observe(n.target.ID, silent)
	if !errors.Is(err, context.DeadlineExceeded) {
		n.relay.avoid(n.keeper, err)
	}
	return errors.Wrap(err, "no answer of the keeper")
}

func (n *Line) encode(q lanes.Request, final time.Time, keep bool) *relaypb.Exchange {
	st := q.Statement
	x := &relaypb.Exchange{
		Handle:      n.handle,
		Database:    n.target.ID,
		Account:     n.account,
		Id:          st.ID(),
		Text:        st.Text(),
		Verb:        uint32(st.Verb()),
		Name:        st.Name(),
		Detail:      st.Detail(),
		AfterTerm:   q.After.Term().Counter(),
		AfterOffset: q.After.Offset(),
		WaitMs:      min(n.wait, time.Duration(waitShare*float64(time.Until(q.Deadline)))).Milliseconds(),
		AnswerMs:    time.Until(final).Milliseconds(),
		Keep:        keep,
		Priority:    uint32(max(n.priority, 0)),
	}
	if n.office != nil {
		x.Epoch = n.office.Epoch
	}
	if q.Wishes != nil {
		x.Align = true
		x.Values = q.Wishes.Values()
	}
	if q.Shape != nil {
		x.Shape = &relaypb.Shape{
			Writes: q.Shape.Writes,
			Text:   q.Shape.Text,
		}
	}
	return x
}

func decode(a *relaypb.Response) coltsfootloft.Reply {
	return coltsfootloft.Reply{
		Rows:     a.GetRows(),
		Digest:   a.GetDigest(),
		Reason:   coltsfootloft.Reason(a.GetReason()),
		Text:     a.GetText(),
		State:    coltsfootloft.TxState(a.GetState()),
		Position: coltsfootloft.NewPosition(coltsfootloft.NewTerm(a.GetTerm(), ""), a.GetOffset()),
	}
}

// drop tells a keeper that a transaction has ended.
func (r *Relay) drop(keeper string, handle uint64) {
	b, err := proto.Marshal(&relaypb.Request{Drop: &relaypb.Drop{Handle: handle}})
	if err != nil {
		panic(err) // messages of plain fields always encode
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		defer cancel()
		if _, err := r.Peers.Call(ctx, keeper, dutyName, b); err != nil {
			r.Log.V(1).Info("end of a transaction not told", "host", keeper, "reason", err.Error())
		}
	}()
}
