package caller

import (
	"context"
	"strings"

	"coltsfootloft"
	"coltsfootloft/core/journ"
	"coltsfootloft/core/route"
	"coltsfootloft/core/stmt"
	"coltsfootloft/io/dbops"
	"coltsfootloft/io/pool"
	"coltsfootloft/io/trace"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
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
	need    route.Need
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
func (s *Session) exchange(c *pool.Conn, b *batch, n route.Need) *exchange {
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
	x.hidden(dbops.CommitPosition, x.takeCommit)
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

// send writes every step in one go.
func (x *exchange) send() error {
	f := x.conn.Frontend()
	all := make([]step, 0, len(x.steps)+1)
	for _, t := range x.steps {
		all = x.expand(all, t)
	}
	x.steps = all
	for i := range x.steps {
		if x.steps[i].message != nil {
			f.Send(encoded(x.steps[i].message))
		}
	}
	return errors.Wrap(f.Flush(), "sending to "+x.conn.Database())
}

// expand adds a step and what must be prepared on the connection before it.
func (x *exchange) expand(all []step, t step) []step {
	if t.adds != nil {
		if x.conn.HasStatement(t.adds.name, t.adds.key) {
			a := answer(atParse, &pgproto3.ParseComplete{})
			a.change = t.change
			return append(all, a)
		}
		return append(x.evict(all, t.adds), t)
	}
	if t.needs != nil && !x.conn.HasStatement(t.needs.name, t.needs.key) {
		all = append(x.evict(all, t.needs), step{
			ends:    atParse,
			message: t.needs.parse(),
			adds:    t.needs,
			hidden:  true,
		})
	}
	return append(all, t)
}

// evict notes a statement as prepared, closing another if there are too many.
func (x *exchange) evict(all []step, t *statement) []step {
	old := x.conn.AddStatement(t.name, t.key)
	if old == "" {
		return all
	}
	return append(all, step{
		ends: atClose,
		message: encode(&pgproto3.Close{
			ObjectType: 'S',
			Name:       old,
		}),
		hidden: true,
	})
}

// receive reads the replies to every step.
func (x *exchange) receive() error {
	skipping := x.session.midBatch && x.session.skipping
	for i := range x.steps {
		t := &x.steps[i]
		if skipping && t.ends != atSync && t.ends != atFlush {
			x.forget(t)
			continue
		}
		if t.ends == atFlush {
			x.session.midBatch = true
			x.session.skipping = skipping
			continue
		}
		ok, err := x.step(t)
		if err != nil {
			return err
		}
		if ok {
			t.change.finished()
		} else {
			t.change.failed()
		}
		skipping = !ok && t.ends != atSync && t.ends != atQuery
	}
	return nil
}

// forget undoes the note that a skipped step has prepared a statement.
func (x *exchange) forget(t *step) {
	if t.adds != nil {
		x.conn.DropStatement(t.adds.name)
	}
}

// step reads up to the reply that ends the step; ok is false after an error.
func (x *exchange) step(t *step) (ok bool, err error) {
	if t.message == nil {
		return true, t.local(&x.session.out)
	}
	ok = true
	for {
		m, err := x.conn.Frontend().Receive()
		if err != nil {
			return false, errors.Wrap(err, "reading from "+x.conn.Database())
		}
		if e, isError := m.(*pgproto3.ErrorResponse); isError {
			ok = false
			if err := x.refused(t, e); err != nil {
				return false, err
			}
			if t.ends != atSync && t.ends != atQuery {
				x.forget(t)
				return false, nil
			}
			continue
		}
		done, err := x.reply(t, m)
		if done || err != nil {
			return ok, err
		}
	}
}

// reply takes one reply; done is true for the one that ends the step.
func (x *exchange) reply(t *step, m pgproto3.BackendMessage) (done bool, err error) {
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		x.ready(t, m)
		return true, nil
	case *pgproto3.DataRow:
		if t.row != nil {
			t.row(m.Values)
		}
		return false, x.pass(t, m)
	case *pgproto3.CommandComplete:
		x.completed(t, m)
		return t.ends == atExecute, x.pass(t, m)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return t.ends == atExecute, x.pass(t, m)
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete, *pgproto3.NoData:
		return true, x.pass(t, m)
	case *pgproto3.RowDescription:
		return t.ends == atDescribe, x.pass(t, m)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return true, errors.New("database started a copy")
	case *pgproto3.NotificationResponse:
		return false, nil
	default:
		return false, x.pass(t, m)
	}
}

// pass hands a reply of the caller's own steps on.
func (x *exchange) pass(t *step, m pgproto3.BackendMessage) error {
	if t.hidden {
		return nil
	}
	err := x.session.out.add(m)
	if errors.Is(err, errHeldTooMuch) {
		return err
	}
	return callerError(err)
}

// completed holds the answer from here on if the batch may have committed.
func (x *exchange) completed(t *step, m *pgproto3.CommandComplete) {
	if t.hidden {
		return
	}
	if x.commits {
		x.session.out.hold()
	}
	x.tag = string(m.CommandTag)
	if x.tag == "ROLLBACK" {
		x.rolledBack = true
	}
	if only, ok := t.script.Only(); ok {
		x.session.settings = x.session.settings.apply(only)
	}
}

// ready notes the state after a step.
func (x *exchange) ready(t *step, m *pgproto3.ReadyForQuery) {
	s := x.session
	if t.hidden {
		return
	}
	s.midBatch = false
	if s.tx == txIdle && m.TxStatus != txIdle {
		s.saved = s.settings
	}
	if m.TxStatus == txIdle && s.tx != txIdle {
		s.endTransaction(x.rolledBack)
	}
	s.tx = m.TxStatus
	s.begin = ""
	x.conn.SetSettings(s.connectionSettings())
	if s.tx != txIdle || x.rolledBack || t.script.Taints() {
		x.conn.SetSettings(unknownSettings)
	}
}

// unknownSettings makes the next borrower reset the connection.
const unknownSettings = "?"

// refused takes an error of the database.
func (x *exchange) refused(t *step, e *pgproto3.ErrorResponse) error {
	if t.refused != nil {
		t.refused(e)
		return nil
	}
	if e.Code == "0A000" || e.Code == "26000" {
		x.conn.Break()
	}
	x.refusedWrite = x.refusedWrite || e.Code == coltsfootloft.CodeReadOnly
	if t.hidden && t.ends == atQuery {
		return errors.Errorf("%s refused a statement of the host: SQLSTATE %s", x.conn.Database(), e.Code)
	}
	return callerError(x.session.out.add(e))
}

// takeStatus verifies the position of the database on this very connection.
func (x *exchange) takeStatus(row [][]byte) {
	r, err := dbops.ParseReading(row)
	if err != nil {
		x.stale = true
		return
	}
	x.conn.Verify(r.Applied())
	x.stale = !r.Applied().Covers(x.need.Position)
}

// takeCommit reads the position of the last commit on the connection.
func (x *exchange) takeCommit(row [][]byte) {
	if len(row) != 2 {
		return
	}
	p, err := dbops.ParseCommit(row[0], row[1])
	if err == nil {
		x.position = p
	}
}

// broke ends an attempt whose connection failed.
func (x *exchange) broke(err error) (verdict, error) {
	x.conn.Abort()
	var r *coltsfootloft.RefusalError
	if isCallerError(err) || errors.As(err, &r) {
		return answered, err
	}
	x.session.out.revoke()
	x.session.Env.Log.V(1).Info("upstream connection lost", "upstream", x.conn.Database(), "error", err.Error())
	return lost, coltsfootloft.Unsure("the connection to " + x.conn.Database() + " was lost before its answer was whole")
}

// settle decides what the replies mean.
func (x *exchange) settle(ctx context.Context) (verdict, error) {
	s := x.session
	if x.stale && !s.out.sent {
		x.undo()
		return elsewhere, coltsfootloft.Refuse(coltsfootloft.CodeUnavailable, x.conn.Database()+" has not reached the session's position")
	}
	if x.refusedWrite && x.mayMove() {
		x.undo()
		return elsewhere, coltsfootloft.Refuse(coltsfootloft.CodeReadOnly, x.conn.Database()+" takes no writes")
	}
	if !x.committed() {
		s.out.release()
		return answered, nil
	}
	x.conn.Committed(x.position)
	err := x.acknowledge(ctx)
	if err != nil && x.idempotent {
		return lost, err
	}
	return answered, err
}

// committed reports whether the attempt has made a commit.
func (x *exchange) committed() bool {
	return x.commits && x.position != x.conn.LastCommit()
}

// mayMove reports whether the refused attempt has had no effect anywhere.
func (x *exchange) mayMove() bool {
	return x.movable && !x.session.out.sent && !x.committed()
}

// undo takes the session back to before the attempt.
func (x *exchange) undo() {
	s := x.session
	if s.tx != txIdle {
		x.conn.Break()
	}
	s.tx = x.before.tx
	s.begin = x.before.begin
	s.settings = x.before.settings
	s.saved = x.before.saved
	s.midBatch = false
}

// acknowledge waits until a majority holds the commit.
func (x *exchange) acknowledge(ctx context.Context) error {
	s := x.session
	group := s.Route.Group()
	ctx, cancel := context.WithTimeout(ctx, s.Env.ackTimeout(group))
	defer cancel()
	defer s.observe(ackSeconds, s.now())
	wait := s.trace.Start(trace.AckWait)
	err := s.Env.Groups.Held(ctx, group, x.position)
	wait.End(err)
	if err != nil {
		s.out.revoke()
		s.note(journ.Refused, "commit not acknowledged: "+err.Error(), x.conn.Database())
		return coltsfootloft.Unsure("no majority was seen to hold the commit").
			WithHint("look up whether it took effect before you repeat it, or send it with a request id")
	}
	s.out.release()
	s.Token = s.Token.Advance(group, x.position)
	return nil
}

func upper(k stmt.Kind) string { return strings.ToUpper(k.String()) }
