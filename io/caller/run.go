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

// run executes the current batch and sends its answer.
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
	if b.partial {
		return s.out.flush()
	}
	if s.tx == txIdle {
		s.unpin()
		if b.has(stmt.Write) || b.has(stmt.Commit) || b.has(stmt.Rollback) {
			s.requestID = ""
		}
	}
	return s.sendReady()
}

// answer adds the whole answer to the batch, except the final ReadyForQuery. An error
// that it returns concerns the caller's connection.
func (s *Session) answer(ctx context.Context, b *batch) error {
	defer s.revertChanges(b)
	err := s.execute(ctx, b)
	if err == nil {
		return nil
	}
	if isCallerError(err) {
		return err
	}
	s.failure = err
	s.failTransaction()
	s.discarding = b.partial
	s.recordEvent(events.Refused, err.Error(), "")
	countRefused(err)
	return s.out.add(response(err))
}

func (s *Session) execute(ctx context.Context, b *batch) error {
	if b.refusal != nil {
		return b.refusal
	}
	if err := s.growForSettings(b); err != nil {
		return err
	}
	if s.tx == txFailed && s.pinned == nil {
		return s.answerFailed(b)
	}
	if s.needsNoDatabase(b) {
		return s.runWithoutDatabase(b)
	}
	if err := s.checkReadOnly(b); err != nil {
		return err
	}
	if err := s.checkPartial(b); err != nil {
		return err
	}
	if b.cost > 0 {
		wait := s.trace.Start(trace.AdmissionWait)
		err := s.Env.Shares.Admit(ctx, s.Account, b.cost)
		wait.End(err)
		if err != nil {
			return err
		}
	}
	if s.pinned != nil {
		return s.runOnPinned(ctx, b)
	}
	return s.runOnAny(ctx, b)
}

// checkReadOnly refuses writes on a read-only route.
func (s *Session) checkReadOnly(b *batch) error {
	if !s.Route.ReadOnly() {
		return nil
	}
	if b.has(stmt.Write) || b.mentions("read_only") || b.mentions("READ WRITE") {
		return coltsfootloft.Refuse(coltsfootloft.CodeReadOnly, "route "+s.Route.Name()+" takes no writes")
	}
	return nil
}

// checkPartial refuses a write with a request id in a batch with a Flush: the id must
// be recorded in the transaction of the whole batch.
func (s *Session) checkPartial(b *batch) error {
	if !b.partial && !s.midBatch || s.requestID == "" || s.tx != txIdle || !b.has(stmt.Write) {
		return nil
	}
	return unsupported("a write with a request id in a batch with a Flush")
}

// runOnPinned runs the batch on the connection of the open transaction.
func (s *Session) runOnPinned(ctx context.Context, b *batch) error {
	x := s.exchange(s.pinned, b, route.Requirements{})
	_, err := x.run(ctx)
	return err
}

// runOnAny runs the batch on a connection chosen for it, and retries on other
// databases while that is safe.
func (s *Session) runOnAny(ctx context.Context, b *batch) error {
	waiting, cancel := context.WithTimeout(ctx, s.Env.Fleet().Defaults().PoolWait())
	defer cancel()
	n, err := s.need(waiting, s.needsPrimary(b))
	if err != nil {
		return err
	}
	s.Env.RetryBudget.Offer(s.Account)
	mayHaveRun := false
	for {
		c, err := s.place(waiting, &n)
		if err != nil {
			return withEarlierAttempts(err, mayHaveRun)
		}
		again, err := s.tryOn(ctx, c, b, &n)
		if !again {
			return withEarlierAttempts(err, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || !isNotRun(err)
		repeats.Inc()
		if isDiscarded := s.out.discard(); !isDiscarded || waiting.Err() != nil {
			return withEarlierAttempts(err, mayHaveRun)
		}
	}
}

func (s *Session) needsPrimary(b *batch) bool {
	if s.tx == txOpen {
		return !s.txReadOnly
	}
	if b.isOnly(stmt.BeginReadOnly, stmt.Set, stmt.Reset) {
		return false
	}
	return b.writes
}

// tryOn makes one attempt on c. It reports whether another attempt is allowed.
func (s *Session) tryOn(ctx context.Context, c *pool.Conn, b *batch, n *route.Requirements) (again bool, err error) {
	if !s.setCurrent(c) {
		c.Release()
		return false, callerError(net.ErrClosed)
	}
	s.pinned = c
	x := s.exchange(c, b, *n)
	x.retryReadOnly = s.mayRetryReadOnly()
	v, err := x.run(ctx)
	s.lastDatabase = c.Database()
	switch v {
	case notRun:
		s.unpin()
		n.Avoid[c.Database()] = true
		n.Write = n.Write || x.refusedWrite
		s.recordEvent(events.Repeated, "refused by the database, not run", c.Database())
		return true, err
	case aborted:
		s.unpin()
		s.recordEvent(events.Repeated, "rolled back by the database", c.Database())
		return s.Env.RetryBudget.Spend(s.Account), err
	case unanswered:
		s.unpin()
		n.Avoid[c.Database()] = true
		s.recordEvent(events.Refused, "connection lost", c.Database())
		isSafe := x.idempotent || !n.Write && !s.onPrimary
		return isSafe && s.Env.RetryBudget.Spend(s.Account), err
	default:
		s.Env.RetryBudget.Succeed(s.Account)
		return false, err
	}
}

// mayRetryReadOnly reports whether a read-only error may mean that the database is
// not the primary. That is not so if the caller itself asked for a read-only
// transaction.
func (s *Session) mayRetryReadOnly() bool {
	if s.tx == txOpen && s.txReadOnly {
		return false
	}
	return !slices.ContainsFunc(s.settings, func(o setting) bool {
		return strings.Contains(o.name, "transaction_read_only")
	})
}

// failTransaction puts an open transaction into the failed state. It aborts its
// connection, so that the database rolls the transaction back.
func (s *Session) failTransaction() {
	if s.midBatch && s.pinned != nil {
		s.pinned.Abort()
	}
	s.midBatch = false
	if s.tx == txIdle {
		s.unpin()
		return
	}
	s.tx = txFailed
	s.beginSQL = ""
	if s.pinned != nil {
		s.pinned.Abort()
		s.unpin()
	}
}

// answerFailed answers a batch in a failed transaction that no longer has a
// connection.
func (s *Session) answerFailed(b *batch) error {
	if b.isOnly(stmt.Commit, stmt.Rollback) {
		s.endTransaction(true)
		return s.answerAll(b, "ROLLBACK")
	}
	if b.cost == 0 {
		return s.answerAll(b, "")
	}
	return coltsfootloft.Refuse("25P02", "current transaction is aborted, commands ignored until end of transaction block")
}

// needsNoDatabase reports whether the host answers the batch without a database.
func (s *Session) needsNoDatabase(b *batch) bool {
	if s.midBatch {
		return false
	}
	if b.isLocal() {
		return true
	}
	if b.partial {
		return false
	}
	if s.tx == txIdle {
		return b.isOnly(stmt.Begin, stmt.BeginReadOnly, stmt.Discard)
	}
	return s.pinned == nil && b.isOnly(stmt.Commit, stmt.Rollback)
}

func (s *Session) runWithoutDatabase(b *batch) error {
	switch {
	case b.isLocal():
		return s.answerAll(b, "")
	case b.single.Kind() == stmt.Discard:
		s.settings = nil
		clear(s.prepared)
		s.preparedBytes = 0
		clear(s.portals)
		s.portalBytes = 0
		return s.answerAll(b, "DISCARD ALL")
	case s.tx == txIdle:
		s.startTransaction(b.single)
		return s.answerAll(b, "BEGIN")
	default:
		kind := b.single.Kind()
		s.endTransaction(kind == stmt.Rollback)
		return s.answerAll(b, upper(kind))
	}
}

func (s *Session) startTransaction(t stmt.Statement) {
	s.tx = txOpen
	s.beginSQL = t.Text()
	if s.Route.ReadOnly() && t.Kind() == stmt.Begin {
		s.beginSQL += " READ ONLY"
	}
	s.txReadOnly = t.Kind() == stmt.BeginReadOnly || s.Route.ReadOnly()
	s.savedSettings = s.settings
}

func (s *Session) endTransaction(rolledBack bool) {
	s.tx = txIdle
	s.beginSQL = ""
	if rolledBack {
		s.settings = s.savedSettings
	}
	s.savedSettings = nil
}

// answerAll answers every step without a database; executions return this command
// tag.
func (s *Session) answerAll(b *batch, tag string) error {
	for i := range b.steps {
		if err := s.answerStep(&b.steps[i], tag); err != nil {
			return err
		}
	}
	return nil
}

func (s *Session) answerStep(t *step, tag string) error {
	t.change.markDone()
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
