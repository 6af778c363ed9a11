// Package caller is a caller that speaks the users' statement protocol, for tests. It
// sends statements, one at a time or several at once, and checks that each gets exactly one
// answer.
package caller

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft/stand/crlf"
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
	// Waited is how long the answer was waited for: since its statement was sent, or since the
	// answer before it was complete.
	Waited time.Duration
	// Silent tells that no complete answer came in time on a connection that stayed open.
	Silent bool
}

// Succeeded reports whether the statement was answered with a success.
func (a Answer) Succeeded() bool { return a.Code == "" && !a.Lost && !a.Silent }

// Unknown reports whether the answer leaves open if the statement took effect.
func (a Answer) Unknown() bool {
	return a.Lost || a.Silent || a.Code == "INDOUBT" || a.Code == "TIMEOUT"
}

// Session is one session of a caller.
type Session struct {
	// Pieces, if not nil, has messages sent in pieces that end at random bytes.
	Pieces *rand.Rand

	conn  net.Conn
	r     *crlf.Reader
	name  string
	n     int
	limit time.Duration
	// stray is what came while no statement was under way, or was no part of an answer.
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
		r:     crlf.New(conn),
		name:  strconv.Itoa(os.Getpid()) + "-" + strconv.FormatUint(sessions.Add(1), 10),
		limit: limit,
	}
	_, _ = fmt.Fprintf(conn, "START %s %s\r\n", database, key)
	code, err = Greet(s.r, func() { _ = conn.SetReadDeadline(time.Now().Add(limit)) })
	if err == nil && code == "" {
		return s, "", nil
	}
	conn.Close()
	return nil, code, errors.Wrap(err, "start of the session")
}

// Last returns the id of the last statement.
func (s *Session) Last() string { return s.name + "-" + strconv.Itoa(s.n) }

// Do sends a statement and reads its answer.
func (s *Session) Do(text string) Answer { return s.Batch(text)[0] }

// Batch sends statements at once and reads their answers in order.
func (s *Session) Batch(texts ...string) []Answer {
	s.checkRest()
	var b strings.Builder
	for _, t := range texts {
		s.n++
		b.WriteString("QUERY " + s.Last() + " " + t + "\r\n")
	}
	answers := make([]Answer, len(texts))
	if s.send(b.String()) != nil {
		for i := range answers {
			answers[i].Lost = true
		}
		return answers
	}
	for i := range answers {
		began := time.Now()
		var stray string
		answers[i], stray = Receive(s.r, func() { _ = s.conn.SetReadDeadline(time.Now().Add(s.limit)) })
		answers[i].Waited = time.Since(began)
		if s.stray == "" {
			s.stray = stray
		}
		if answers[i].Lost || answers[i].Silent {
			for j := i + 1; j < len(answers); j++ {
				answers[j] = Answer{Lost: true}
			}
			break
		}
	}
	return answers
}

// send writes messages, in pieces if that is asked for.
func (s *Session) send(messages string) error {
	const pause = time.Millisecond
	for s.Pieces != nil && len(messages) > 1 && s.Pieces.IntN(3) > 0 {
		n := 1 + s.Pieces.IntN(len(messages)-1)
		if s.Pieces.IntN(3) == 0 {
			n = len(messages) - 1 // between CR and LF
		}
		if _, err := io.WriteString(s.conn, messages[:n]); err != nil {
			return err
		}
		messages = messages[n:]
		time.Sleep(pause)
	}
	_, err := io.WriteString(s.conn, messages)
	return err
}

// Recent returns the ids of the last n statements.
func (s *Session) Recent(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = s.name + "-" + strconv.Itoa(s.n-n+1+i)
	}
	return ids
}

// checkRest notes bytes that have come while no statement was under way. An error may
// come then, before the session is closed.
func (s *Session) checkRest() {
	if rest := s.r.Rest(); rest != "" && s.stray == "" && !strings.HasPrefix(rest, "ERR ") {
		s.stray = rest
	}
}

// Close ends the session. It returns what came while no statement was under way, other
// than an error, or was no part of an answer.
func (s *Session) Close() (stray string) {
	_ = s.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_ = s.r.Await()
	s.checkRest()
	s.conn.Close()
	return s.stray
}
