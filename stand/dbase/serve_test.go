package dbase_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/stand/dbase"
)

func TestConnectionLimitExcludesPlatform(t *testing.T) {
	s := start(t, &dbase.Server{
		Name:           "a",
		InitialPrimary: "a",
		MaxConns:       2,
	})
	connect(t, s, "caroni")
	second := connect(t, s, "caroni")
	_, err := pgx.Connect(t.Context(), url(s, "caroni"))
	assert.ErrorContains(t, err, "53300")
	connect(t, s, "platform")
	assert.NilError(t, second.Close(t.Context()))
	for {
		c, err := pgx.Connect(t.Context(), url(s, "caroni"))
		if err == nil {
			assert.NilError(t, c.Close(t.Context()))
			return
		}
		assert.ErrorContains(t, err, "53300")
	}
}

func TestPasswords(t *testing.T) {
	for _, cleartext := range []bool{false, true} {
		s := start(t, &dbase.Server{
			Name:           "a",
			InitialPrimary: "a",
			User:           "caroni",
			Password:       "bake sale",
			Cleartext:      cleartext,
		})
		for _, c := range []struct {
			user, password, want string
		}{
			{user: "caroni", password: "bake sale"},
			{user: "platform", password: "bake sale"},
			{user: "caroni", password: "wrong", want: "28P01"},
			{user: "other", password: "bake sale", want: "28P01"},
		} {
			config, err := pgx.ParseConfig(url(s, c.user))
			assert.NilError(t, err)
			config.Password = c.password
			conn, err := pgx.ConnectConfig(t.Context(), config)
			if c.want != "" {
				assert.ErrorContains(t, err, c.want)
				continue
			}
			assert.NilError(t, err)
			assert.NilError(t, conn.Close(t.Context()))
		}
	}
}

func TestCancelRequest(t *testing.T) {
	s := single(t)
	c := connect(t, s, "caroni")
	for _, query := range []string{
		"SELECT pg_sleep(30)",
		"WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n) SELECT count(*) FROM n",
	} {
		time.AfterFunc(50*time.Millisecond, func() { _ = c.PgConn().CancelRequest(context.Background()) })
		_, err := c.Exec(t.Context(), query, pgx.QueryExecModeSimpleProtocol)
		assert.Equal(t, code(err), "57014", query)
	}
	exec(t, c, createNotices)
	exec(t, c, "BEGIN")
	exec(t, c, "DELETE FROM notices")
	waiting := connect(t, s, "caroni")
	time.AfterFunc(50*time.Millisecond, func() { _ = waiting.PgConn().CancelRequest(context.Background()) })
	_, err := waiting.Exec(t.Context(), "DELETE FROM notices")
	assert.Equal(t, code(err), "57014")
	exec(t, c, "COMMIT")
	exec(t, waiting, "DELETE FROM notices")
}

// TestDisconnectEndsWaits checks that a blocking function ends when its client
// disconnects, and that an idle transaction does not keep the write lock.
func TestDisconnectEndsWaits(t *testing.T) {
	s := start(t, &dbase.Server{
		Name:                   "a",
		InitialPrimary:         "a",
		MaxConns:               1,
		IdleTransactionTimeout: 100 * time.Millisecond,
	})
	for range 20 {
		c, err := pgx.Connect(t.Context(), url(s, "platform"))
		assert.NilError(t, err)
		hijacked, err := c.PgConn().Hijack()
		assert.NilError(t, err)
		hijacked.Frontend.SendQuery(&pgproto3.Query{String: "SELECT pg_sleep(600)"})
		assert.NilError(t, hijacked.Frontend.Flush())
		hijacked.Conn.Close()
		time.Sleep(5 * time.Millisecond)
	}
	c := connect(t, s, "caroni")
	exec(t, c, createNotices)
	exec(t, c, "BEGIN")
	exec(t, c, "DELETE FROM notices")
	time.Sleep(200 * time.Millisecond)
	_, err := c.Exec(t.Context(), "COMMIT")
	assert.Assert(t, err != nil)
	exec(t, connect(t, s, "platform"), "DELETE FROM notices")
}

func TestPortalSuspension(t *testing.T) {
	s := single(t)
	c := connect(t, s, "caroni").PgConn()
	statement := "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 5) SELECT i FROM n"
	f := c.Frontend()
	f.SendParse(&pgproto3.Parse{Name: "p", Query: statement})
	f.SendBind(&pgproto3.Bind{DestinationPortal: "c", PreparedStatement: "p"})
	for range 3 {
		f.SendExecute(&pgproto3.Execute{Portal: "c", MaxRows: 2})
	}
	f.SendSync(&pgproto3.Sync{})
	assert.NilError(t, f.Flush())
	var got []string
	for {
		m, err := f.Receive()
		assert.NilError(t, err)
		got = append(got, fmt.Sprintf("%T", m)[len("*pgproto3."):])
		if got[len(got)-1] == "ReadyForQuery" {
			break
		}
	}
	assert.DeepEqual(t, got, []string{
		"ParseComplete", "BindComplete", "DataRow", "DataRow", "PortalSuspended",
		"DataRow", "DataRow", "PortalSuspended", "DataRow", "CommandComplete", "ReadyForQuery",
	})
}

func TestDiscardAllForgetsStatements(t *testing.T) {
	c := connect(t, single(t), "caroni")
	_, err := c.PgConn().Prepare(t.Context(), "kept", "SELECT 1", nil)
	assert.NilError(t, err)
	exec(t, c, "SET application_name = 'noticeboard'")
	assert.Equal(t, c.PgConn().ParameterStatus("application_name"), "noticeboard")
	_, err = c.Exec(t.Context(), "DISCARD ALL", pgx.QueryExecModeSimpleProtocol)
	assert.NilError(t, err)
	assert.Equal(t, c.PgConn().ParameterStatus("application_name"), "")
	r := c.PgConn().ExecPrepared(t.Context(), "kept", nil, nil, nil).Read()
	assert.Equal(t, code(r.Err), "26000")
}

func TestIsolation(t *testing.T) {
	s := single(t)
	a, b := connect(t, s, "caroni"), connect(t, s, "caroni")
	exec(t, a, createNotices)
	count := func(c *pgx.Conn) (n int) {
		assert.NilError(t, c.QueryRow(t.Context(), "SELECT count(*) FROM notices").Scan(&n))
		return n
	}
	for _, c := range []struct {
		begin string
		sees  int
	}{{begin: "BEGIN", sees: 1}, {begin: "BEGIN ISOLATION LEVEL REPEATABLE READ", sees: 1}} {
		exec(t, a, "DELETE FROM notices")
		exec(t, a, c.begin)
		assert.Equal(t, count(a), 0)
		exec(t, b, "INSERT INTO notices (title) VALUES ('b')")
		want := c.sees
		if c.begin != "BEGIN" {
			want = 0
		}
		assert.Equal(t, count(a), want, c.begin)
		_, err := a.Exec(t.Context(), "INSERT INTO notices (title) VALUES ('a')")
		if c.begin == "BEGIN" {
			assert.NilError(t, err)
			exec(t, a, "COMMIT")
			continue
		}
		assert.Equal(t, code(err), "40001")
		exec(t, a, "ROLLBACK")
	}
}

func TestExecutedCountsStatements(t *testing.T) {
	s := single(t)
	c, p := connect(t, s, "caroni"), connect(t, s, "platform")
	exec(t, c, createNotices)
	for range 3 {
		exec(t, c, "INSERT INTO notices (title) VALUES ('fair') ON CONFLICT DO NOTHING")
	}
	_, err := c.Exec(t.Context(), "INSERT INTO nowhere VALUES (1)")
	assert.Equal(t, code(err), "42P01")
	rows, err := p.Query(t.Context(), "SELECT * FROM standin_executed()")
	assert.NilError(t, err)
	type line struct {
		Kind      string
		Statement string
		Count     int64
	}
	lines, err := pgx.CollectRows(rows, pgx.RowToStructByPos[line])
	assert.NilError(t, err)
	inserts := int64(0)
	for _, l := range lines {
		if l.Kind == "insert" {
			inserts += l.Count
		}
	}
	assert.Equal(t, inserts, int64(3))
}

// TestRebuildEndsSessions checks that no session goes on reading data whose records
// were truncated from the log.
func TestRebuildEndsSessions(t *testing.T) {
	g := group(t, 0)
	ops := operations(t, g)
	c := connect(t, g["a"], "caroni")
	exec(t, c, createNotices)
	awaitReading(t, ops["b"], "b", appliedUpTo(2))
	g["b"].Cut("a")
	exec(t, c, "INSERT INTO notices (title) VALUES ('parted')")
	next := dbase.BootstrapTerm.Next("host")
	_, err := ops["b"].Promote(t.Context(), next)
	assert.NilError(t, err)
	_, err = ops["a"].Follow(t.Context(), next, "b")
	assert.NilError(t, err)
	awaitReading(t, ops["a"], "a", func(r coltsfootloft.Reading) bool { return r.Applied().Term() == next })
	_, err = c.Exec(t.Context(), "SELECT title FROM notices")
	assert.Assert(t, err != nil)
	assert.Assert(t, c.IsClosed() || code(err) == "57P01")
	var n int
	assert.NilError(t, connect(t, g["a"], "caroni").QueryRow(t.Context(), "SELECT count(*) FROM notices").Scan(&n))
	assert.Equal(t, n, 0)
}

// TestDisconnectDuringHandshakeFreesConnection checks that a host that is killed or
// cut off between its startup message and the answer does not go on counting
// against the connection limit.
func TestDisconnectDuringHandshakeFreesConnection(t *testing.T) {
	s := start(t, &dbase.Server{
		Name:           "a",
		InitialPrimary: "a",
	})
	const more = 40 // More than the platform's connection limit of 16.
	for range more {
		c, err := net.Dial("tcp", s.Addr().String())
		assert.NilError(t, err)
		front := pgproto3.NewFrontend(c, c)
		front.Send(&pgproto3.StartupMessage{
			ProtocolVersion: pgproto3.ProtocolVersion30,
			Parameters: map[string]string{
				"user":     "platform",
				"database": "main",
			},
		})
		assert.NilError(t, front.Flush())
		if tcp, ok := c.(*net.TCPConn); ok {
			assert.NilError(t, tcp.SetLinger(0))
		}
		runtime.Gosched()
		c.Close()
	}
	var err error
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var c *pgx.Conn
		if c, err = pgx.Connect(t.Context(), url(s, "platform")); err == nil {
			assert.NilError(t, c.Close(t.Context()))
			return
		}
	}
	assert.NilError(t, err)
}
