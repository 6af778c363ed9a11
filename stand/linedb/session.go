package linedb

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// session is one session, on a connection of its own.
type session struct {
	database *Database
	account  string
	values   map[string]string
	prepared map[string]string // name to text
	inTx     bool
	readOnly bool
	failed   bool
	writes   map[string]string // writes of the open transaction
	visible  int               // number of commits that reads of the transaction see
	txRuns   []Run             // statements of the open transaction
	held     []string          // second answers that are kept back
	heldFor  int               // number of statements while which they were
}

func (b *Database) callHook() {
	b.group.mu.Lock()
	f := b.hook
	b.group.mu.Unlock()
	if f != nil {
		f()
	}
}

// ready returns the line that ends an answer. It holds the state of the transaction
// and the position that reads see.
func (s *session) ready() string {
	state := "I"
	if s.failed {
		state = "E"
	} else if s.inTx {
		state = "T"
	}
	return "READY " + state + " " + s.database.position(s.database.applied()) + "\r\n"
}

// position returns the position of the nth commit as TERM.NUMBER.
func (b *Database) position(n int) string {
	term := uint64(1)
	if n > 0 {
		term = b.log[n-1].term
	}
	return strconv.FormatUint(max(term, 1), 10) + "." + strconv.Itoa(n)
}

// applied returns the number of commits that reads see.
func (b *Database) applied() int {
	if b.role == rolePrimary {
		return len(b.log)
	}
	seen := time.Now().Add(-b.group.Lag)
	return sort.Search(len(b.log), func(i int) bool { return b.log[i].at.After(seen) })
}

// fail returns an error line and marks an open transaction as failed.
func (s *session) fail(code string) string {
	if s.inTx {
		s.failed = true
	}
	return "ERR " + code + " " + s.database.id + "\r\n"
}

const done = "DONE -\r\n"

// perform runs a statement and returns the answer, and the one that follows if the first is a
// time-out after which the statement went on.
func (s *session) perform(q request) (sent, late string) {
	inTx := s.inTx
	code := ""
	if _, shape := s.resolve(q); !s.failed && (q.word != "EXEC" || shape != "") {
		code = s.database.faults.injected(q)
	}
	switch code {
	case "":
		return s.statement(q) + s.ready(), ""
	case "TIMEOUT":
		late = s.statement(q) + s.ready()
		if strings.HasPrefix(late, "ERR ") {
			return late, ""
		}
	case "FAILED":
		s.failRun(q)
	}
	if q.word == wordCommit && (code == "FAILED" || code == "TIMEOUT") || !inTx {
		return "ERR " + code + " " + s.database.id + "\r\n" + s.ready(), late
	}
	return s.fail(code) + s.ready(), late
}

// failRun runs a statement without an effect.
func (s *session) failRun(q request) {
	text, shape := s.resolve(q)
	s.record(q.id, text, shape, false)
	if q.word == wordCommit {
		s.endTx()
	}
}

// statement runs one statement.
func (s *session) statement(q request) string {
	if s.failed && q.word != wordRollback && q.word != wordCommit {
		return "ERR MALFORMED transaction failed\r\n"
	}
	if q.after != "" && !s.database.hasApplied(q.after) {
		return s.fail("LAGGING")
	}
	name, detail := q.fields[0], q.fields[1]
	switch q.word {
	case "SET":
		s.values[name] = detail
		return done
	case wordPrepare:
		s.prepared[name] = detail + " " + q.fields[2]
		return done
	case "DEALLOC":
		delete(s.prepared, name)
		return done
	case "RESET":
		s.values = make(map[string]string)
		s.prepared = make(map[string]string)
		return done
	case "STATUS":
		return s.status()
	case "DEMOTE":
		if term, _ := strconv.ParseUint(name, 10, 64); term > s.database.term && s.database.role == rolePrimary {
			s.database.role = roleReplica
			s.database.follow()
		}
		return s.status()
	}
	return s.dataStatement(q)
}

// hasApplied reports whether reads see the commit at a position.
func (b *Database) hasApplied(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	n, _ := strconv.Atoi(number)
	if n > b.applied() {
		return false
	}
	return n == 0 || strconv.FormatUint(b.log[n-1].term, 10) == term
}

func (s *session) status() string {
	b := s.database
	return fmt.Sprintf("ROW %s %d %s 0 0 0 %d\r\n", b.role, b.term, b.position(len(b.log)), len(b.conns)) + done
}

// resolve returns the text of a statement with the prepared text in place of the name, and the
// shape of a prepared statement, which is empty if there is none of its name.
func (s *session) resolve(q request) (text, shape string) {
	if q.word != "EXEC" {
		return q.text, ""
	}
	shape = s.prepared[q.fields[0]]
	if shape == "" {
		return q.text, ""
	}
	_, prepared, _ := strings.Cut(shape, " ")
	return "EXEC " + prepared + strings.TrimPrefix(q.text, "EXEC "+q.fields[0]), shape
}

func (s *session) dataStatement(q request) string {
	switch q.word {
	case "BEGIN":
		if q.fields[0] != "READ" && s.database.role != rolePrimary {
			return s.fail("READONLY")
		}
		s.inTx = true
		s.readOnly = q.fields[0] == "READ"
		s.writes = make(map[string]string)
		s.visible = s.database.applied()
		return done
	case wordCommit:
		return s.commit(q.id, q.text)
	case wordRollback:
		s.endTx()
		return done
	case "EXEC":
		if _, shape := s.resolve(q); shape == "" {
			return s.fail("NOSTMT")
		}
	}
	return s.execute(q)
}

// execute runs a read or a write.
func (s *session) execute(q request) string {
	b := s.database
	text, shape := s.resolve(q)
	kind, name, data := q.word, q.fields[0], q.fields[1]
	if kind == "EXEC" {
		kind, _, _ = strings.Cut(shape, " ")
		name, data = q.fields[1], q.fields[2]
	}
	if (kind == "WRITE" || s.inTx && !s.readOnly) && b.role != rolePrimary {
		return s.fail("READONLY")
	}
	s.record(q.id, text, shape, kind == "WRITE" && !s.inTx)
	if kind == "WRITE" {
		if s.inTx {
			s.writes[name] = data
			return "DONE " + s.digest(q.id) + "\r\n"
		}
		b.append(map[string]string{name: data})
		return "DONE " + s.digest(q.id) + "\r\n"
	}
	if b.failReads && !s.inTx {
		return s.fail("FAILED")
	}
	n := b.applied()
	if s.inTx {
		n = s.visible
	}
	value := "-"
	for _, c := range slices.Backward(b.log[:min(n, len(b.log))]) {
		if v, ok := c.items[name]; ok {
			value = v
			break
		}
	}
	b.group.runs[len(b.group.runs)-1].Rows = []string{value}
	return "ROW " + value + "\r\nDONE " + s.digest(q.id) + "\r\n"
}

func (s *session) commit(id, text string) string {
	defer s.endTx()
	if !s.inTx || s.failed {
		return "ERR ABORTED " + s.database.id + "\r\n"
	}
	if len(s.writes) > 0 {
		if s.database.role != rolePrimary {
			return "ERR READONLY " + s.database.id + "\r\n"
		}
		s.database.append(s.writes)
		for _, r := range s.txRuns {
			r.Committed = strings.HasPrefix(r.Text, "WRITE ") || strings.HasPrefix(r.Shape, "WRITE ")
			s.database.group.runs = append(s.database.group.runs, r)
		}
	}
	s.record(id, text, "", len(s.writes) > 0)
	return "DONE " + s.digest(id) + "\r\n"
}

func (s *session) endTx() {
	s.inTx = false
	s.failed = false
	s.writes = nil
	s.txRuns = nil
}

func (s *session) digest(id string) string { return s.database.id + "." + id }

// record adds a statement to the runs of the group.
func (s *session) record(id, text, shape string, committed bool) {
	r := Run{
		Database:  s.database.id,
		Account:   s.account,
		ID:        id,
		Text:      text,
		Shape:     shape,
		Values:    maps.Clone(s.values),
		At:        time.Now(),
		Committed: committed,
	}
	if s.inTx {
		s.txRuns = append(s.txRuns, r)
	}
	s.database.group.runs = append(s.database.group.runs, r)
}

// append commits items at this database. If it is the primary of the newest term,
// replicas that are up and whose replication is not stopped receive the commit.
func (b *Database) append(items map[string]string) {
	c := commit{
		term:  b.term,
		items: items,
		at:    time.Now(),
	}
	b.log = append(b.log, c)
	for _, x := range b.group.databases {
		if x != b && !x.receivePaused && !x.down && x.role == roleReplica && b.group.primary == b.id {
			x.log = append(x.log, c)
		}
	}
}
