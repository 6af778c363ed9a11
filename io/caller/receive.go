package caller

import (
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/dbops"
)

// receive reads the replies to all steps.
func (x *exchange) receive() error {
	skipping := x.session.midBatch && x.session.skipping
	for i := range x.steps {
		t := &x.steps[i]
		if skipping && t.ends != atSync && t.ends != atFlush {
			x.forgetStatement(t)
			continue
		}
		if t.ends == atFlush {
			x.session.midBatch = true
			x.session.skipping = skipping
			continue
		}
		ok, err := x.receiveStep(t)
		if err != nil {
			return err
		}
		if ok {
			t.change.markDone()
		} else {
			t.change.markFailed()
		}
		skipping = !ok && t.ends != atSync && t.ends != atQuery
	}
	return nil
}

// forgetStatement removes the statement of a skipped or failed step from those that
// the connection has prepared.
func (x *exchange) forgetStatement(t *step) {
	if t.prepares != nil {
		x.conn.DropStatement(t.prepares.name)
	}
}

// receiveStep reads the replies up to the one that ends the step; ok is false if the
// step failed.
func (x *exchange) receiveStep(t *step) (ok bool, err error) {
	if t.message == nil {
		return true, t.local(&x.session.out)
	}
	ok = true
	x.completed = 0
	for {
		m, err := x.conn.Frontend().Receive()
		if err != nil {
			return false, errors.Wrap(err, "reading from "+x.conn.Database())
		}
		if e, isError := m.(*pgproto3.ErrorResponse); isError {
			ok = false
			if err := x.handleError(t, e); err != nil {
				return false, err
			}
			if t.ends != atSync && t.ends != atQuery {
				x.forgetStatement(t)
				return false, nil
			}
			continue
		}
		done, err := x.handleReply(t, m)
		if done || err != nil {
			return ok, err
		}
	}
}

// handleReply processes one reply; done is true for the one that ends the step. It fails if the reply
// answers another step: the answers on the connection are out of step with the requests then.
func (x *exchange) handleReply(t *step, m pgproto3.BackendMessage) (done bool, err error) {
	if !t.ends.mayGet(m) {
		err := errors.Errorf("%s answered with %T in place of %s", x.conn.Database(), m, t.ends)
		x.session.Env.Log.Info("answers out of step", "upstream", x.conn.Database(), "reason", err.Error())
		return true, err
	}
	switch m := m.(type) {
	case *pgproto3.ReadyForQuery:
		x.handleReady(t, m)
		return true, nil
	case *pgproto3.DataRow:
		if t.onRow != nil {
			t.onRow(m.Values)
		}
		return false, x.forward(t, m)
	case *pgproto3.CommandComplete:
		x.handleComplete(t, m)
		return t.ends == atExecute, x.forward(t, m)
	case *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return t.ends == atExecute, x.forward(t, m)
	case *pgproto3.ParseComplete, *pgproto3.BindComplete, *pgproto3.CloseComplete, *pgproto3.NoData:
		return true, x.forward(t, m)
	case *pgproto3.RowDescription:
		return t.ends == atDescribe, x.forward(t, m)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return true, errors.New("database started a copy")
	case *pgproto3.NotificationResponse:
		return false, nil
	default:
		return false, x.forward(t, m)
	}
}

// forward adds a reply to the caller's answer, unless the step is hidden.
func (x *exchange) forward(t *step, m pgproto3.BackendMessage) error {
	if t.hidden {
		return nil
	}
	err := x.session.out.add(m)
	if errors.Is(err, errHeldTooLarge) {
		return err
	}
	return callerError(err)
}

// handleComplete processes the end of a statement. If the batch may have committed,
// the answer is held from here on.
func (x *exchange) handleComplete(t *step, m *pgproto3.CommandComplete) {
	if t.hidden {
		return
	}
	if x.mayCommit {
		x.session.out.hold()
	}
	x.commandTag = string(m.CommandTag)
	if x.commandTag == "ROLLBACK" {
		x.rolledBack = true
	}
	if all := t.script.Statements(); x.completed < len(all) {
		x.session.settings = x.session.settings.apply(all[x.completed])
	}
	x.completed++
}

// handleReady updates the state of the session and the connection after a step.
func (x *exchange) handleReady(t *step, m *pgproto3.ReadyForQuery) {
	s := x.session
	if t.hidden {
		return
	}
	s.midBatch = false
	if s.tx == txIdle && m.TxStatus != txIdle {
		s.savedSettings = s.settings
	}
	if m.TxStatus == txIdle && s.tx != txIdle {
		s.endTransaction(x.rolledBack)
	}
	isRolledBack := x.failed && x.before.tx == txIdle && m.TxStatus == txIdle && !slices.Equal(s.settings, x.before.settings)
	if isRolledBack {
		s.settings = x.before.settings
	}
	s.tx = m.TxStatus
	s.beginSQL = ""
	x.conn.SetSettings(s.connectionSettings())
	if len(x.conn.Settings()) > maxKeptSettings || s.tx != txIdle || x.rolledBack || isRolledBack || t.script.MayChangeSettings() {
		x.conn.SetSettings(unknownSettings)
	}
}

// maxKeptSettings is the size in bytes of the longest settings that a connection stays known to have.
// The text of longer ones would be held as long as the connection.
const maxKeptSettings = 16 << 10

// unknownSettings matches no settings, so that the next session resets the
// connection.
const unknownSettings = "?"

// handleError processes an error returned by the database.
func (x *exchange) handleError(t *step, e *pgproto3.ErrorResponse) error {
	if t.onError != nil {
		t.onError(e)
		return nil
	}
	if e.Code == "0A000" || e.Code == "26000" {
		x.conn.MarkBroken()
	}
	x.failed = true
	x.refusedWrite = x.refusedWrite || e.Code == coltsfootloft.CodeReadOnly
	if isRollback(e.Code) {
		x.abortCode = e.Code
	}
	if t.hidden && t.ends == atQuery {
		return errors.Errorf("%s refused a statement of the host: SQLSTATE %s", x.conn.Database(), e.Code)
	}
	return callerError(x.session.out.add(e))
}

// isRollback reports whether the SQLSTATE says that the database rolled the transaction
// back so that the caller may run it again: a serialization failure, which also is the
// answer of a database that was fenced before the commit, or a deadlock.
func isRollback(code string) bool { return code == "40001" || code == "40P01" }

// onStatus checks the applied position that the database reports on this connection
// against the position that the batch needs.
func (x *exchange) onStatus(row [][]byte) {
	r, err := dbops.ParseReading(row)
	if err != nil {
		x.stale = true
		return
	}
	x.conn.SetVerified(r.Applied())
	x.stale = !r.Applied().Covers(x.need.Position)
}

// onCommitPosition reads the position of the last commit on the connection.
func (x *exchange) onCommitPosition(row [][]byte) {
	if len(row) != 2 {
		return
	}
	p, err := dbops.ParseCommitPosition(row[0], row[1])
	if err == nil {
		x.commitPosition = p
		x.commitKnown = true
	}
}
