package caller

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"coltsfootloft"
	"coltsfootloft/core/stmt"
)

// step is one message of a batch, or one answer that the host gives itself.
type step struct {
	// ends is the reply that ends the step.
	ends ending
	// message is what is sent, encoded; nil for a local step.
	message []byte
	// local answers the step without the upstream.
	local func(o *output) error
	// needs is the statement that must be prepared before.
	needs *statement
	// adds is the statement that the step itself prepares.
	adds *statement
	// change is what the step does to the session's prepared statements.
	change *change
	// script is what an execution runs.
	script stmt.Script
	// hidden steps are the host's own.
	hidden bool
	// row takes the rows of a hidden step.
	row func(values [][]byte)
	// refused takes the error of a hidden step; without it the attempt fails.
	refused func(e *pgproto3.ErrorResponse)
}

// batch is what a caller sends up to a Sync or a Flush, or one simple query.
type batch struct {
	steps []step
	// cost is the number of statements that it runs.
	cost int
	// writes is set unless it is known to read only.
	writes bool
	// only is the single statement it runs, if it runs just one.
	only stmt.Statement
	// sql is the first statement that it runs.
	sql string
	// simple batches are one simple query.
	simple bool
	// open batches end in a Flush, with the Sync to come.
	open bool
	// refused is why the batch can't be run.
	refused error
}

// runs notes that a step of the batch executes the script.
func (b *batch) runs(s stmt.Script) {
	b.cost += max(1, s.Len())
	if !s.IsRead() {
		b.writes = true
	}
	if t, ok := s.Single(); ok && b.cost == 1 {
		b.only = t
	} else {
		b.only = stmt.Statement{}
	}
	b.check(s)
}

// check refuses what can't be carried before any of the batch is sent.
func (b *batch) check(s stmt.Script) {
	for _, t := range s.Statements() {
		switch {
		case t.Kind() == stmt.Copy:
			b.refuse(unsupported("COPY"))
		case t.Kind() == stmt.Unsupported:
			b.refuse(unsupported("a statement that needs a server session of its own"))
		case setsEncoding(t):
			b.refuse(coltsfootloft.Refuse("22023", "client_encoding must be UTF8"))
		case t.IsProxy() && (s.Len() > 1 || b.cost > 1):
			b.refuse(unsupported("a setting of the proxy among several statements"))
		}
	}
}

// refuse notes the first reason why the batch can't be run.
func (b *batch) refuse(err error) {
	if b.refused == nil {
		b.refused = err
	}
}

// setsEncoding reports whether the statement leaves UTF8, which statements are
// classified in.
func setsEncoding(t stmt.Statement) bool {
	switch t.Kind() {
	case stmt.Set:
		return (t.Name() == "client_encoding" || t.Name() == "names") && !IsUTF8(t.Value())
	case stmt.SetLocal:
		return strings.Contains(strings.ToLower(t.Text()), "client_encoding")
	default:
		return false
	}
}

// IsUTF8 reports whether a value of client_encoding stands for UTF8.
func IsUTF8(value string) bool {
	switch strings.ToLower(strings.Trim(value, `'"`)) {
	case "utf8", "utf-8", "unicode", "default":
		return true
	}
	return false
}

// has reports whether any executed script has a statement of the kind.
func (b *batch) has(k stmt.Kind) bool {
	for _, t := range b.steps {
		if t.script.Has(k) {
			return true
		}
	}
	return false
}

// touches reports whether an executed statement that changes settings or opens a
// transaction names the words, in any case.
func (b *batch) touches(words string) bool {
	for _, t := range b.steps {
		for _, u := range t.script.Statements() {
			if u.Kind() != stmt.Read && strings.Contains(strings.ToLower(u.Text()), strings.ToLower(words)) {
				return true
			}
		}
	}
	return false
}

// isOnly reports whether the batch runs nothing but one statement of a kind.
func (b *batch) isOnly(kinds ...stmt.Kind) bool {
	if b.cost != 1 || b.only.Text() == "" {
		return false
	}
	for _, k := range kinds {
		if b.only.Kind() == k {
			return true
		}
	}
	return false
}

// isLocal reports whether the host answers every step itself.
func (b *batch) isLocal() bool {
	for _, t := range b.steps {
		if t.message != nil && t.ends != atSync {
			return false
		}
	}
	return true
}

func encode(m pgproto3.FrontendMessage) []byte {
	b, err := m.Encode(nil)
	if err != nil {
		return nil
	}
	return b
}

// encoded is a message that is already in its wire form.
type encoded []byte

// Decode is never called: encoded messages are only sent.
func (encoded) Decode([]byte) error { return nil }

// Encode appends the wire form to dst.
func (e encoded) Encode(dst []byte) ([]byte, error) { return append(dst, e...), nil }

// Frontend marks the message as one of a frontend.
func (encoded) Frontend() {}

// ending is the reply that ends a step.
type ending uint8

const (
	atParse ending = iota
	atBind
	atDescribe
	atExecute
	atClose
	atSync
	atQuery
	atFlush
)

// String returns the name of the reply.
func (e ending) String() string {
	names := [...]string{
		atParse:    "ParseComplete",
		atBind:     "BindComplete",
		atDescribe: "RowDescription",
		atExecute:  "CommandComplete",
		atClose:    "CloseComplete",
		atSync:     "ReadyForQuery",
		atQuery:    "ReadyForQuery",
		atFlush:    "Flush",
	}
	if int(e) < len(names) {
		return names[e]
	}
	return "invalid ending"
}
