package dbpool_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
)

// repeat sends answers from to from+count-1 of a connection again: after answer place-1, or
// together with answer place.
type repeat struct {
	from, count, place int
	early              bool
}

// run is what the database did with a statement.
type run struct {
	done   bool
	inTx   bool
	digest string
}

// scripted is a database on a socket that builds its answers by hand. The repeats hold for its first
// connection.
type scripted struct {
	listener net.Listener
	refuse   map[string]string // id of a statement to the word of its next failure

	sessions sync.WaitGroup

	mu      sync.Mutex
	repeats []repeat
	// succeedsLate makes the second answer to a statement that timed out a success.
	succeedsLate bool
	lost         int // number of the answer of the first connection that is lost, or -1
	runs         map[string]run
	answers      []string // of the first connection
	opened       int
	position     int
	digests      int
}

func (s *scripted) accept() {
	defer s.sessions.Done()
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.opened++
		first := s.opened == 1
		s.mu.Unlock()
		s.sessions.Go(func() { s.serve(c, first) })
	}
}

// connection is one session at the database.
type connection struct {
	*scripted
	state   string
	pending []string // ids of the writes of its transaction
	sent    []string
}

func (s *scripted) serve(c net.Conn, first bool) {
	defer c.Close()
	n := &connection{
		scripted: s,
		state:    "I",
	}
	r := bufio.NewReader(c)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		s.mu.Lock()
		answer := n.answer(strings.TrimSuffix(line, "\r\n"))
		if first {
			answer = n.withRepeats(answer)
			s.answers = n.sent
			if len(n.sent)-1 == s.lost {
				answer = ""
			}
		}
		s.mu.Unlock()
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// withRepeats returns an answer with the earlier ones that are sent before and after it.
func (n *connection) withRepeats(answer string) string {
	place := len(n.sent)
	second := answer
	if n.succeedsLate && strings.HasPrefix(answer, "ERR TIMEOUT") {
		second = "DONE 7.late\r\n" + n.ready()
	}
	n.sent = append(n.sent, second)
	before, after := "", ""
	for _, r := range n.repeats {
		again := ""
		for i := r.from; i < r.from+r.count && i < len(n.sent); i++ {
			again += n.sent[i]
		}
		switch {
		case !r.early && r.place == place && r.from+r.count <= place:
			before += again
		case r.early && r.place == place+1:
			after += again
		}
	}
	return before + answer + after
}

func (n *connection) answer(line string) string {
	if strings.HasPrefix(line, "START ") {
		return n.ready()
	}
	_, rest, _ := strings.Cut(line, " ")
	id, text, _ := strings.Cut(rest, " ")
	verb, _, _ := strings.Cut(text, " ")
	if n.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return "ERR MALFORMED failed\r\n" + n.ready()
	}
	if word := n.refuse[id]; word != "" && id != "-" {
		delete(n.refuse, id)
		return n.fail(id, word)
	}
	switch verb {
	case "BEGIN":
		n.state = "T"
	case "ROLLBACK":
		n.state = "I"
		n.pending = nil
	case "SET", "PREPARE", "RESET":
	default:
		return n.data(id, verb)
	}
	return "DONE -\r\n" + n.ready()
}

func (n *connection) fail(id, word string) string {
	if n.state == "T" && !strings.HasPrefix(id, "commit") {
		n.state = "E"
	}
	if word == "FAILED" || word == "TIMEOUT" {
		n.runs[id] = run{done: true}
	}
	return "ERR " + word + " db-1\r\n" + n.ready()
}

// data runs a read, a write or a commit.
func (n *connection) data(id, verb string) string {
	n.digests++
	v := run{
		done:   true,
		inTx:   n.state == "T",
		digest: fmt.Sprint("7.", n.digests),
	}
	row := ""
	switch verb {
	case "READ":
		row = "ROW of " + id + "\r\n"
	case "COMMIT":
		n.state = "I"
		n.position++
	default:
		if !v.inTx {
			n.position++
		}
	}
	n.runs[id] = v
	return row + "DONE " + v.digest + "\r\n" + n.ready()
}

func (n *connection) ready() string { return fmt.Sprintf("READY %s 3.%d\r\n", n.state, n.position) }
