package relay

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/core/prep"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/decode"
	"coltsfootloft/io/relay/relaypb"
)

// maxSpan is the longest time for which a statement of another host is waited for. Routes allow
// some seconds.
const maxSpan = 10 * time.Minute

// heldConn is a connection that is held for another host's transaction.
type heldConn struct {
	conn  *dbpool.Conn
	from  string
	timer *time.Timer
}

// Register sets the handler for the statements of other hosts. It is called before the
// links between hosts run.
func (r *Relay) Register() {
	r.held = make(map[uint64]*heldConn)
	r.Peers.Register(dutyName, r.handle)
}

func (r *Relay) handle(_ context.Context, from string, body []byte) ([]byte, error) {
	var q relaypb.Request
	if err := decode.Message(body, &q); err != nil {
		return nil, errors.Wrap(err, "statement")
	}
	received := r.Clock.Elapsed()
	a := &relaypb.Response{}
	switch {
	case q.GetExchange() != nil:
		var taken int
		a, taken = r.exchangeBody(from, q.GetExchange(), body)
		defer r.give(taken)
		r.addLoad(a, q.GetExchange(), received)
	case q.GetDrop() != nil:
		if h := r.take(q.GetDrop().GetHandle(), from); h != nil {
			if q.GetDrop().GetClose() {
				r.Pools.Release(h.conn, false)
			} else {
				r.rollback(h.conn)
			}
		}
	}
	b, err := proto.Marshal(a)
	return b, errors.Wrap(err, "answer")
}

// exchangeBody runs a statement of another host that came as body, if there is memory for it.
// It returns how much memory the response has taken.
func (r *Relay) exchangeBody(from string, x *relaypb.Exchange, body []byte) (a *relaypb.Response, taken int) {
	n, ok := r.takeBody(body)
	if !ok {
		return refuseStatement(x, coltsfootloft.ReasonBusy, "no memory for the statement; come back in 500 ms"), 0
	}
	defer r.give(n)
	return r.exchange(from, x)
}

// exchange runs a statement of another host on a connection of this one. It returns how much
// memory the response has taken.
func (r *Relay) exchange(from string, x *relaypb.Exchange) (a *relaypb.Response, taken int) {
	received := time.Now()
	if !r.beginServing(x.GetHandle() != 0) {
		return &relaypb.Response{
			Outcome: relaypb.Outcome_OUTCOME_BUSY,
			Leaving: true,
		}, 0
	}
	defer r.endServing()
	q, ok := r.request(x, received)
	if !ok {
		r.Log.Info("statement of another host refused", "host", from, "id", string(x.GetId()), "database", x.GetDatabase(), "verb", x.GetVerb())
		return refuseStatement(x, coltsfootloft.ReasonMalformed, "not one statement"), 0
	}
	conn, failed := r.connection(from, x)
	if failed != nil {
		return failed, 0
	}
	reply, err := conn.Exchange(r.patientFor(q, x, conn.Target()))
	if errors.Is(err, dbpool.ErrCold) && x.GetHandle() == 0 {
		r.Pools.Release(conn, true)
		return &relaypb.Response{Outcome: relaypb.Outcome_OUTCOME_BUSY}, 0
	}
	if err != nil {
		r.Pools.Release(conn, false)
		if errors.Is(err, coltsfootloft.ErrNotSent) {
			return notSent(err), 0
		}
		if errors.Is(err, dbpool.ErrUnread) && x.GetHandle() == 0 {
			return &relaypb.Response{
				Outcome:   relaypb.Outcome_OUTCOME_BUSY,
				Evacuated: errors.Is(err, dbpool.ErrClosed),
			}, 0
		}
		return &relaypb.Response{
			Outcome: relaypb.Outcome_OUTCOME_LOST,
			Text:    []byte(err.Error()),
			NotSent: errors.Is(err, dbpool.ErrUnread) || errors.Is(err, dbpool.ErrCold),
		}, 0
	}
	reply, taken = r.takeCopies(reply)
	a = encode(reply)
	switch {
	case reply.State == coltsfootloft.TxOpen && x.GetKeep():
		a.Handle = r.hold(conn, from, x.GetHandle())
	default:
		r.Pools.Release(conn, reply.State == coltsfootloft.TxIdle && reply.Reason != coltsfootloft.ReasonNoStatement)
	}
	return a, taken
}

// connection returns the connection for a statement, or the response if there is none.
// Whether the host may use the primary is checked after the wait for a connection.
func (r *Relay) connection(from string, x *relaypb.Exchange) (*dbpool.Conn, *relaypb.Response) {
	if x.GetHandle() != 0 {
		h := r.take(x.GetHandle(), from)
		if h == nil {
			r.Log.Info("transaction of another host is unknown", "host", from, "id", string(x.GetId()), "database", x.GetDatabase(),
				"handle", strconv.FormatUint(x.GetHandle(), 16))
			return nil, &relaypb.Response{
				Outcome: relaypb.Outcome_OUTCOME_LOST,
				Text:    []byte("transaction has ended"),
				NotSent: true,
			}
		}
		return h.conn, nil
	}
	u, ok := r.Owners.Mirror.View().Upstreams[x.GetDatabase()]
	if !ok {
		return nil, &relaypb.Response{Outcome: relaypb.Outcome_OUTCOME_DOWN}
	}
	t := u.Target()
	ctx, cancel := context.WithTimeout(context.Background(), span(x.GetWaitMs()))
	defer cancel()
	conn, err := r.Pools.Acquire(ctx, t, x.GetAccount(), int(x.GetPriority()))
	if errors.Is(err, dbpool.ErrDown) {
		return nil, &relaypb.Response{Outcome: relaypb.Outcome_OUTCOME_DOWN}
	}
	if errors.Is(err, coltsfootloft.ErrNotSent) {
		return nil, notSent(err)
	}
	if err != nil {
		return nil, busy(err)
	}
	if r.Pools.SlotShare != nil && r.isAbroad(from) {
		conn.LendAbroad()
	}
	if x.GetEpoch() != 0 && !r.isPrimary(t, x.GetEpoch()) {
		r.Pools.Release(conn, true)
		return nil, &relaypb.Response{Outcome: relaypb.Outcome_OUTCOME_BUSY}
	}
	return conn, nil
}

// busy returns the response to a statement for which there is no connection in time.
func busy(err error) *relaypb.Response {
	a := &relaypb.Response{
		Outcome:   relaypb.Outcome_OUTCOME_BUSY,
		Evacuated: errors.Is(err, dbpool.ErrClosed),
	}
	var refused *dbpool.WaitError
	if errors.As(err, &refused) {
		a.RetryMs = max(refused.Retry.Milliseconds(), 1)
	}
	return a
}

func (r *Relay) isPrimary(t dbpool.Target, epoch uint64) bool {
	primary, ok := r.Groups.Primary(t.Group)
	return ok && primary.Epoch == epoch && primary.Target.ID == t.ID
}

// hold keeps a connection for the open transaction of another host, under a handle which
// is assigned if it is 0.
func (r *Relay) hold(conn *dbpool.Conn, from string, handle uint64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if handle == 0 {
		handle = r.newHandle()
	}
	h := &heldConn{
		conn: conn,
		from: from,
	}
	r.held[handle] = h
	h.timer = time.AfterFunc(r.HoldTimeout(), func() {
		if expired := r.take(handle, from); expired != nil {
			r.Log.Info("transaction of another host idle for too long", "host", from, "database", expired.conn.Target().ID)
			r.Pools.Release(expired.conn, false)
		}
	})
	return handle
}

// newHandle returns a handle that names no other transaction. It is random, because other hosts
// may still use handles that an earlier run of this host gave out. r.mu is held.
func (r *Relay) newHandle() uint64 {
	for {
		var b [8]byte
		_, _ = rand.Read(b[:]) // never fails
		handle := binary.NativeEndian.Uint64(b[:])
		if _, used := r.held[handle]; handle != 0 && !used {
			return handle
		}
	}
}

// take removes a held connection from the table and returns it, or nil if the handle is
// unknown or belongs to another host.
func (r *Relay) take(handle uint64, from string) *heldConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.held[handle]
	if h == nil || h.from != from {
		return nil
	}
	delete(r.held, handle)
	h.timer.Stop()
	return h
}

// span returns a time in ms that another host has sent, at most maxSpan.
func span(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxSpan.Milliseconds())) * time.Millisecond
}

// request returns the request of another host, and false if a database would receive anything else than one
// statement of a caller and the commands before it.
func (r *Relay) request(x *relaypb.Exchange, received time.Time) (dbpool.Request, bool) {
	st, ok := r.CheckStatement(string(x.GetId()), string(x.GetText()))
	q := dbpool.Request{
		Statement: st,
		After:     coltsfootloft.NewPosition(coltsfootloft.NewTerm(x.GetAfterTerm(), ""), x.GetAfterOffset()),
		Deadline:  received.Add(span(x.GetAnswerMs())),
	}
	ok = ok && isForwarded(st.Verb()) && uint32(st.Verb()) == x.GetVerb()
	if x.GetAlign() {
		values := make(map[string]string, len(x.GetValues()))
		for _, v := range x.GetValues() {
			c := coltsfootloft.Command{
				Kind:   coltsfootloft.CommandSet,
				Name:   string(v.GetName()),
				Detail: string(v.GetValue()),
			}
			ok = ok && r.CheckCommand(c)
			values[c.Name] = c.Detail
		}
		q.Expected = prep.NewSessionState(values)
	}
	if s := x.GetShape(); s != nil {
		q.Shape = &prep.Shape{
			Writes: s.GetWrites(),
			Text:   string(s.GetText()),
		}
		ok = ok && r.CheckCommand(coltsfootloft.Command{
			Kind:   coltsfootloft.CommandPrepare,
			Name:   st.Name(),
			Detail: q.Shape.Text,
		})
	}
	isExecute := st.Verb() == coltsfootloft.VerbExecute
	return q, ok && isExecute == (q.Shape != nil) && (!isExecute || x.GetAlign())
}

// isForwarded reports whether hosts forward statements with this verb. They answer the others
// themselves.
func isForwarded(v coltsfootloft.Verb) bool {
	switch v {
	case coltsfootloft.VerbBegin, coltsfootloft.VerbBeginRead, coltsfootloft.VerbCommit,
		coltsfootloft.VerbRead, coltsfootloft.VerbWrite, coltsfootloft.VerbExecute:
		return true
	default:
		return false
	}
}

func encode(r coltsfootloft.Reply) *relaypb.Response {
	var rows [][]byte
	for _, row := range r.Rows {
		rows = append(rows, []byte(row))
	}
	return &relaypb.Response{
		Outcome: relaypb.Outcome_OUTCOME_ANSWERED,
		Rows:    rows,
		Digest:  []byte(r.Digest),
		Reason:  uint32(r.Reason),
		Text:    []byte(r.Text),
		State:   uint32(r.State),
		Term:    r.Position.Term().Counter(),
		Offset:  r.Position.Offset(),
	}
}
