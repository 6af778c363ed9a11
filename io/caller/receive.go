package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/dbops"
)

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
	if only, ok := t.script.Single(); ok {
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
