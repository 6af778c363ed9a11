package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// answerTimeout is how long a client waits for an answer, the time limit of its requests.
const answerTimeout = 2 * time.Second

// clientKey is the key of all clients, of the tenant arima.
const clientKey = "key-arima"

// client is one session of a client at a host.
type client struct {
	record *record
	name   string
	conn   net.Conn
	reader *bufio.Reader
	sent   int
}

// answer is the answer to a statement.
type answer struct {
	id     string
	rows   []string
	digest string
	code   string // of an error; empty for a success
	state  string
	lost   bool // the connection ended, or nothing came in time
	closed bool // the connection ended
}

// String returns the answer in a few words.
func (a answer) String() string {
	switch {
	case a.closed:
		return "connection ended without a complete answer"
	case a.lost:
		return "no answer"
	case a.code != "":
		return "ERR " + a.code + ", READY " + a.state
	}
	return fmt.Sprintf("rows %v, DONE %s, READY %s", a.rows, a.digest, a.state)
}

// connect starts a session at a host and returns the code of a refusal, or an empty text.
func (w *world) connect(name string, h *host, database string) (*client, string) {
	d := net.Dialer{Timeout: time.Second}
	conn, err := d.DialContext(w.ctx, "tcp", h.listen)
	if err != nil {
		return nil, err.Error()
	}
	c := &client{
		record: w.record,
		name:   name,
		conn:   conn,
		reader: bufio.NewReader(conn),
	}
	w.record.add(name, "> START %s %s at %s", database, clientKey, h.name)
	_, _ = fmt.Fprintf(conn, "START %s %s\r\n", database, clientKey)
	line, _ := c.line()
	w.record.add(name, "< %s", line)
	word, rest, _ := strings.Cut(line, " ")
	if word == "READY" {
		return c, ""
	}
	conn.Close()
	if rest == "" {
		rest = "closed"
	}
	return nil, rest
}

// mustConnect starts a session, and tries again while it is refused.
func (w *world) mustConnect(name string, h *host, database string) *client {
	deadline := time.Now().Add(5 * time.Second)
	for {
		c, refusal := w.connect(name, h, database)
		if c != nil {
			return c
		}
		if time.Now().After(deadline) {
			failf("%s: session refused: %s", name, refusal)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *client) line() (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(answerTimeout))
	line, err := c.reader.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

// do sends a statement and reads its answer.
func (c *client) do(text string) answer {
	c.sent++
	a := answer{id: fmt.Sprintf("%s.%d", c.name, c.sent)}
	c.record.add(c.name, "> QUERY %s %s", a.id, text)
	defer func() { c.record.add(c.name, "< %s %s", a.id, a.String()) }()
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", a.id, text); err != nil {
		a.lost = true
		a.closed = true
		return a
	}
	for {
		line, err := c.line()
		if err != nil {
			n, ok := err.(net.Error) //nolint:errorlint // as the connection returns it
			a.lost = true
			a.closed = !ok || !n.Timeout()
			return a
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "DONE":
			a.digest = rest
		case "ERR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

// must sends a statement that has to succeed for the case to go on.
func (c *client) must(text string) {
	if a := c.do(text); a.lost || a.code != "" {
		failf("%s: %s: %s", c.name, text, a.String())
	}
}

func (c *client) close() { c.conn.Close() }

// untilTimeout bounds the repetition of a step.
const untilTimeout = 3 * time.Second

// until repeats a step of a client until it is done.
func (w *world) until(what string, done func() bool) {
	deadline := time.Now().Add(untilTimeout)
	for !done() {
		if time.Now().After(deadline) {
			failf("no %s within %s", what, untilTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
