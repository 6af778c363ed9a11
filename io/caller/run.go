package caller

import (
	"context"
	"net"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"coltsfootloft"
	"coltsfootloft/core/events"
	"coltsfootloft/core/route"
	"coltsfootloft/core/stmt"
	"coltsfootloft/io/pool"
	"coltsfootloft/io/trace"
)

// run answers the batch that the caller has sent.
func (s *Session) run(ctx context.Context) error {
	b := s.batch
	s.batch = batch{}
	s.out.begin()
	if b.cost > 0 {
		defer s.observe(requestSeconds, s.now())
	}
	s.beginTrace(&b)
	defer s.endTrace()
	if err := s.answer(ctx, &b); err != nil {
		s.failure = err
		return err
	}
	if b.open {
		return s.out.flush()
	}
	if s.tx == txIdle {
		s.unpin()
		if b.has(stmt.Write) || b.has(stmt.Commit) || b.has(stmt.Rollback) {
			s.request = ""
		}
	}
	return s.ready()
}

// answer adds the whole answer to the batch, less the final ReadyForQuery. Its
// errors are about the caller's connection.
func (s *Session) answer(ctx context.Context, b *batch) error {
	defer s.takeBack(b)
	err := s.attempt(ctx, b)
	if err == nil {
		return nil
	}
	if isCallerError(err) {
		return err
	}
	s.failure = err
	s.fail()
	s.discarding = b.open
	s.note(events.Refused, err.Error(), "")
	countRefused(err)
	return s.out.add(response(err))
}

func (s *Session) attempt(ctx context.Context, b *batch) error {
	if b.refused != nil {
		return b.refused
	}
	if s.tx == txFailed && s.pinned == nil {
		return s.inFailed(b)
	}
	if s.answersAlone(b) {
		return s.runAlone(b)
	}
	if err := s.checkReadOnly(b); err != nil {
		return err
	}
	if err := s.checkParts(b); err != nil {
		return err
	}
	if b.cost > 0 {
		wait := s.trace.Start(trace.Admission)
		err := s.Env.Shares.Admit(ctx, s.Account, b.cost)
		wait.End(err)
		if err != nil {
			return err
		}
	}
	if s.pinned != nil {
		return s.onPinned(ctx, b)
	}
	return s.onAny(ctx, b)
}

// checkReadOnly refuses what a read-only route does not take.
func (s *Session) checkReadOnly(b *batch) error {
	if !s.Route.ReadOnly() {
		return nil
	}
	if b.has(stmt.Write) || b.touches("read_only") || b.touches("READ WRITE") {
		return coltsfootloft.Refuse(coltsfootloft.CodeReadOnly, "route "+s.Route.Name()+" takes no writes")
	}
	return nil
}

// checkParts refuses a write with a request id in a batch that comes in parts: the
// id is recorded in the transaction of the whole batch.
func (s *Session) checkParts(b *batch) error {
	if !b.open && !s.midBatch || s.request == "" || s.tx != txIdle || !b.has(stmt.Write) {
		return nil
	}
	return unsupported("a write with a request id in a batch with a Flush")
}

// onPinned runs the batch on the connection of the open transaction.
func (s *Session) onPinned(ctx context.Context, b *batch) error {
	x := s.exchange(s.pinned, b, route.Requirements{})
	_, err := x.run(ctx)
	return err
}

// onAny runs the batch on a connection chosen for it, and elsewhere again while
// that is safe.
func (s *Session) onAny(ctx context.Context, b *batch) error {
	waiting, cancel := context.WithTimeout(ctx, s.Env.Fleet().Defaults().PoolWait())
	defer cancel()
	n, err := s.need(waiting, s.needsPrimary(b))
	if err != nil {
		return err
	}
	s.Env.Retry.Offer(s.Account)
	mayHaveRun := false
	for {
		c, err := s.place(waiting, &n)
		if err != nil {
			return weaken(err, mayHaveRun)
		}
		again, err := s.try(ctx, c, b, &n)
		if !again {
			return weaken(err, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || !isNotRun(err)
		repeats.Inc()
		if waiting.Err() != nil || !s.out.restart() {
			return weaken(err, mayHaveRun)
		}
	}
}

func (s *Session) needsPrimary(b *batch) bool {
	if s.tx == txOpen {
		return !s.beginRead
	}
	if b.isOnly(stmt.BeginReadOnly, stmt.Set, stmt.Reset) {
		return false
	}
	return b.writes
}

// try makes one attempt. It reports whether another is allowed.
func (s *Session) try(ctx context.Context, c *pool.Conn, b *batch, n *route.Requirements) (again bool, err error) {
	if !s.borrow(c) {
		c.Release()
		return false, callerError(net.ErrClosed)
	}
	s.pinned = c
	x := s.exchange(c, b, *n)
	x.movable = s.movable()
	v, err := x.run(ctx)
	s.last = c.Database()
	switch v {
	case elsewhere:
		s.unpin()
		n.Avoid[c.Database()] = true
		n.Write = n.Write || x.refusedWrite
		s.note(events.Repeated, "refused by the database, not run", c.Database())
		return true, err
	case lost:
		s.unpin()
		n.Avoid[c.Database()] = true
		s.note(events.Refused, "connection lost", c.Database())
		isSafe := x.idempotent || !n.Write && !s.onPrimary
		return isSafe && s.Env.Retry.Spend(s.Account), err
	default:
		s.Env.Retry.Succeed(s.Account)
		return false, err
	}
}

// movable reports whether a refusal as read-only may mean that the database is
// not the primary, rather than that the caller asked for it.
func (s *Session) movable() bool {
	if s.tx == txOpen && s.beginRead {
		return false
	}
	return !slices.ContainsFunc(s.settings, func(o setting) bool {
		return strings.Contains(o.name, "transaction_read_only")
	})
}

// fail puts an open transaction into the failed state and gives its connection
// up: nothing of it lasts.
func (s *Session) fail() {
	if s.midBatch && s.pinned != nil {
		s.pinned.Abort()
	}
	s.midBatch = false
	if s.tx == txIdle {
		s.unpin()
		return
	}
	s.tx = txFailed
	s.begin = ""
	if s.pinned != nil {
		s.pinned.Abort()
		s.unpin()
	}
}

// inFailed answers batches in a failed transaction that has no connection.
func (s *Session) inFailed(b *batch) error {
	if b.isOnly(stmt.Commit, stmt.Rollback) {
		s.endTransaction(true)
		return s.answerAll(b, "ROLLBACK")
	}
	if b.cost == 0 {
		return s.answerAll(b, "")
	}
	return coltsfootloft.Refuse("25P02", "current transaction is aborted, commands ignored until end of transaction block")
}

// answersAlone reports whether the host answers the batch without a database.
func (s *Session) answersAlone(b *batch) bool {
	if s.midBatch {
		return false
	}
	if b.isLocal() {
		return true
	}
	if b.open {
		return false
	}
	if s.tx == txIdle {
		return b.isOnly(stmt.Begin, stmt.BeginReadOnly, stmt.Discard)
	}
	return s.pinned == nil && b.isOnly(stmt.Commit, stmt.Rollback)
}

func (s *Session) runAlone(b *batch) error {
	switch {
	case b.isLocal():
		return s.answerAll(b, "")
	case b.only.Kind() == stmt.Discard:
		s.settings = nil
		clear(s.prepared)
		clear(s.portals)
		return s.answerAll(b, "DISCARD ALL")
	case s.tx == txIdle:
		s.startTransaction(b.only)
		return s.answerAll(b, "BEGIN")
	default:
		kind := b.only.Kind()
		s.endTransaction(kind == stmt.Rollback)
		return s.answerAll(b, upper(kind))
	}
}

func (s *Session) startTransaction(t stmt.Statement) {
	s.tx = txOpen
	s.begin = t.Text()
	if s.Route.ReadOnly() && t.Kind() == stmt.Begin {
		s.begin += " READ ONLY"
	}
	s.beginRead = t.Kind() == stmt.BeginReadOnly || s.Route.ReadOnly()
	s.saved = s.settings
}

func (s *Session) endTransaction(rolledBack bool) {
	s.tx = txIdle
	s.begin = ""
	if rolledBack {
		s.settings = s.saved
	}
	s.saved = nil
}

// answerAll answers every step without a database, with this command tag.
func (s *Session) answerAll(b *batch, tag string) error {
	for i := range b.steps {
		if err := s.answerStep(&b.steps[i], tag); err != nil {
			return err
		}
	}
	return nil
}

func (s *Session) answerStep(t *step, tag string) error {
	t.change.finished()
	if t.local != nil {
		return t.local(&s.out)
	}
	switch t.ends {
	case atParse:
		return s.out.add(&pgproto3.ParseComplete{})
	case atBind:
		return s.out.add(&pgproto3.BindComplete{})
	case atDescribe:
		if t.needs != nil {
			if err := s.out.add(&pgproto3.ParameterDescription{}); err != nil {
				return err
			}
		}
		return s.out.add(&pgproto3.NoData{})
	case atExecute, atQuery:
		return s.out.add(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	case atClose:
		return s.out.add(&pgproto3.CloseComplete{})
	case atSync, atFlush:
	}
	return nil
}
