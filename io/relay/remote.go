package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/core/match"
	"coltsfootloft/core/pick"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/relay/relaypb"
)

// dutyName is the name of the duty on the links between hosts.
const dutyName = "relay"

// waitShare is the part of the time until the caller's deadline that a statement may wait
// for a permit and a connection at the owner. If it started later, the caller would no
// longer wait for the answer.
const waitShare = 0.6

// ErrTransactionEnded means that a statement of a transaction was not sent, since the transaction
// has ended or its connection can't be reached.
var ErrTransactionEnded = errors.New("transaction has ended")

// errLeaving is the reason for which an owner that shuts down is avoided.
var errLeaving = errors.New("the host is leaving")

// exchangeRemote runs a statement on the owner's host.
func (n *Conn) exchangeRemote(q dbpool.Request, final time.Time, keep bool) (coltsfootloft.Reply, error) {
	r := n.relay
	taken, ok := r.takeRequest(q)
	if !ok {
		return coltsfootloft.Reply{}, ErrNoMemory
	}
	defer r.give(taken)
	b, err := proto.Marshal(&relaypb.Request{Exchange: n.encode(q, final, keep)})
	if err != nil { // the name of a database or account is not UTF-8; nothing was sent
		return coltsfootloft.Reply{}, errors.Wrap(dbpool.ErrBusy, err.Error())
	}
	started := r.Clock.Elapsed()
	r.Pools.Observe(n.target.ID, func(c *pick.Candidate, _ time.Duration) { c.Start() })
	defer r.Pools.Observe(n.target.ID, func(c *pick.Candidate, _ time.Duration) { c.End() })
	r.noteSent(n.target.ID, n.owner)
	ctx, cancel := context.WithDeadline(context.Background(), q.Deadline.Add(linkDelayMax))
	defer cancel()
	b, err = r.Peers.Call(ctx, n.owner, dutyName, b)
	if err != nil {
		return coltsfootloft.Reply{}, n.callError(err)
	}
	var a relaypb.Response
	if err := proto.Unmarshal(b, &a); err != nil {
		return coltsfootloft.Reply{}, errors.Wrap(err, "answer of the keeper")
	}
	r.noteLoad(n.target.ID, n.owner, started, a.GetLoad())
	before := coltsfootloft.TxIdle
	if n.handle != 0 {
		before = coltsfootloft.TxOpen
	}
	n.handle = a.GetHandle()
	if err := n.outcomeError(&a); err != nil {
		return coltsfootloft.Reply{}, err
	}
	reply, err := decodeReply(&a)
	if err == nil && !match.Statement(q.Statement.Verb()).Allows(reply, before) {
		err = errors.Wrapf(match.ErrMismatch, "answer of the keeper to %s", q.Statement.Verb())
	}
	if err != nil {
		return coltsfootloft.Reply{}, err
	}
	reply = r.takeReply(reply, len(b))
	r.Pools.Observe(n.target.ID, func(c *pick.Candidate, now time.Duration) { dbpool.RecordReply(c, now, started, reply) })
	return reply, nil
}

// outcomeError returns the error of Exchange for an outcome of the owner, or nil if the database
// answered.
func (n *Conn) outcomeError(a *relaypb.Response) error {
	switch a.GetOutcome() {
	case relaypb.Outcome_OUTCOME_BUSY:
		if a.GetEvacuated() {
			return dbpool.ErrClosed
		}
		if a.GetLeaving() {
			n.relay.avoid(n.owner, errLeaving)
		}
		if a.GetRetryMs() > 0 && n.relay.Pools.EstimateWaits {
			return &dbpool.WaitError{Retry: span(a.GetRetryMs())}
		}
		n.relay.Cold.Refused(n.target.ID)
		return dbpool.ErrBusy
	case relaypb.Outcome_OUTCOME_DOWN:
		n.relay.Pools.Observe(n.target.ID, func(c *pick.Candidate, now time.Duration) { c.Down(now) })
		return dbpool.ErrDown
	case relaypb.Outcome_OUTCOME_LOST:
		if a.GetNotSent() {
			return notSentError(a)
		}
		return errors.Errorf("no answer of the database: %s", a.GetText())
	case relaypb.Outcome_OUTCOME_ANSWERED:
		return nil
	default:
		return errors.Errorf("answer of the keeper with outcome %d", a.GetOutcome())
	}
}

// notSentError returns the error of Exchange for a statement that the owner did not send.
func notSentError(a *relaypb.Response) error {
	switch coltsfootloft.Reason(a.GetReason()) {
	case coltsfootloft.ReasonTooLarge:
		return errors.Wrap(coltsfootloft.ErrTooLarge, string(a.GetText()))
	case coltsfootloft.ReasonMalformed:
		return errors.Wrap(coltsfootloft.ErrNotSent, string(a.GetText()))
	default:
		return ErrTransactionEnded
	}
}

// notSent returns the response to a statement that can't be sent on any connection. Its transaction
// has ended. Earlier versions take the outcome of a statement outside a transaction as unknown.
func notSent(err error) *relaypb.Response {
	reason := coltsfootloft.ReasonMalformed
	if errors.Is(err, coltsfootloft.ErrTooLarge) {
		reason = coltsfootloft.ReasonTooLarge
	}
	return &relaypb.Response{
		Outcome: relaypb.Outcome_OUTCOME_LOST,
		Text:    []byte(err.Error()),
		Reason:  uint32(reason),
		NotSent: true,
	}
}

// callError returns the error of Exchange for a call that the owner did not answer.
func (n *Conn) callError(err error) error {
	if isNotDelivered(err) {
		n.relay.avoid(n.owner, err)
		if n.handle == 0 {
			return errors.Wrap(dbpool.ErrBusy, err.Error())
		}
		return errors.Wrap(ErrTransactionEnded, err.Error())
	}
	n.relay.Pools.Observe(n.target.ID, recordSilence)
	if !errors.Is(err, context.DeadlineExceeded) {
		n.relay.avoid(n.owner, err)
	}
	return errors.Wrap(err, "no answer of the keeper")
}

func (n *Conn) encode(q dbpool.Request, final time.Time, keep bool) *relaypb.Exchange {
	st := q.Statement
	x := &relaypb.Exchange{
		Handle:      n.handle,
		Database:    n.target.ID,
		Account:     n.account,
		Id:          []byte(st.ID()),
		Text:        []byte(st.Text()),
		Verb:        uint32(st.Verb()),
		Name:        []byte(st.Name()),
		Detail:      []byte(st.Detail()),
		AfterTerm:   q.After.Term().Counter(),
		AfterOffset: q.After.Offset(),
		WaitMs:      min(n.wait, time.Duration(waitShare*float64(time.Until(q.Deadline)))).Milliseconds(),
		AnswerMs:    time.Until(final).Milliseconds(),
		Keep:        keep,
		Priority:    uint32(max(n.priority, 0)),
	}
	if n.primary != nil {
		x.Epoch = n.primary.Epoch
	}
	if q.Expected != nil {
		x.Align = true
		for name, value := range q.Expected.Values() {
			x.Values = append(x.Values, &relaypb.Value{
				Name:  []byte(name),
				Value: []byte(value),
			})
		}
	}
	if q.Shape != nil {
		x.Shape = &relaypb.Shape{
			Writes: q.Shape.Writes,
			Text:   []byte(q.Shape.Text),
		}
	}
	return x
}

// decodeReply returns the reply in an answer. It fails if this host does not know the reason or
// the state, which a later version may have added: callers could not be told either.
func decodeReply(a *relaypb.Response) (coltsfootloft.Reply, error) {
	if a.GetReason() > uint32(coltsfootloft.ReasonInDoubt) || a.GetState() > uint32(coltsfootloft.TxFailed) {
		return coltsfootloft.Reply{}, errors.Errorf("answer of the keeper with reason %d, state %d", a.GetReason(), a.GetState())
	}
	var rows []string
	for _, row := range a.GetRows() {
		rows = append(rows, string(row))
	}
	return coltsfootloft.Reply{
		Rows:     rows,
		Digest:   string(a.GetDigest()),
		Reason:   coltsfootloft.Reason(a.GetReason()),
		Text:     string(a.GetText()),
		State:    coltsfootloft.TxState(a.GetState()),
		Position: coltsfootloft.NewPosition(coltsfootloft.NewTerm(a.GetTerm(), ""), a.GetOffset()),
	}, nil
}

// endRemote asks an owner to roll back a transaction, without waiting for the answer. The owner sends
// no ROLLBACK to a closed database, and closes the connection instead.
func (r *Relay) endRemote(owner string, handle uint64, closed bool) {
	b, err := proto.Marshal(&relaypb.Request{Drop: &relaypb.Drop{
		Handle: handle,
		Close:  closed,
	}})
	if err != nil {
		panic(err) // a message without strings always encodes
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		defer cancel()
		if _, err := r.Peers.Call(ctx, owner, dutyName, b); err != nil {
			r.Log.V(1).Info("connection owner not told of the end of a transaction", "host", owner, "reason", err.Error())
		}
	}()
}
