package linedb

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"coltsfootloft/stand/crlf"
)

// wire is the sending side of a connection.
type wire struct {
	mu   sync.Mutex
	conn net.Conn
}

// send sends an answer, as a whole, and later what follows it. Nothing is sent if it is empty.
func (w *wire) send(a answer) error {
	if a.text == "" {
		return nil
	}
	a.text = a.before + a.text
	if a.delay == 0 {
		return w.write(a.text + a.late)
	}
	time.AfterFunc(a.delay, func() { _ = w.write(a.late) })
	return w.write(a.text)
}

func (w *wire) write(text string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := io.WriteString(w.conn, text)
	return err
}

func (b *Database) serve(conn net.Conn) {
	r := crlf.New(conn)
	w := &wire{conn: conn}
	s, a := b.open(conn, r)
	if err := w.send(a); err != nil || s == nil {
		return
	}
	for {
		line, err := r.Line()
		if err != nil || line == "BYE" {
			return
		}
		b.arrived(conn, line)
		fields, ok := crlf.Split(line, 3)
		if !ok || fields[0] != "QUERY" {
			b.violation("%q is no request", line)
			_ = w.write("ERR MALFORMED " + b.id + "\r\n")
			return
		}
		if err := w.send(s.answer(fields[1], fields[2])); err != nil {
			return
		}
	}
}

// open reads the first line of a session and returns the session and the answer. The
// session is nil if it is refused.
func (b *Database) open(conn net.Conn, r *crlf.Reader) (*session, answer) {
	first, err := r.Line()
	if err != nil {
		return nil, answer{}
	}
	b.arrived(conn, first)
	f := strings.Split(first, " ")
	if _, ok := crlf.Split(first, len(f)); !ok || f[0] != "START" || len(f) < 3 || len(f) > 4 {
		b.violation("%q starts no session", first)
		return nil, answer{text: "ERR MALFORMED start\r\n"}
	}
	g := b.group
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case f[1] != g.Name || len(f) > 3 && f[3] != b.id:
		return nil, answer{text: "ERR MISROUTED " + b.id + "\r\n"}
	case g.MaxConns > 0 && len(b.conns) > g.MaxConns:
		return nil, answer{text: "ERR MAXCONN " + b.id + "\r\n"}
	}
	s := &session{
		database: b,
		account:  f[2],
		values:   make(map[string]string),
		prepared: make(map[string]string),
	}
	return s, s.keep(b.reply("START", s.ready(), ""))
}

// keep keeps the second answer back if that is asked for.
func (s *session) keep(a answer) answer {
	if a.held {
		s.held = append(s.held, a.late)
		a.late = ""
		a.delay = 0
	}
	return a
}

// answer runs a query and returns what to send.
func (s *session) answer(id, text string) answer {
	b := s.database
	if id != noID {
		b.callHook()
	}
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	q, fault := parse(id, text)
	s.noteReceived(q)
	s.noteRequest(q)
	if fault != "" {
		b.noteViolation("%s of %q with id %s", fault, text, id)
		return answer{text: s.fail("MALFORMED") + s.ready()}
	}
	sent, late := s.perform(q)
	if q.id != noID && b.answersToLose > 0 {
		b.answersToLose--
		return answer{}
	}
	before := ""
	if id != noID && len(s.held) > 0 {
		s.heldFor++
		if s.heldFor > b.faults.Held {
			before = b.faults.release(&s.held)
			s.heldFor = 0
		}
	}
	a := s.keep(b.reply(q.word, sent, late))
	a.before = before
	return a
}

// noteRequest records a request if that is asked for.
func (s *session) noteRequest(q request) {
	g := s.database.group
	if !g.CountRequests || q.word == wordPrepare && q.fields[0] == "mark" {
		return
	}
	if g.requests == nil {
		g.requests = make(map[string][]Request)
	}
	g.requests[s.database.id] = append(g.requests[s.database.id], Request{
		Word: q.word,
		At:   time.Now(),
	})
}

// noteReceived adds a statement of a caller to those that the group has received.
func (s *session) noteReceived(q request) {
	if q.id == noID {
		return
	}
	text, shape := s.resolve(q)
	s.database.group.received = append(s.database.group.received, Run{
		Database: s.database.id,
		Account:  s.account,
		ID:       q.id,
		Text:     text,
		Shape:    shape,
		At:       time.Now(),
	})
}
