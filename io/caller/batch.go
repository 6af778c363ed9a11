package caller

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"coltsfootloft"
	"coltsfootloft/core/stmt"
)

// step is one message of a batch, or a reply that the host gives itself.
type step struct {
	// ends is the reply that ends the step.
	ends ending
	// message is the encoded message for the upstream; nil for a local step.
	message []byte
	// local writes the reply of a step that needs no upstream.
	local func(o *output) error
	// needs is the statement that must be prepared on the connection before the step.
	needs *statement
	// prepares is the statement that the step itself prepares.
	prepares *statement
	// change is the effect of the step on the session's prepared statements.
	change *change
	// script holds the statements that an execution runs.
	script stmt.Script
	// hidden is set for the host's own steps, whose replies are not forwarded.
	hidden bool
	// onRow receives the rows of a hidden step.
	onRow func(values [][]byte)
	// onError receives the error of a hidden step. If it is nil, the error of a query
	// fails the attempt, and the error of a Parse goes to the caller.
	onError func(e *pgproto3.ErrorResponse)
}

// batch holds the messages that a caller sends up to a Sync or a Flush, or one simple
// query.
type batch struct {
	steps []step
	// bytes is the size of the first counted steps.
	bytes, counted int
	// cost is the number of statements that the batch runs.
	cost int
	// writes is set unless the batch is known to only read.
	writes bool
	// single is the statement of a batch that runs exactly one.
	single stmt.Statement
	// sql is the text of the first simple query or executed statement.
	sql string
	// simple is set for a simple query.
	simple bool
	// partial is set for a batch that ended in a Flush; its Sync is still to come.
	partial bool
	// refusal is the first reason why the batch can't be run.
	refusal error
}

// addScript records that a step of the batch executes the script.
func (b *batch) addScript(s stmt.Script) {
	b.cost += max(1, s.Len())
	if !s.IsRead() {
		b.writes = true
	}
	if t, ok := s.Single(); ok && b.cost == 1 {
		b.single = t
	} else {
		b.single = stmt.Statement{}
	}
	b.check(s)
}

// check refuses statements that the proxy does not support, before any of the batch
// is sent.
func (b *batch) check(s stmt.Script) {
	for _, t := range s.Statements() {
		switch {
		case t.Kind() == stmt.Copy:
			b.refuse(unsupported("COPY"))
		case t.Kind() == stmt.Unsupported:
			b.refuse(unsupported("a statement that needs a server session of its own"))
		case setsEncoding(t):
			b.refuse(coltsfootloft.Refuse("22023", "client_encoding must be UTF8"))
		case setsStringSyntax(t):
			b.refuse(CheckStringSyntax("off"))
		case t.IsProxy() && (s.Len() > 1 || b.cost > 1):
			b.refuse(unsupported("a setting of the proxy among several statements"))
		}
	}
}

// refuse records the first reason why the batch can't be run.
func (b *batch) refuse(err error) {
	if b.refusal == nil {
		b.refusal = err
	}
}

// setsEncoding reports whether the statement may set an encoding other than UTF8.
// Statements are classified as UTF8 text.
func setsEncoding(t stmt.Statement) bool {
	if t.Kind() == stmt.Set {
		return (t.Name() == "client_encoding" || t.Name() == "names") && !IsUTF8(t.Value())
	}
	return maySet(t, "client_encoding")
}

// stringSyntaxSetting decides whether a backslash in a string escapes the byte after it. Statements are
// split, and the host's own strings are quoted, as if it does not.
const stringSyntaxSetting = "standard_conforming_strings"

// setsStringSyntax reports whether the statement may turn stringSyntaxSetting off.
func setsStringSyntax(t stmt.Statement) bool {
	if t.Kind() == stmt.Set {
		return t.Name() == stringSyntaxSetting && !isOn(t.Value())
	}
	return maySet(t, stringSyntaxSetting)
}

// maySet reports whether a statement other than a Set may set a setting to any value.
func maySet(t stmt.Statement, name string) bool {
	text := strings.ToLower(t.Text())
	return strings.Contains(text, name) && (t.Kind() == stmt.SetLocal || strings.Contains(text, "set_config"))
}

// CheckStringSyntax refuses a value of standard_conforming_strings that is not on.
func CheckStringSyntax(value string) error {
	if isOn(value) {
		return nil
	}
	return coltsfootloft.Refuse("22023", stringSyntaxSetting+" must be on")
}

func isOn(value string) bool {
	switch strings.ToLower(strings.Trim(value, `'"`)) {
	case "on", "true", "yes", "1", "default":
		return true
	}
	return false
}

// IsUTF8 reports whether a value of client_encoding means UTF8.
func IsUTF8(value string) bool {
	switch strings.ToLower(strings.Trim(value, `'"`)) {
	case "utf8", "utf-8", "unicode", "default":
		return true
	}
	return false
}

// has reports whether any executed script contains a statement of the kind.
func (b *batch) has(k stmt.Kind) bool {
	for _, t := range b.steps {
		if t.script.Has(k) {
			return true
		}
	}
	return false
}

// mentions reports whether the text of an executed statement other than a plain read
// contains the words, in any case.
func (b *batch) mentions(words string) bool {
	for _, t := range b.steps {
		for _, u := range t.script.Statements() {
			if u.Kind() != stmt.Read && strings.Contains(strings.ToLower(u.Text()), strings.ToLower(words)) {
				return true
			}
		}
	}
	return false
}

// isOnly reports whether the batch runs exactly one statement, of one of the kinds.
func (b *batch) isOnly(kinds ...stmt.Kind) bool {
	if b.cost != 1 || b.single.Text() == "" {
		return false
	}
	for _, k := range kinds {
		if b.single.Kind() == k {
			return true
		}
	}
	return false
}

// isLocal reports whether the host can answer every step itself.
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

// encoded is a message in its wire form.
type encoded []byte

// Decode is never called, because encoded messages are only sent.
func (encoded) Decode([]byte) error { return nil }

// Encode appends the wire form to dst.
func (e encoded) Encode(dst []byte) ([]byte, error) { return append(dst, e...), nil }

// Frontend marks the message as one that a client sends.
func (encoded) Frontend() {}

// ending identifies the reply that ends a step.
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

// mayGet reports whether m may be a reply to a step that ends so. Errors and messages that belong to no
// step always may.
func (e ending) mayGet(m pgproto3.BackendMessage) bool {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return e == atParse
	case *pgproto3.BindComplete:
		return e == atBind
	case *pgproto3.CloseComplete:
		return e == atClose
	case *pgproto3.ParameterDescription, *pgproto3.NoData:
		return e == atDescribe
	case *pgproto3.RowDescription:
		return e == atDescribe || e == atQuery
	case *pgproto3.DataRow, *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse:
		return e == atExecute || e == atQuery
	case *pgproto3.PortalSuspended:
		return e == atExecute
	case *pgproto3.ReadyForQuery:
		return e == atSync || e == atQuery
	}
	return true
}

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
