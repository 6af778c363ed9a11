package caller

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"coltsfootloft"
	"coltsfootloft/core/route"
	"coltsfootloft/core/stmt"
	"coltsfootloft/io/dbops"
	"coltsfootloft/io/pool"
	"coltsfootloft/io/trace"
)

// result is the outcome of one attempt.
type result uint8

const (
	// answered: the answer is complete, or its error is final.
	answered result = iota
	// notRun: the batch had no effect on this database. Another database may run it.
	notRun
	// unanswered: the connection broke before the answer was complete, or the commit
	// of an idempotent batch was not acknowledged. The batch may have run.
	unanswered
	// aborted: the database ran the batch and rolled all of it back. It may run again,
	// on the same database too.
	aborted
)

// exchange is one attempt to run a batch on one connection.
type exchange struct {
	session *Session
	conn    *pool.Conn
	batch   *batch
	need    route.Requirements
	steps   []step
	// mayCommit is set if the batch may commit on the primary.
	mayCommit bool
	// retryReadOnly is set if a read-only error may be retried on another database.
	retryReadOnly bool
	before        state

	idempotent bool
	// recordErr is the error from recording the request id.
	recordErr  error
	commandTag string

	commitPosition coltsfootloft.Position
	// commitKnown is set once the database has answered the query for commitPosition.
	commitKnown bool
	// stale is set if the database has not reached the position that the batch needs.
	stale        bool
	refusedWrite bool
	rolledBack   bool
	// failed is set once the database has returned an error for a step of the caller.
	failed bool
	// completed is how many statements of the present step have ended.
	completed int
	// abortCode is the SQLSTATE with which the database rolled back its transaction;
	// empty if it did not.
	abortCode string
}

// state is the part of the session's state that undo restores.
type state struct {
	tx            byte
	beginSQL      string
	settings      settings
	savedSettings settings
}

// exchange prepares an attempt to run the batch on c.
func (s *Session) exchange(c *pool.Conn, b *batch, n route.Requirements) *exchange {
	x := &exchange{
		session: s,
		conn:    c,
		batch:   b,
		need:    n,
		before: state{
			tx:            s.tx,
			beginSQL:      s.beginSQL,
			settings:      s.settings,
			savedSettings: s.savedSettings,
		},
	}
	x.idempotent = s.requestID != "" && s.tx == txIdle && b.has(stmt.Write)
	x.mayCommit = s.onPrimary && !b.partial && (s.tx == txIdle || b.has(stmt.Commit))
	x.addPrefix(b)
	b.resetChanges()
	x.steps = append(x.steps, b.steps...)
	if b.partial {
		x.steps = append(x.steps, step{
			ends:    atFlush,
			message: encode(&pgproto3.Flush{}),
		})
	}
	if x.mayCommit && !x.idempotent {
		x.addCommitQuery()
	}
	return x
}

// addCommitQuery adds a query for the position of the last commit on the connection.
// In a failed transaction it returns an error, which is ignored: nothing was
// committed.
func (x *exchange) addCommitQuery() {
	x.addHidden(dbops.CommitQuery, x.onCommitPosition)
	x.steps[len(x.steps)-1].onError = func(*pgproto3.ErrorResponse) {}
}

// addPrefix adds the host's own steps that precede the caller's.
func (x *exchange) addPrefix(b *batch) {
	s := x.session
	if s.midBatch {
		return
	}
	if key := s.connectionSettings(); x.conn.Settings() != key && !s.isMidTransaction() {
		x.addHidden("RESET ALL;"+key, nil)
	}
	isAutocommitWrite := b.writes && s.tx == txIdle
	if !isAutocommitWrite && !x.conn.Verified().Covers(x.need.Position) {
		x.addHidden(dbops.StatusQuery, x.onStatus)
	}
	switch {
	case s.tx == txOpen && s.beginSQL != "":
		x.addHidden(s.beginSQL, nil)
		if s.requestID != "" && !s.txReadOnly {
			x.addRecord()
		}
	case x.idempotent:
		x.addHidden("BEGIN", nil)
		x.addRecord()
	}
}

// isMidTransaction reports whether the transaction has been started upstream.
func (s *Session) isMidTransaction() bool { return s.tx != txIdle && s.beginSQL == "" }

func (x *exchange) addHidden(sql string, row func([][]byte)) {
	x.steps = append(x.steps, step{
		ends:    atQuery,
		message: encode(&pgproto3.Query{String: sql}),
		hidden:  true,
		onRow:   row,
	})
}

// run sends the batch and evaluates the replies.
func (x *exchange) run(ctx context.Context) (result, error) {
	if err := x.sendAndReceive(); err != nil {
		return x.handleBroken(err)
	}
	if x.recordErr != nil {
		return x.answerUnrecorded(ctx)
	}
	return x.settle(ctx)
}

// sendAndReceive sends the batch and reads all replies.
func (x *exchange) sendAndReceive() (err error) {
	span := x.session.startSpan(trace.Database, x.conn.Database())
	defer func() { span.End(err) }()
	if err := x.send(); err != nil {
		return err
	}
	if err := x.receive(); err != nil {
		return err
	}
	if x.recordErr != nil || !x.idempotent {
		return nil
	}
	return x.finishIdempotent()
}

func upper(k stmt.Kind) string { return strings.ToUpper(k.String()) }
