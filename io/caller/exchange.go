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

// verdict is how one attempt ended.
type verdict uint8

const (
	// answered: the caller has its answer, or will have it.
	answered verdict = iota
	// elsewhere: the database has not run the batch, another one may.
	elsewhere
	// lost: the connection broke before the answer was whole.
	lost
)

// exchange is one attempt to run a batch on one connection.
type exchange struct {
	session *Session
	conn    *pool.Conn
	batch   *batch
	need    route.Requirements
	steps   []step
	commits bool
	movable bool
	before  state

	idempotent bool
	recorded   error
	tag        string

	position     coltsfootloft.Position
	stale        bool
	refusedWrite bool
	rolledBack   bool
}

// state is what an undone attempt restores.
type state struct {
	tx       byte
	begin    string
	settings settings
	saved    settings
}

// exchange prepares an attempt on c.
func (s *Session) exchange(c *pool.Conn, b *batch, n route.Requirements) *exchange {
	x := &exchange{
		session: s,
		conn:    c,
		batch:   b,
		need:    n,
		before: state{
			tx:       s.tx,
			begin:    s.begin,
			settings: s.settings,
			saved:    s.saved,
		},
	}
	x.idempotent = s.request != "" && s.tx == txIdle && b.has(stmt.Write)
	x.commits = s.onPrimary && !b.open && (s.tx == txIdle || b.has(stmt.Commit))
	x.prefix(b)
	b.begin()
	x.steps = append(x.steps, b.steps...)
	if b.open {
		x.steps = append(x.steps, step{
			ends:    atFlush,
			message: encode(&pgproto3.Flush{}),
		})
	}
	if x.commits && !x.idempotent {
		x.askCommit()
	}
	return x
}

// askCommit asks for the position of the last commit on the connection. In a
// failed transaction the answer is an error, and there was no commit.
func (x *exchange) askCommit() {
	x.hidden(dbops.CommitQuery, x.takeCommit)
	x.steps[len(x.steps)-1].refused = func(*pgproto3.ErrorResponse) {}
}

// prefix adds the host's own steps that come before the caller's.
func (x *exchange) prefix(b *batch) {
	s := x.session
	if s.midBatch {
		return
	}
	if key := s.connectionSettings(); x.conn.Settings() != key && !s.isMidTransaction() {
		x.hidden("RESET ALL;"+key, nil)
	}
	isLoneWrite := b.writes && s.tx == txIdle
	if !isLoneWrite && !x.conn.Verified().Covers(x.need.Position) {
		x.hidden(dbops.StatusQuery, x.takeStatus)
	}
	switch {
	case s.tx == txOpen && s.begin != "":
		x.hidden(s.begin, nil)
		if s.request != "" && !s.beginRead {
			x.record()
		}
	case x.idempotent:
		x.hidden("BEGIN", nil)
		x.record()
	}
}

// isMidTransaction reports whether the transaction has begun upstream.
func (s *Session) isMidTransaction() bool { return s.tx != txIdle && s.begin == "" }

func (x *exchange) hidden(sql string, row func([][]byte)) {
	x.steps = append(x.steps, step{
		ends:    atQuery,
		message: encode(&pgproto3.Query{String: sql}),
		hidden:  true,
		row:     row,
	})
}

// run sends the batch and gathers its answer.
func (x *exchange) run(ctx context.Context) (verdict, error) {
	if err := x.converse(); err != nil {
		return x.broke(err)
	}
	if x.recorded != nil {
		return x.already(ctx)
	}
	return x.settle(ctx)
}

// converse sends the batch and reads every reply.
func (x *exchange) converse() (err error) {
	span := x.session.spanAt(trace.Database, x.conn.Database())
	defer func() { span.End(err) }()
	if err := x.send(); err != nil {
		return err
	}
	if err := x.receive(); err != nil {
		return err
	}
	if x.recorded != nil || !x.idempotent {
		return nil
	}
	return x.finish()
}

func upper(k stmt.Kind) string { return strings.ToUpper(k.String()) }
