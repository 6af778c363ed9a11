package linedb

import (
	"io"
	"net"
	"strings"
	"sync"

	"coltsfootloft/stand/crlf"
)

// wire is the sending side of a connection. Each answer is sent as a whole.
type wire struct {
	mu   sync.Mutex
	conn net.Conn
}

func (w *wire) send(answer string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := io.WriteString(w.conn, answer)
	return err
}

func (b *Database) serve(conn net.Conn) {
	r := crlf.New(conn)
	w := &wire{conn: conn}
	s, answer := b.open(r)
	if err := w.send(answer); err != nil || s == nil {
		return
	}
	for {
		line, err := r.Line()
		if err != nil || line == "BYE" {
			return
		}
		fields, ok := crlf.Split(line, 3)
		if !ok || fields[0] != "QUERY" {
			b.violation("%q is no request", line)
			_ = w.send("ERR MALFORMED " + b.id + "\r\n")
			return
		}
		answer, lost := s.answer(fields[1], fields[2])
		if lost {
			continue
		}
		if err := w.send(answer); err != nil {
			return
		}
	}
}

// open reads the first line of a session and returns the session and the answer. The
// session is nil if it is refused.
func (b *Database) open(r *crlf.Reader) (*session, string) {
	first, err := r.Line()
	if err != nil {
		return nil, ""
	}
	f := strings.Split(first, " ")
	if _, ok := crlf.Split(first, len(f)); !ok || f[0] != "START" || len(f) < 3 || len(f) > 4 {
		b.violation("%q starts no session", first)
		return nil, "ERR MALFORMED start\r\n"
	}
	g := b.group
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case f[1] != g.Name || len(f) > 3 && f[3] != b.id:
		return nil, "ERR MISROUTED " + b.id + "\r\n"
	case g.MaxConns > 0 && len(b.conns) > g.MaxConns:
		return nil, "ERR MAXCONN " + b.id + "\r\n"
	}
	s := &session{
		database: b,
		account:  f[2],
		values:   make(map[string]string),
		prepared: make(map[string]string),
	}
	return s, s.ready()
}

// answer runs a query. An answer that is lost must not be sent.
func (s *session) answer(id, text string) (answer string, lost bool) {
	b := s.database
	if id != "-" {
		b.callHook()
	}
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	answer, isData := s.statement(id, text)
	lost = isData && b.answersToLose > 0
	if lost {
		b.answersToLose--
	}
	return answer + s.ready(), lost
}
