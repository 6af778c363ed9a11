package caller

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/events"
	"coltsfootloft/io/dbops"
)

// SQLSTATEs that the record of a request id can meet.
const (
	codeDuplicate = "23505"
	codeNoTable   = "42P01"
)

// purgeEvery is how many recorded requests go between two removals of old ones.
const purgeEvery = 256

// errDuplicate: another request with the same id has committed.
var errDuplicate = errors.New("request id already recorded")

// record adds the step that records the request id in the transaction of the
// write. Once it fails, the database runs nothing of what follows.
func (x *exchange) record() {
	s := x.session
	sql := fmt.Sprintf("INSERT INTO %s (account, id, tag, at) VALUES (%s, %s, '', %d)",
		s.requestTable(), quote(s.Account), quote(s.request), s.now().Unix())
	x.steps = append(x.steps, step{
		ends:    atQuery,
		message: encode(&pgproto3.Query{String: sql}),
		hidden:  true,
		refused: x.notRecorded,
	})
}

func (x *exchange) notRecorded(e *pgproto3.ErrorResponse) {
	switch e.Code {
	case codeDuplicate:
		x.recorded = errDuplicate
	case codeNoTable:
		x.recorded = coltsfootloft.Refuse(e.Code, "request ids need the table "+x.session.requestTable())
	case coltsfootloft.CodeReadOnly:
		x.refusedWrite = true
	default:
		x.recorded = coltsfootloft.Refuse(e.Code, "recording the request id: "+e.Message)
	}
}

// finish notes the command tag and commits, or rolls back what failed.
func (x *exchange) finish() error {
	s := x.session
	if s.tx != txOpen {
		s.tx = txIdle
		s.begin = ""
		return x.then("ROLLBACK")
	}
	s.endTransaction(false)
	id := fmt.Sprintf("account = %s AND id = %s", quote(s.Account), quote(s.request))
	sql := fmt.Sprintf("UPDATE %s SET tag = %s WHERE %s; COMMIT", s.requestTable(), quote(x.tag), id)
	if s.Env.purges.Add(1)%purgeEvery == 0 {
		oldest := s.now().Add(-s.Env.Fleet().Defaults().RequestRetention())
		sql = fmt.Sprintf("DELETE FROM %s WHERE at < %d; %s", s.requestTable(), oldest.Unix(), sql)
	}
	return x.then(sql)
}

// then runs one more hidden statement and asks for the commit's position.
func (x *exchange) then(sql string) error {
	x.steps = nil
	x.hidden(sql, nil)
	x.askCommit()
	if err := x.send(); err != nil {
		return err
	}
	return x.receive()
}

// already answers a request whose id was not recorded: with the first outcome, if
// there was one.
func (x *exchange) already(ctx context.Context) (verdict, error) {
	s := x.session
	s.out.restart()
	inTransaction := x.before.tx != txIdle
	s.tx = x.before.tx
	if !errors.Is(x.recorded, errDuplicate) {
		if err := x.then("ROLLBACK"); err != nil {
			return x.broke(err)
		}
		return answered, x.recorded
	}
	tag, err := x.firstOutcome(ctx)
	if err != nil {
		return answered, err
	}
	s.note(events.Held, "request id already done", x.conn.Database())
	if inTransaction {
		return answered, coltsfootloft.Refuse(codeDuplicate, "request "+quote(s.request)+" is already done").
			WithHint("the transaction of the first request with this id has committed; roll this one back")
	}
	notice := &pgproto3.NoticeResponse{
		Severity:            "NOTICE",
		SeverityUnlocalized: "NOTICE",
		Code:                "00000",
		Message:             "request " + quote(s.request) + " is already done",
	}
	if err := s.out.add(notice); err != nil {
		return answered, callerError(err)
	}
	return answered, callerError(s.answerAll(x.batch, tag))
}

// firstOutcome returns the command tag of the first request, once a majority
// holds it.
func (x *exchange) firstOutcome(ctx context.Context) (tag string, err error) {
	s := x.session
	var at coltsfootloft.Position
	x.steps = nil
	x.hidden("ROLLBACK", nil)
	x.hidden(fmt.Sprintf("SELECT tag FROM %s WHERE account = %s AND id = %s", s.requestTable(), quote(s.Account), quote(s.request)),
		func(row [][]byte) { tag = string(row[0]) })
	x.hidden(dbops.StatusQuery, func(row [][]byte) {
		if r, err := dbops.ParseReading(row); err == nil {
			at = r.Received()
		}
	})
	if err := x.send(); err != nil {
		_, err = x.broke(err)
		return "", err
	}
	if err := x.receive(); err != nil {
		_, err = x.broke(err)
		return "", err
	}
	x.position = at
	return tag, x.acknowledge(ctx)
}

func (s *Session) requestTable() string { return s.Env.Fleet().Defaults().RequestTable() }
