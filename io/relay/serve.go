package relay

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/core/prep"
	"coltsfootloft/io/lanes"
	"coltsfootloft/io/relay/relaypb"
)

// kept is a connection that another host's transaction holds.
type kept struct {
	conn  *lanes.Conn
	from  string
	timer *time.Timer
}

// Register sets the handler of other hosts' statements. It is called before Run.
func (r *Relay) Register() {
	r.kept = make(map[uint64]*kept)
	r.Peers.Register(dutyName, r.handle)
}

func (r *Relay) handle(_ context.Context, from string, body []byte) ([]byte, error) {
	var q relaypb.Request
	if err := proto.Unmarshal(body, &q); err != nil {
		return nil, errors.Wrap(err, "statement")
	}
	a := &relaypb.Response{}
	switch {
	case q.GetExchange() != nil:
		a = r.exchange(from, q.GetExchange())
	case q.GetDrop() != nil:
		if k := r.claim(q.GetDrop().GetHandle(), from); k != nil {
			r.rollback(k.conn)
		}
	}
	b, err := proto.Marshal(a)
	return b, errors.Wrap(err, "answer")
}

// exchange runs another host's statement on a connection of this one.
func (r *Relay) exchange(from string, x *relaypb.Exchange) *relaypb.Response {
	received := time.Now()
	conn, failed := r.connection(from, x)
	if failed != nil {
		return failed
	}
	reply, err := conn.Exchange(request(x, received))
	if err != nil {
		r.Lanes.Release(conn, false)
		return &relaypb.Response{
			Outcome: relaypb.Outcome_OUTCOME_LOST,
			Text:    err.Error(),
		}
	}
	a := encode(reply)
	switch {
	case reply.State == coltsfootloft.TxOpen && x.GetKeep():
		a.Handle = r.keep(conn, from, x.GetHandle())
	default:
		r.Lanes.Release(conn, reply.State == coltsfootloft.TxIdle && reply.Reason != coltsfootloft.ReasonNoStatement)
	}
	return a
}

// connection returns the connection for a statement, or what became of it. The
// right to use a primary is read after the wait for a connection.
func (r *Relay) connection(from string, x *relaypb.Exchange) (*lanes.Conn, *relaypb.Response) {
	if x.GetHandle() != 0 {
		k := r.claim(x.GetHandle(), from)
		if k == nil {
			return nil, &relaypb.Response{
				Outcome: relaypb.Outcome_OUTCOME_LOST,
				Text:    "transaction has ended",
			}
		}
		return k.conn, nil
	}
	u, ok := r.Keepers.Mirror.View().Upstreams[x.GetDatabase()]
	if !ok {
		return nil, &relaypb.Response{Outcome: relaypb.Outcome_OUTCOME_DOWN}
	}
	t := u.Target()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(x.GetWaitMs())*time.Millisecond)
	defer cancel()
	conn, err := r.Lanes.Acquire(ctx, t, x.GetAccount(), int(x.GetPriority()))
	if errors.Is(err, lanes.ErrDown) {
		return nil, &relaypb.Response{Outcome: relaypb.Outcome_OUTCOME_DOWN}
	}
	if err != nil {
		return nil, &relaypb.Response{Outcome: relaypb.Outcome_OUTCOME_BUSY}
	}
	if x.GetEpoch() != 0 && !r.mayUse(t, x.GetEpoch()) {
		r.Lanes.Release(conn, true)
		return nil, &relaypb.Response{Outcome: relaypb.Outcome_OUTCOME_BUSY}
	}
	return conn, nil
}

func (r *Relay) mayUse(t lanes.Target, epoch uint64) bool {
	office, ok := r.Groups.Primary(t.Group)
	return ok && office.Epoch == epoch && office.Target.ID == t.ID
}

// keep holds a connection for the transaction that has begun on it.
func (r *Relay) keep(conn *lanes.Conn, from string, handle uint64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if handle == 0 {
		r.next++
		handle = r.next
	}
	k := &kept{
		conn: conn,
		from: from,
	}
	r.kept[handle] = k
	k.timer = time.AfterFunc(r.Hold(), func() {
		if k := r.claim(handle, from); k != nil {
			r.Log.Info("transaction of another host rested too long", "host", from, "database", k.conn.Target().ID)
			r.Lanes.Release(k.conn, false)
		}
	})
	return handle
}

// claim takes a kept connection out of the table.
func (r *Relay) claim(handle uint64, from string) *kept {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kept[handle]
	if k == nil || k.from != from {
		return nil
	}
	delete(r.kept, handle)
	k.timer.Stop()
	return k
}

func request(x *relaypb.Exchange, received time.Time) lanes.Request {
	q := lanes.Request{
		Statement: coltsfootloft.NewStatement(x.GetId(), x.GetText(), coltsfootloft.Verb(x.GetVerb()), x.GetName(), x.GetDetail()),
		After:     coltsfootloft.NewPosition(coltsfootloft.NewTerm(x.GetAfterTerm(), ""), x.GetAfterOffset()),
		Deadline:  received.Add(time.Duration(x.GetAnswerMs()) * time.Millisecond),
	}
	if x.GetAlign() {
		q.Wishes = prep.NewSessionState(x.GetValues())
	}
	if s := x.GetShape(); s != nil {
		q.Shape = &prep.Shape{
			Writes: s.GetWrites(),
			Text:   s.GetText(),
		}
	}
	return q
}

func encode(r coltsfootloft.Reply) *relaypb.Response {
	return &relaypb.Response{
		Outcome: relaypb.Outcome_OUTCOME_ANSWERED,
		Rows:    r.Rows,
		Digest:  r.Digest,
		Reason:  uint32(r.Reason),
		Text:    r.Text,
		State:   uint32(r.State),
		Term:    r.Position.Term().Counter(),
		Offset:  r.Position.Offset(),
	}
}
