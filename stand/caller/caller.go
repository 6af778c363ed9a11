// Package caller is a caller that speaks the users' statement protocol, for tests. It
// sends one statement at a time and tells whether exactly one answer came.
package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Answer is the answer to a statement.
type Answer struct {
	Rows   []string
	Digest string
	// Code is the code of an error; empty for a success.
	Code string
	// State is the state of the transaction: I, T or E.
	State string
	// Lost tells that the connection ended before the answer was complete.
	Lost bool
	// Silent tells that no complete answer came in time on a connection that stayed open.
	Silent bool
}

// Succeeded reports whether the statement was answered with a success.
func (a Answer) Succeeded() bool { return a.Code == "" && !a.Lost && !a.Silent }

// Unknown reports whether the answer leaves open if the statement took effect.
func (a Answer) Unknown() bool {
	return a.Lost || a.Silent || a.Code == "INDOUBT"
}

// Session is one session of a caller.
type Session struct {
	conn  net.Conn
	r     *bufio.Reader
	name  string
	n     int
	limit time.Duration
	// stray is a line that came while no statement was under way.
	stray string
}

var sessions atomic.Uint64

// Open starts a session for a database name with a key. It returns no session but the
// code of the refusal if the host refuses it, and an error if there is no answer. Limit
// is how long each answer is waited for.
func Open(address, database, key string, limit time.Duration) (s *Session, code string, err error) {
	d := net.Dialer{Timeout: limit}
	conn, err := d.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, "", errors.Wrap(err, "session")
	}
	s = &Session{
		conn:  conn,
		r:     bufio.NewReader(conn),
		name:  strconv.Itoa(os.Getpid()) + "-" + strconv.FormatUint(sessions.Add(1), 10),
		limit: limit,
	}
	_, _ = fmt.Fprintf(conn, "START %s %s\r\n", database, key)
	word, rest, err := s.line()
	if err == nil && word == "READY" {
		return s, "", nil
	}
	conn.Close()
	if err != nil {
		return nil, "", errors.Wrap(err, "start of the session")
	}
	code, _, _ = strings.Cut(rest, " ")
	return nil, code, nil
}

// Last returns the id of the last statement.
func (s *Session) Last() string { return s.name + "-" + strconv.Itoa(s.n) }

// line reads one line.
func (s *Session) line() (word, rest string, err error) {
	_ = s.conn.SetReadDeadline(time.Now().Add(s.limit))
	line, err := s.r.ReadString('\n')
	if err != nil {
		return "", "", errors.Wrap(err, "read")
	}
	word, rest, _ = strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	return word, rest, nil
}

// Do sends a statement and reads its answer.
func (s *Session) Do(text string) Answer {
	s.checkRest()
	s.n++
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", s.Last(), text); err != nil {
		return Answer{Lost: true}
	}
	var a Answer
	for {
		word, rest, err := s.line()
		if err != nil {
			var timeout net.Error
			a.Silent = errors.As(err, &timeout) && timeout.Timeout()
			a.Lost = !a.Silent
			return a
		}
		switch word {
		case "ROW":
			a.Rows = append(a.Rows, rest)
		case "DONE":
			a.Digest = rest
		case "ERR":
			a.Code, _, _ = strings.Cut(rest, " ")
		case "READY":
			a.State = rest[:1]
			return a
		default:
			s.stray = word + " " + rest
		}
	}
}

// checkRest notes bytes that have come while no statement was under way. An error may
// come then, before the session is closed.
func (s *Session) checkRest() {
	if s.r.Buffered() == 0 || s.stray != "" {
		return
	}
	if b, _ := s.r.Peek(s.r.Buffered()); !strings.HasPrefix(string(b), "ERR ") {
		s.stray = string(b)
	}
}

// Close ends the session. It returns what came while no statement was under way, other
// than an error.
func (s *Session) Close() (stray string) {
	_ = s.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, _ = s.r.Peek(1)
	s.checkRest()
	s.conn.Close()
	return s.stray
}
