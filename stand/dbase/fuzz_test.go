package dbase

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

// FuzzParse checks that no text makes the parser panic, and that the tokens add up
// to the whole text.
func FuzzParse(f *testing.F) {
	for _, q := range []string{
		"SELECT a::int, $1::text FROM public.t WHERE b = now() FOR UPDATE; INSERT INTO t (a) VALUES ($1)",
		"CREATE TABLE t (id SERIAL PRIMARY KEY, \"x\"\"y\" TEXT DEFAULT 'it''s')",
		"SELECT * FROM platform_fence('1@x')", "ROLLBACK TO SAVEPOINT s", "/* ; */ -- x\n;;'", "TRUNCATE TABLE t", "$", "::", "SELECT x::",
	} {
		f.Add(q)
	}
	f.Fuzz(func(t *testing.T, text string) {
		var b strings.Builder
		for _, k := range lex(text) {
			b.WriteString(k.text)
		}
		assert.Equal(t, b.String(), text)
		for _, s := range parse(text) {
			s.paramTypes(nil, &tables{types: map[string]uint32{"a": 23}})
			for _, i := range s.items() {
				s.itemType(i, nil)
			}
			if s.verb == verbCall {
				s.call(nil)
			}
		}
	})
}

// FuzzMessages sends arbitrary bytes after a valid startup message. The database
// must go on serving other clients.
func FuzzMessages(f *testing.F) {
	s := &Server{
		Name:           "a",
		InitialPrimary: "a",
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	<-s.Ready()
	f.Cleanup(func() {
		cancel()
		assert.NilError(f, <-done)
	})
	for _, m := range seedMessages() {
		f.Add(m)
	}
	f.Fuzz(func(t *testing.T, messages []byte) {
		exchange(t, s, messages)
		answer := exchange(t, s, encodeMessages(&pgproto3.Query{
			String: "SELECT 41 + 1",
		}))
		assert.Assert(t, strings.Contains(string(answer), "42"))
	})
}

func exchange(t *testing.T, s *Server, messages []byte) []byte {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	start, err := (&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "caroni"},
	}).Encode(nil)
	assert.NilError(t, err)
	_, _ = c.Write(start)
	_, _ = c.Write(messages)
	_ = c.(*net.TCPConn).CloseWrite()
	answer, _ := io.ReadAll(c)
	return answer
}

func encodeMessages(list ...pgproto3.FrontendMessage) []byte {
	var out []byte
	for _, m := range list {
		out, _ = m.Encode(out)
	}
	return out
}

func seedMessages() [][]byte {
	insert := "INSERT INTO f (a, b) VALUES ($1, $2) RETURNING a"
	return [][]byte{
		encodeMessages(&pgproto3.Query{String: "CREATE TABLE f (a INT, b BYTEA); BEGIN; SELECT 1; COMMIT"}),
		encodeMessages(
			&pgproto3.Parse{Name: "s", Query: insert, ParameterOIDs: []uint32{23, 17}},
			&pgproto3.Describe{ObjectType: 'S', Name: "s"},
			&pgproto3.Bind{PreparedStatement: "s", ParameterFormatCodes: []int16{1}, Parameters: [][]byte{{0, 0, 0, 1}, {2}}, ResultFormatCodes: []int16{1}},
			&pgproto3.Execute{MaxRows: 1},
			&pgproto3.Sync{},
			&pgproto3.Close{ObjectType: 'S', Name: "s"},
			&pgproto3.Sync{},
		),
		encodeMessages(&pgproto3.Bind{Parameters: [][]byte{nil}}, &pgproto3.Execute{}, &pgproto3.Sync{}),
		encodeMessages(&pgproto3.CopyData{Data: []byte("x")}, &pgproto3.FunctionCall{}, &pgproto3.Terminate{}),
		{'Q', 0, 0, 0, 3},
		{'Q', 0x7f, 0xff, 0xff, 0xff},
		{'B', 0, 0, 0, 9, 0, 0, 0, 9, 0},
		{0xff},
	}
}
