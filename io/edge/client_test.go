package edge

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/caller"
	"coltsfootloft/stand/crlf"
)

// client is a caller that speaks the statement protocol.
type client struct {
	t    *testing.T
	conn net.Conn
	r    *crlf.Reader
	n    int
	name string
}

// answer is the answer to a statement.
type answer struct {
	rows   []string
	digest string
	code   string // empty for a success
	state  string
	lost   bool // the connection ended before the answer was complete
}

// connect starts a session and returns the code of a refusal, or "closed" if the connection
// ended without an answer.
func connect(t *testing.T, h *testHost, database, key string) (*client, string) {
	t.Helper()
	conn, err := net.DialTimeout("tcp", h.settings.Listen, time.Second)
	assert.NilError(t, err)
	return start(t, conn, database, key)
}

// start starts a session on a connection, like connect.
func start(t *testing.T, conn net.Conn, database, key string) (*client, string) {
	t.Helper()
	t.Cleanup(func() { conn.Close() })
	c := &client{
		t:    t,
		conn: conn,
		r:    crlf.New(conn),
		name: fmt.Sprintf("%s-%d", strings.ReplaceAll(conn.LocalAddr().String(), ":", "-"), time.Now().UnixNano()),
	}
	fmt.Fprintf(conn, "START %s %s\r\n", database, key)
	code, err := caller.Greet(c.r, c.arm)
	switch {
	case err == nil && code == "":
		return c, ""
	case err != nil:
		return nil, "closed"
	}
	return nil, code
}

// arm sets how long the next line is waited for.
func (c *client) arm() { _ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second)) }

// do sends a statement and reads its answer.
func (c *client) do(text string) answer {
	c.n++
	if _, err := fmt.Fprintf(c.conn, "QUERY %s-%d %s\r\n", c.name, c.n, text); err != nil {
		return answer{lost: true}
	}
	return c.read()
}

// read reads the answer to one statement.
func (c *client) read() answer {
	a, stray := caller.Receive(c.r, c.arm)
	if stray != "" {
		c.t.Errorf("%s-%d: %q is no part of an answer", c.name, c.n, stray)
	}
	return answer{
		rows:   a.Rows,
		digest: a.Digest,
		code:   a.Code,
		state:  a.State,
		lost:   a.Lost || a.Silent,
	}
}

// must sends a statement and fails the test if it does not succeed.
func (c *client) must(text string) answer {
	c.t.Helper()
	a := c.do(text)
	assert.Equal(c.t, a.code, "", text)
	assert.Assert(c.t, !a.lost, text)
	return a
}
