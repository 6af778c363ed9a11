package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wireSession is a caller's connection whose bytes are built by hand.
type wireSession struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func startWire(t *testing.T, h *testHost) *wireSession {
	t.Helper()
	conn, err := net.Dial("tcp", h.settings.Listen)
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	return &wireSession{
		t:    t,
		conn: conn,
		r:    bufio.NewReader(conn),
	}
}

// line reads up to CR LF; it returns the empty string at the end of the connection.
func (s *wireSession) line() string {
	s.t.Helper()
	line := ""
	for !strings.HasSuffix(line, "\r\n") {
		b, err := s.r.ReadByte()
		if err == io.EOF && line == "" {
			return ""
		}
		assert.NilError(s.t, err)
		line += string(b)
	}
	return line
}

// ask sends a query and checks that its answer has a line with this beginning, and this state.
func (s *wireSession) ask(query, beginning, state string) {
	s.t.Helper()
	fmt.Fprintf(s.conn, "QUERY 7 %s\r\n", query)
	line := s.line()
	assert.Assert(s.t, strings.HasPrefix(line, beginning), "%s: %q", query, line)
	line = s.line()
	assert.Assert(s.t, strings.HasPrefix(line, "READY "+state+" "), "%s: %q", query, line)
}

// TestWireSessionsEndAndFailAsTheProtocolSays guards against a session that stays open when it has
// ended, and against a statement that runs in a transaction that failed: "START database, who is
// answered with READY, or with ERR followed by a close. BYE ends the session. The state is I, T (in
// a transaction) or E (the transaction failed; ending it rolls back, and every other request
// receives MALFORMED)."
func TestWireSessionsEndAndFailAsTheProtocolSays(t *testing.T) {
	f := startFleet(t, 3, nil)
	s := startWire(t, f.hosts[0])
	fmt.Fprint(s.conn, "START none key-arima\r\n")
	assert.Assert(t, strings.HasPrefix(s.line(), "ERR NODB "))
	assert.Equal(t, s.line(), "")
	s = startWire(t, f.hosts[0])
	fmt.Fprint(s.conn, "START file key-arima of another\r\n")
	assert.Assert(t, strings.HasPrefix(s.line(), "ERR NOAUTH "))
	assert.Equal(t, s.line(), "")

	s = startWire(t, f.hosts[0])
	fmt.Fprint(s.conn, "START file key-arima\r\n")
	assert.Equal(t, s.line(), "READY I -\r\n")
	s.ask("BEGIN", "DONE -", "T")
	s.ask("WRITE page a", "DONE db-", "T")
	f.group.LoseAnswers(f.group.Primary(), 1)
	s.ask("WRITE page b", "ERR ABORTED ", "E")
	for _, query := range []string{"READ page", "WRITE page c", "SET n v", "PREPARE p READ q", "DEALLOC p", "BEGIN"} {
		s.ask(query, "ERR MALFORMED ", "E")
	}
	s.ask("ROLLBACK", "DONE -", "I")
	s.ask("SET n v", "DONE -", "I")
	fmt.Fprint(s.conn, "BYE\r\n")
	assert.Equal(t, s.line(), "")
	for _, r := range f.group.Runs() {
		assert.Assert(t, (r.Text == "WRITE page a" || r.Text == "WRITE page b") && !r.Committed, "%+v", r)
	}
}
