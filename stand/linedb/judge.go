package linedb

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Violation is a message to a database that breaks the protocol.
type Violation struct {
	At   time.Time
	Text string
}

// Violations returns the messages so far that no caller, and no proxy on its own, can have
// sent.
func (g *Group) Violations() []Violation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Violation(nil), g.violations...)
}

// violation notes a message that breaks the protocol.
func (b *Database) violation(format string, arguments ...any) {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.noteViolation(format, arguments...)
}

// noteViolation is violation for a caller that holds the lock.
func (b *Database) noteViolation(format string, arguments ...any) {
	const most = 300 // bytes
	text := b.id + ": " + fmt.Sprintf(format, arguments...)
	b.group.violations = append(b.group.violations, Violation{
		At:   time.Now(),
		Text: text[:min(len(text), most)],
	})
}

// noID is the id of the statements that the proxy issues itself.
const noID = "-"

const (
	wordCommit   = "COMMIT"
	wordPrepare  = "PREPARE"
	wordRollback = "ROLLBACK"
)

// form is the form of a statement.
type form struct {
	// least and most are the numbers of its fields after the word.
	least, most int
	// own is set if only the proxy itself sends it, and forwarded if only callers do.
	own, forwarded bool
}

var forms = map[string]form{
	"BEGIN":      {most: 1, forwarded: true},
	wordCommit:   {forwarded: true},
	wordRollback: {},
	"READ":       {least: 1, most: 1, forwarded: true},
	"WRITE":      {least: 2, most: 2, forwarded: true},
	"EXEC":       {least: 2, most: 3, forwarded: true},
	"SET":        {least: 2, most: 2},
	wordPrepare:  {least: 3, most: 3},
	"DEALLOC":    {least: 1, most: 1},
	"RESET":      {own: true},
	"STATUS":     {own: true},
	"DEMOTE":     {least: 1, most: 1, own: true},
}

// request is one query.
type request struct {
	id, text string // without the position
	after    string // position that must be applied; empty if none
	word     string
	fields   [3]string
}

// parse splits the text of a query, and returns what is wrong with it, or nothing.
func parse(id, text string) (q request, fault string) {
	q = request{
		id:   id,
		text: text,
	}
	if rest, ok := strings.CutPrefix(text, "AFTERLSN "); ok {
		q.after, q.text, _ = strings.Cut(rest, " ")
		if !isPosition(q.after) {
			return q, "position"
		}
	}
	var rest string
	var more bool
	q.word, rest, more = strings.Cut(q.text, " ")
	f, ok := forms[q.word]
	var fields []string
	if more {
		fields = strings.SplitN(rest, " ", max(f.most, 1))
	}
	switch {
	case !ok:
		return q, "word"
	case len(fields) < f.least || len(fields) > f.most:
		return q, "number of fields"
	case f.own && id != noID || f.forwarded && id == noID:
		return q, "id"
	}
	copy(q.fields[:], fields)
	return q, q.checkFields(len(fields))
}

// checkFields returns what is wrong with the first n fields. The data of an EXEC may be empty.
func (q *request) checkFields(n int) (fault string) {
	for i, f := range q.fields[:n] {
		if f == "" && (q.word != "EXEC" || i < 2) {
			return "empty field"
		}
	}
	return q.checkKind(n)
}

// checkKind returns what is wrong with the fields that are not free.
func (q *request) checkKind(n int) (fault string) {
	first, second := q.fields[0], q.fields[1]
	switch q.word {
	case "BEGIN":
		if n > 0 && first != "READ" {
			return "kind"
		}
	case wordPrepare:
		if second != "READ" && second != "WRITE" {
			return "kind"
		}
	case "DEMOTE":
		if _, err := strconv.ParseUint(first, 10, 64); err != nil {
			return "term"
		}
	}
	if q.after != "" && q.word != "READ" && q.word != "BEGIN" && q.word != "EXEC" {
		return "position before " + q.word
	}
	return ""
}

// isPosition reports whether a field is TERM.NUMBER.
func isPosition(field string) bool {
	term, number, _ := strings.Cut(field, ".")
	_, err := strconv.ParseUint(term, 10, 64)
	_, err2 := strconv.ParseUint(number, 10, 64)
	return err == nil && err2 == nil
}
