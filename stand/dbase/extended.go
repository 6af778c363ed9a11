package dbase

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement of the extended protocol. Its statement is nil
// if the text was empty.
type prepared struct {
	statement *statement
	params    []uint32
}

// description is the parsed text of a statement with what is known about its
// result. version is the schema version that it was made for.
type description struct {
	statement *statement
	schema    *tables
	columns   []column
	version   uint64
}

// maxDescriptions is the maximum number of descriptions that a session caches.
const maxDescriptions = 512

// extended handles one message of the extended protocol.
func (x *session) extended(ctx context.Context, m pgproto3.FrontendMessage) error {
	switch m := m.(type) {
	case *pgproto3.Parse:
		return x.parse(m)
	case *pgproto3.Bind:
		return x.bind(m)
	case *pgproto3.Describe:
		return x.describe(m)
	case *pgproto3.Execute:
		return x.execute(ctx, m)
	case *pgproto3.Close:
		x.closeNamed(m)
		return nil
	}
	return sqlErrorf(codeProtocol, "unexpected message %T", m)
}

func (x *session) parse(m *pgproto3.Parse) error {
	if m.Name != "" && x.prepared[m.Name] != nil {
		return sqlErrorf(codeDuplicateStatement, "prepared statement %q already exists", m.Name)
	}
	p := &prepared{}
	if d, err := x.analyze(m.Query); err != nil {
		return err
	} else if d != nil {
		if err := x.check(d.statement); err != nil {
			return err
		}
		p.statement = d.statement
		p.params = d.statement.paramTypes(m.ParameterOIDs, d.schema)
	}
	x.prepared[m.Name] = p
	x.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// analyze parses and describes text that holds at most one statement. It returns
// nil if there is none.
func (x *session) analyze(text string) (*description, error) {
	version := x.server.schemaVersion.Load()
	if d := x.descriptions[text]; d != nil && d.version == version && !x.tx.schema {
		return d, nil
	}
	list := parse(text)
	if len(list) > 1 {
		return nil, sqlErrorf(codeSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if len(list) == 0 {
		return nil, nil
	}
	d := &description{
		statement: list[0],
		version:   version,
	}
	if err := x.check(d.statement); err != nil {
		return nil, err
	}
	if err := x.inferColumns(d); err != nil {
		return nil, err
	}
	if len(x.descriptions) >= maxDescriptions {
		clear(x.descriptions)
	}
	if !x.tx.schema {
		x.descriptions[text] = d
	}
	return d, nil
}

// inferColumns sets the columns of the result. A read-only query is also run up to
// its first row with NULL parameters, because a value can give the type where the
// text does not.
func (x *session) inferColumns(d *description) error {
	s := d.statement
	switch s.verb {
	case verbQuery:
	case verbCall:
		d.columns = s.callColumns()
		return nil
	case verbShow:
		d.columns = showColumns(s)
		return nil
	default:
		return nil
	}
	c, err := x.prepareCursor(s)
	if err != nil {
		return err
	}
	defer c.release()
	d.schema = x.schema()
	sample := false
	if c.readOnly() && c.columns > 0 {
		if err := c.bind(make([]any, s.params())); err != nil {
			return err
		}
		sample, _ = c.step()
	}
	if c.columns > 0 {
		d.columns = s.columnsOf(c, d.schema, sample)
	}
	return nil
}

// schema returns the current tables, from which types are inferred.
func (x *session) schema() *tables {
	at := x.server.schemaVersion.Load()
	if x.tables == nil || x.tablesVersion != at || x.tx.schema {
		x.tables = readTables(x.handle)
		x.tablesVersion = at
	}
	if x.tx.schema {
		defer func() { x.tables = nil }()
	}
	return x.tables
}

func (x *session) bind(m *pgproto3.Bind) error {
	st := x.prepared[m.PreparedStatement]
	if st == nil {
		return sqlErrorf(codeNoStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	p := &portal{
		statement: st.statement,
		formats:   append([]int16{}, m.ResultFormatCodes...),
	}
	if st.statement != nil {
		if len(m.Parameters) != len(st.params) {
			return sqlErrorf(codeProtocol, "bind message supplies %d parameters, but prepared statement %q requires %d",
				len(m.Parameters), m.PreparedStatement, len(st.params))
		}
		if err := x.check(st.statement); err != nil {
			return err
		}
		d, err := x.analyze(st.statement.source)
		if err != nil {
			return err
		}
		p.columns = d.columns
	}
	for i, src := range m.Parameters {
		v, err := decode(x.types, st.params[i], formatAt(m.ParameterFormatCodes, i), src)
		if err != nil {
			return err
		}
		p.args = append(p.args, v)
	}
	if old := x.portals[m.DestinationPortal]; old != nil {
		old.close()
	}
	x.portals[m.DestinationPortal] = p
	x.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (x *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p := x.portals[m.Name]
		if p == nil {
			return sqlErrorf(codeNoPortal, "portal %q does not exist", m.Name)
		}
		x.sendColumns(p.columns, p.formats)
		return nil
	}
	st := x.prepared[m.Name]
	if st == nil {
		return sqlErrorf(codeNoStatement, "prepared statement %q does not exist", m.Name)
	}
	x.backend.Send(&pgproto3.ParameterDescription{
		ParameterOIDs: st.params,
	})
	if st.statement == nil {
		x.sendColumns(nil, nil)
		return nil
	}
	d, err := x.analyze(st.statement.source)
	if err != nil {
		return err
	}
	x.sendColumns(d.columns, nil)
	return nil
}

func (x *session) sendColumns(columns []column, formats []int16) {
	if columns == nil {
		x.backend.Send(&pgproto3.NoData{})
		return
	}
	x.backend.Send(&pgproto3.RowDescription{
		Fields: fields(columns, formats),
	})
}

func (x *session) execute(ctx context.Context, m *pgproto3.Execute) error {
	p := x.portals[m.Portal]
	if p == nil {
		return sqlErrorf(codeNoPortal, "portal %q does not exist", m.Portal)
	}
	if p.statement == nil {
		x.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if err := x.check(p.statement); err != nil {
		return err
	}
	ctx, done := x.begin(ctx)
	defer done()
	if !p.started {
		if err := x.openPortal(ctx, p); err != nil {
			return x.errorCause(err)
		}
	}
	tag, suspended, err := x.fetch(ctx, p, int64(m.MaxRows))
	if err != nil {
		return x.errorCause(err)
	}
	if suspended {
		x.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	p.close()
	x.backend.Send(&pgproto3.CommandComplete{
		CommandTag: []byte(tag),
	})
	return nil
}

func (x *session) closeNamed(m *pgproto3.Close) {
	if m.ObjectType == 'P' {
		if p := x.portals[m.Name]; p != nil {
			p.close()
			delete(x.portals, m.Name)
		}
	} else {
		delete(x.prepared, m.Name)
	}
	x.backend.Send(&pgproto3.CloseComplete{})
}
