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

func closing(name string) pgproto3.FrontendMessage {
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

// steps is what a caller sends and what it is answered.
type steps struct {
	name string
	send []pgproto3.FrontendMessage
	want []string
}

func TestPreparedStatementNames(t *testing.T) {
	s := newStand(t)
	for _, c := range []steps{
		{
			name: "a name that is taken",
			send: []pgproto3.FrontendMessage{parse("a", "SELECT 1"), endBatch, parse("a", "SELECT 2"), endBatch, bind("a"), execute, endBatch},
			want: []string{"1", "Z I", "ERROR 42P05 not run", "Z I", "2", "SELECT", "Z I"},
		},
		{
			name: "a name that was closed",
			send: []pgproto3.FrontendMessage{parse("a", "SELECT 1"), closing("a"), parse("a", "SELECT 2"), endBatch},
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
				parse("x", "syntax"), closing("a"), parse("b", "SELECT 2"), endBatch,
				bind("a"), execute, endBatch, bind("b"), endBatch,
			},
			want: []string{"1", "Z I", "ERROR 42601", "Z I", "2", "SELECT", "Z I", "ERROR 26000 not run", "Z I"},
		},
	} {
		assert.DeepEqual(t, s.talk(c.send...), c.want)
		s.settled()
	}
}

// A batch may come in parts, each ended by a Flush; only Sync ends it.
func TestFlushedBatches(t *testing.T) {
	s := newStand(t)
	for _, c := range []steps{
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
			name: "a write with a request id does not come in parts",
			send: []pgproto3.FrontendMessage{
				query("SET coltsfootloft.request_id = 'x'"), parse("", "INSERT 5"), flush, bind(""), execute, endBatch,
				query("SET coltsfootloft.request_id = 'x'"), parse("", "INSERT 6"), bind(""), execute, flush, endBatch,
			},
			want: []string{"SET", "Z I", "1", "ERROR 0A000 not run", "Z I", "SET", "Z I", "ERROR 0A000 not run", "Z I"},
		},
		{
			name: "a simple query does not stand inside of a batch",
			send: []pgproto3.FrontendMessage{parse("", "INSERT 4"), bind(""), execute, flush, query("SELECT 1")},
			want: []string{"1", "2", "INSERT", "ERROR 0A000 not run", "Z I"},
		},
	} {
		assert.DeepEqual(t, s.talk(c.send...), c.want)
		s.settled()
	}
	assert.Equal(t, s.upstream.committed(), 1)
}

func TestBadStartup(t *testing.T) {
	s := newStand(t)
	start := func(parameters map[string]string) []byte {
		return add(nil, &pgproto3.StartupMessage{
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
			name: "an encoding that is not carried",
			input: start(map[string]string{
				"user":            "x",
				"client_encoding": "LATIN1",
			}),
			want: "FATAL 22023 not run",
		},
		{
			name: "a token that is none",
			input: start(map[string]string{
				"user":                "x",
				"coltsfootloft.token": "nonsense",
			}),
			want: "FATAL 22023 not run",
		},
		{
			name: "options that are none",
			input: start(map[string]string{
				"user":    "x",
				"options": "-x",
			}),
			want: "FATAL 22023 not run",
		},
		{
			name:  "a version that is not known",
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
		assert.DeepEqual(t, s.words(s.send(c.input)), []string{c.want})
	}
	for _, torn := range [][]byte{nil, {0}, {0, 0, 0, 9}, hi("open")[:20]} {
		assert.Equal(t, len(s.words(s.send(torn))), 0)
	}
	s.settled()
	assert.DeepEqual(t, s.talk(query("SELECT 1")), []string{"SELECT", "Z I"})
}

func TestBadMessages(t *testing.T) {
	s := newStand(t)
	frame := func(kind byte, length uint32, body ...byte) []byte {
		return append(binary.BigEndian.AppendUint32([]byte{kind}, length), body...)
	}
	for _, c := range []struct {
		name  string
		input []byte
		want  []string
	}{
		{
			name:  "a length below that of the length itself",
			input: frame('Q', 2),
			want:  []string{"FATAL 08P01 not run"},
		},
		{
			name:  "a message that is too long",
			input: frame('Q', 100<<10),
			want:  []string{"FATAL 08P01 not run"},
		},
		{
			name:  "a type that is none",
			input: frame('!', 4),
			want:  []string{"FATAL 08P01 not run"},
		},
		{
			name:  "a body that is none",
			input: frame('B', 6, 'x', 'y'),
			want:  []string{"FATAL 08P01 not run"},
		},
		{
			name:  "a message that is torn",
			input: frame('Q', 40, 'S'),
		},
		{
			name:  "a message that is out of order",
			input: append(frame('p', 5, 0), add(nil, query("SELECT 1"))...),
			want:  []string{"FATAL 08P01 not run"},
		},
		{
			name:  "a function call",
			input: add(nil, &pgproto3.FunctionCall{}),
			want:  []string{"ERROR 0A000 not run", "Z I"},
		},
		{
			name:  "a copy",
			input: add(nil, query("COPY x FROM STDIN")),
			want:  []string{"ERROR 0A000 not run", "Z I"},
		},
		{
			name:  "a portal that is none",
			input: add(add(nil, &pgproto3.Execute{Portal: "none"}), endBatch),
			want:  []string{"ERROR 34000 not run", "Z I"},
		},
	} {
		words := s.words(s.send(append(hi("open"), c.input...)))
		for i, w := range words {
			if w == "Z I" {
				words = words[i+1:]
				break
			}
		}
		assert.Equal(t, len(words), len(c.want), "%s: %q", c.name, words)
		for i := range words {
			assert.Equal(t, words[i], c.want[i], c.name)
		}
		s.settled()
	}
	assert.Equal(t, len(s.upstream.statements()), 0)
	assert.DeepEqual(t, s.talk(query("SELECT 1")), []string{"SELECT", "Z I"})
}

// What a route does not take is refused before anything of it is sent.
func TestForbiddenStatements(t *testing.T) {
	s := newStand(t)
	words := s.words(s.send(add(hi("reads"), query("INSERT 1"))))
	assert.DeepEqual(t, words[len(words)-2:], []string{"ERROR 25006 not run", "Z I"})
	words = s.words(s.send(hi("none")))
	assert.Equal(t, words[0], "*pgproto3.AuthenticationSASL")
	s.settled()
	assert.Equal(t, len(s.upstream.statements()), 0)
}
