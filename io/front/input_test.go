package front

import (
	"encoding/binary"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"
)

func parse(name, sql string) pgproto3.FrontendMessage {
	return &pgproto3.Parse{
		Name:  name,
		Query: sql,
	}
}

func bind(statement string) pgproto3.FrontendMessage {
	return &pgproto3.Bind{PreparedStatement: statement}
}

func query(sql string) pgproto3.FrontendMessage { return &pgproto3.Query{String: sql} }

func closeStatement(name string) pgproto3.FrontendMessage {
	return &pgproto3.Close{
		ObjectType: 'S',
		Name:       name,
	}
}

var (
	execute  = &pgproto3.Execute{}
	flush    = &pgproto3.Flush{}
	endBatch = &pgproto3.Sync{}
)

// messageTest is a sequence of messages and the expected replies.
type messageTest struct {
	name string
	send []pgproto3.FrontendMessage
	want []string
}

func TestPreparedStatementNames(t *testing.T) {
	s := newTestServer(t)
	for _, c := range []messageTest{
		{
			name: "a name in use",
			send: []pgproto3.FrontendMessage{parse("a", "SELECT 1"), endBatch, parse("a", "SELECT 2"), endBatch, bind("a"), execute, endBatch},
			want: []string{"1", "Z I", "ERROR 42P05 not run", "Z I", "2", "SELECT", "Z I"},
		},
		{
			name: "a name that was closed",
			send: []pgproto3.FrontendMessage{parse("a", "SELECT 1"), closeStatement("a"), parse("a", "SELECT 2"), endBatch},
			want: []string{"1", "3", "1", "Z I"},
		},
		{
			name: "the unnamed one is replaced",
			send: []pgproto3.FrontendMessage{parse("", "SELECT 1"), parse("", "SELECT 2"), bind(""), execute, endBatch},
			want: []string{"1", "1", "2", "SELECT", "Z I"},
		},
		{
			name: "a failed Parse defines nothing",
			send: []pgproto3.FrontendMessage{parse("a", "syntax"), endBatch, bind("a"), endBatch, parse("a", "SELECT 1"), endBatch},
			want: []string{"ERROR 42601", "Z I", "ERROR 26000 not run", "Z I", "1", "Z I"},
		},
		{
			name: "a failed unnamed Parse defines nothing",
			send: []pgproto3.FrontendMessage{parse("", "SELECT 1"), endBatch, parse("", "syntax"), endBatch, bind(""), endBatch},
			want: []string{"1", "Z I", "ERROR 42601", "Z I", "ERROR 26000 not run", "Z I"},
		},
		{
			name: "a skipped Parse defines nothing, a skipped Close closes nothing",
			send: []pgproto3.FrontendMessage{
				parse("a", "SELECT 1"), endBatch,
				parse("x", "syntax"), closeStatement("a"), parse("b", "SELECT 2"), endBatch,
				bind("a"), execute, endBatch, bind("b"), endBatch,
			},
			want: []string{"1", "Z I", "ERROR 42601", "Z I", "2", "SELECT", "Z I", "ERROR 26000 not run", "Z I"},
		},
	} {
		assert.DeepEqual(t, s.runSession(c.send...), c.want)
		s.awaitCleanup()
	}
}

// A batch may be sent in parts, each ended by a Flush; only Sync ends the batch.
func TestFlushedBatches(t *testing.T) {
	s := newTestServer(t)
	for _, c := range []messageTest{
		{
			name: "a write in parts is committed by Sync",
			send: []pgproto3.FrontendMessage{parse("", "INSERT 1"), flush, bind(""), execute, flush, endBatch},
			want: []string{"1", "2", "INSERT", "Z I"},
		},
		{
			name: "after a refusal everything up to Sync is skipped",
			send: []pgproto3.FrontendMessage{parse("", "INSERT 2"), bind(""), execute, flush, bind("none"), flush, bind(""), execute, endBatch},
			want: []string{"1", "2", "INSERT", "ERROR 26000 not run", "Z I"},
		},
		{
			name: "after an error of the database too",
			send: []pgproto3.FrontendMessage{parse("", "syntax"), flush, parse("", "INSERT 3"), bind(""), execute, endBatch},
			want: []string{"ERROR 42601", "Z I"},
		},
		{
			name: "a write with a request id in parts is refused",
			send: []pgproto3.FrontendMessage{
				query("SET coltsfootloft.request_id = 'x'"), parse("", "INSERT 5"), flush, bind(""), execute, endBatch,
				query("SET coltsfootloft.request_id = 'x'"), parse("", "INSERT 6"), bind(""), execute, flush, endBatch,
			},
			want: []string{"SET", "Z I", "1", "ERROR 0A000 not run", "Z I", "SET", "Z I", "ERROR 0A000 not run", "Z I"},
		},
		{
			name: "a simple query inside a batch is refused",
			send: []pgproto3.FrontendMessage{parse("", "INSERT 4"), bind(""), execute, flush, query("SELECT 1")},
			want: []string{"1", "2", "INSERT", "ERROR 0A000 not run", "Z I"},
		},
	} {
		assert.DeepEqual(t, s.runSession(c.send...), c.want)
		s.awaitCleanup()
	}
	assert.Equal(t, s.upstream.committed(), 1)
}

func TestBadStartup(t *testing.T) {
	s := newTestServer(t)
	start := func(parameters map[string]string) []byte {
		return appendMessage(nil, &pgproto3.StartupMessage{
			ProtocolVersion: pgproto3.ProtocolVersionNumber,
			Parameters:      parameters,
		})
	}
	for _, c := range []struct {
		name  string
		input []byte
		want  string
	}{
		{
			name:  "no user",
			input: start(map[string]string{"database": "alpha.open"}),
			want:  "FATAL 28000 not run",
		},
		{
			name: "replication",
			input: start(map[string]string{
				"user":        "x",
				"replication": "true",
			}),
			want: "FATAL 0A000 not run",
		},
		{
			name: "an unsupported encoding",
			input: start(map[string]string{
				"user":            "x",
				"client_encoding": "LATIN1",
			}),
			want: "FATAL 22023 not run",
		},
		{
			name: "an invalid token",
			input: start(map[string]string{
				"user":                "x",
				"coltsfootloft.token": "nonsense",
			}),
			want: "FATAL 22023 not run",
		},
		{
			name: "invalid options",
			input: start(map[string]string{
				"user":    "x",
				"options": "-x",
			}),
			want: "FATAL 22023 not run",
		},
		{
			name:  "an unknown protocol version",
			input: binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 8), 9<<16),
			want:  "FATAL 08P01 not run",
		},
		{
			name:  "a startup message that is too long",
			input: binary.BigEndian.AppendUint32(nil, 1<<30),
			want:  "FATAL 08P01 not run",
		},
		{
			name:  "another protocol",
			input: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
			want:  "FATAL 08P01 not run",
		},
	} {
		assert.DeepEqual(t, s.replies(s.send(c.input)), []string{c.want})
	}
	for _, truncated := range [][]byte{nil, {0}, {0, 0, 0, 9}, startupMessage("open")[:20]} {
		assert.Equal(t, len(s.replies(s.send(truncated))), 0)
	}
	s.awaitCleanup()
	assert.DeepEqual(t, s.runSession(query("SELECT 1")), []string{"SELECT", "Z I"})
}

func TestBadMessages(t *testing.T) {
	s := newTestServer(t)
	frame := func(kind byte, length uint32, body ...byte) []byte {
		return append(binary.BigEndian.AppendUint32([]byte{kind}, length), body...)
	}
	for _, c := range []struct {
		name  string
		input []byte
		want  []string
	}{
		{
			name:  "a length smaller than the length field",
			input: frame('Q', 2),
			want:  []string{"FATAL 08P01 not run"},
		},
		{
			name:  "a message that is too long",
			input: frame('Q', 100<<10),
			want:  []string{"FATAL 08P01 not run"},
		},
		{
			name:  "an unknown message type",
			input: frame('!', 4),
			want:  []string{"FATAL 08P01 not run"},
		},
		{
			name:  "an invalid body",
			input: frame('B', 6, 'x', 'y'),
			want:  []string{"FATAL 08P01 not run"},
		},
		{
			name:  "a truncated message",
			input: frame('Q', 40, 'S'),
		},
		{
			name:  "a message that is out of order",
			input: append(frame('p', 5, 0), appendMessage(nil, query("SELECT 1"))...),
			want:  []string{"FATAL 08P01 not run"},
		},
		{
			name:  "a function call",
			input: appendMessage(nil, &pgproto3.FunctionCall{}),
			want:  []string{"ERROR 0A000 not run", "Z I"},
		},
		{
			name:  "a copy",
			input: appendMessage(nil, query("COPY x FROM STDIN")),
			want:  []string{"ERROR 0A000 not run", "Z I"},
		},
		{
			name:  "an unknown portal",
			input: appendMessage(appendMessage(nil, &pgproto3.Execute{Portal: "none"}), endBatch),
			want:  []string{"ERROR 34000 not run", "Z I"},
		},
	} {
		replies := s.replies(s.send(append(startupMessage("open"), c.input...)))
		for i, w := range replies {
			if w == "Z I" {
				replies = replies[i+1:]
				break
			}
		}
		assert.Equal(t, len(replies), len(c.want), "%s: %q", c.name, replies)
		for i := range replies {
			assert.Equal(t, replies[i], c.want[i], c.name)
		}
		s.awaitCleanup()
	}
	assert.Equal(t, len(s.upstream.statements()), 0)
	assert.DeepEqual(t, s.runSession(query("SELECT 1")), []string{"SELECT", "Z I"})
}

// Statements that a route does not permit are refused before anything is sent
// upstream.
func TestForbiddenStatements(t *testing.T) {
	s := newTestServer(t)
	replies := s.replies(s.send(appendMessage(startupMessage("reads"), query("INSERT 1"))))
	assert.DeepEqual(t, replies[len(replies)-2:], []string{"ERROR 25006 not run", "Z I"})
	replies = s.replies(s.send(startupMessage("none")))
	assert.Equal(t, replies[0], "*pgproto3.AuthenticationSASL")
	s.awaitCleanup()
	assert.Equal(t, len(s.upstream.statements()), 0)
}
