package dbase

import (
	"context"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushRows is the number of rows after which a long result is flushed.
const flushRows = 256

// refusedWords are the first words of statements that the engine would run but
// that the stand-in rejects with a syntax error: PostgreSQL does not know them, or
// gives them another meaning.
var refusedWords = map[string]bool{
	"PRAGMA":  true,
	"ATTACH":  true,
	"DETACH":  true,
	"VACUUM":  true,
	"REINDEX": true,
}

// simpleQuery answers a Query message, except for ReadyForQuery.
func (x *session) simpleQuery(ctx context.Context, text string) {
	list := parse(text)
	if len(list) == 0 {
		x.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	for i, s := range list {
		if err := x.simpleStatement(ctx, s, i == len(list)-1); err != nil {
			x.sendError(err)
			x.failTransaction()
			return
		}
	}
}

// simpleStatement runs one statement of a Query message. Outside a transaction
// block, the last statement commits before its completion is sent.
func (x *session) simpleStatement(ctx context.Context, s *statement, last bool) error {
	if err := x.check(s); err != nil {
		return err
	}
	p := &portal{
		statement: s,
	}
	defer p.close()
	ctx, done := x.begin(ctx)
	defer done()
	if err := x.openPortal(ctx, p); err != nil {
		return x.errorCause(err)
	}
	if p.columns != nil {
		x.backend.Send(&pgproto3.RowDescription{
			Fields: fields(p.columns, nil),
		})
	}
	tag, _, err := x.fetch(ctx, p, 0)
	if err != nil {
		return x.errorCause(err)
	}
	if last {
		p.close()
		if err := x.endImplicit(); err != nil {
			return err
		}
	}
	x.backend.Send(&pgproto3.CommandComplete{
		CommandTag: []byte(tag),
	})
	return nil
}

// errorCause returns err, or another error if the statement was cancelled by a
// change of term and not by the client.
func (x *session) errorCause(err error) error {
	if x.termEnding.Load() && classify(err).code == codeCancelled {
		return errTermEnded()
	}
	return err
}

// portal is a statement that is bound to its parameters, with the state of its
// execution.
type portal struct {
	statement *statement
	args      []any
	formats   []int16
	columns   []column
	// rows are the remaining rows of a statement that the engine does not run.
	rows   [][]any
	tag    string
	cursor *cursor
	// hasRow is set while the cursor is at a row that has not been sent.
	hasRow  bool
	started bool
	write   bool
	sent    int64
}

func (p *portal) close() {
	if p.cursor != nil {
		p.cursor.release()
		p.cursor = nil
	}
}

func (x *session) closePortals() {
	for _, p := range x.portals {
		p.close()
	}
	clear(x.portals)
}

// openPortal starts the statement and runs it up to its first row.
func (x *session) openPortal(ctx context.Context, p *portal) error {
	p.started = true
	s := p.statement
	switch s.verb {
	case verbQuery:
		return x.openQuery(ctx, p)
	case verbCall:
		return x.openCall(ctx, p)
	case verbCopy:
		return sqlErrorf(codeNotSupported, "COPY is not supported")
	case verbSet, verbShow, verbDiscard, verbDeallocate:
		x.server.counts.add(s)
		return x.openSetting(p)
	default:
		x.server.counts.add(s)
		var err error
		p.tag, err = x.control(s)
		return err
	}
}

func (x *session) openQuery(ctx context.Context, p *portal) error {
	c, err := x.prepareCursor(p.statement)
	if err != nil {
		return err
	}
	p.cursor = c
	p.write = !c.readOnly()
	if err := c.bind(p.args); err != nil {
		return err
	}
	if p.write {
		err = x.startWrite(ctx)
	} else {
		err = x.startRead()
	}
	if err != nil {
		return err
	}
	if ctx.Err() != nil {
		return sqlErrorf(codeCancelled, "canceling statement due to user request")
	}
	x.server.counts.add(p.statement)
	if p.hasRow, err = c.step(); err != nil {
		return err
	}
	if p.write {
		x.tx.changes = append(x.tx.changes, change{
			Text:   p.statement.text,
			Args:   p.args,
			Schema: p.statement.changesSchema(),
		})
		x.tx.schema = x.tx.schema || p.statement.changesSchema()
	}
	if c.columns > 0 && p.columns == nil {
		p.columns = p.statement.columnsOf(c, x.schema(), p.hasRow)
	}
	return nil
}

// prepareCursor checks and prepares the text of a query.
func (x *session) prepareCursor(s *statement) (*cursor, error) {
	if refusedWords[s.tag] {
		return nil, sqlErrorf(codeSyntax, "syntax error at or near %q", s.tag)
	}
	c, err := x.handle.prepare(s.text)
	if err != nil {
		return nil, err
	}
	if c == nil {
		return nil, sqlErrorf(codeSyntax, "syntax error at end of input")
	}
	return c, nil
}

// fetch sends up to limit rows, or all of them if limit is 0. It returns the tag
// of the completed command, or suspended if there are more rows.
func (x *session) fetch(ctx context.Context, p *portal, limit int64) (tag string, suspended bool, err error) {
	sent := int64(0)
	for p.hasRow || len(p.rows) > 0 {
		if limit > 0 && sent == limit {
			return "", true, nil
		}
		if err := x.sendRow(p); err != nil {
			return "", false, err
		}
		sent++
		p.sent++
		if sent%flushRows == 0 && !x.flush(ctx) {
			return "", false, sqlErrorf(codeInternal, "caller has gone")
		}
		if p.cursor == nil {
			continue
		}
		if p.hasRow, err = p.cursor.step(); err != nil {
			return "", false, err
		}
	}
	return x.commandTag(p), false, nil
}

func (x *session) sendRow(p *portal) error {
	var row []any
	if p.cursor == nil {
		row = p.rows[0]
		p.rows = p.rows[1:]
	}
	values := make([][]byte, len(p.columns))
	for i, c := range p.columns {
		var v any
		if p.cursor != nil {
			v = p.cursor.value(i)
		} else {
			v = row[i]
		}
		b, err := encode(x.types, c.oid, formatAt(p.formats, i), v)
		if err != nil {
			return err
		}
		values[i] = b
	}
	x.backend.Send(&pgproto3.DataRow{
		Values: values,
	})
	return nil
}

// commandTag returns the tag of a completed command.
func (x *session) commandTag(p *portal) string {
	if p.cursor == nil {
		if p.tag != "" {
			return p.tag
		}
		return "SELECT " + strconv.FormatInt(p.sent, 10)
	}
	changed := p.sent
	if p.columns == nil {
		changed = x.handle.changes()
	}
	n := strconv.FormatInt(changed, 10)
	s := p.statement
	switch {
	case s.tag == "INSERT" || s.tag == "REPLACE":
		return "INSERT 0 " + n
	case s.tag == "UPDATE" || s.tag == "DELETE":
		return s.tag + " " + n
	case s.tag == "TRUNCATE":
		return "TRUNCATE TABLE"
	case p.columns != nil:
		return "SELECT " + n
	case len(s.tokens) > 1:
		return s.tag + " " + upper(s.tokens[1])
	}
	return s.tag
}
