package coltsfootloft

import "time"

// Statement is one statement of a caller, decoded by a front's codec. Its text
// goes to the database unchanged, but for the name of a prepared statement.
type Statement struct {
	id     string
	text   string
	verb   Verb
	name   string
	detail string
}

// NewStatement returns a statement with the caller's id and text. Name and detail
// depend on the verb: a session value's name and value, a prepared statement's
// name and its shape or its arguments.
func NewStatement(id, text string, verb Verb, name, detail string) Statement {
	return Statement{
		id:     id,
		text:   text,
		verb:   verb,
		name:   name,
		detail: detail,
	}
}

// ID is the caller's id of the request; it goes to the database unchanged.
func (s Statement) ID() string { return s.id }

// Text is the statement as the caller wrote it.
func (s Statement) Text() string { return s.text }

// Verb is what the statement does.
func (s Statement) Verb() Verb { return s.verb }

// Name is the name of a session value or of a prepared statement.
func (s Statement) Name() string { return s.name }

// Detail is a session value, a shape, or the arguments of a prepared statement.
func (s Statement) Detail() string { return s.detail }

// Greeting opens a caller's session.
type Greeting struct {
	database string
	key      string
}

// NewGreeting returns the start of a session at a database, with a key or none.
func NewGreeting(database, key string) Greeting {
	return Greeting{
		database: database,
		key:      key,
	}
}

// Database is the name that routes are found by.
func (g Greeting) Database() string { return g.database }

// Key is the caller's key; it never leaves the host.
func (g Greeting) Key() string { return g.key }

// Reply is the whole answer to one statement, from a database or from the host.
type Reply struct {
	// Rows are the rows of a read, in order.
	Rows []string
	// Digest closes a success; the database's own proof of what it ran.
	Digest string
	// Reason is set on a failure.
	Reason Reason
	// Text explains a failure.
	Text string
	// State is the session's state after the statement.
	State TxState
	// Position is what the database had applied when it answered.
	Position Position
}

// Failed reports whether the reply is a failure.
func (r Reply) Failed() bool { return r.Reason != ReasonNone }

// RefusedReply returns a failure that the host itself makes.
func RefusedReply(reason Reason, text string) Reply {
	return Reply{
		Reason: reason,
		Text:   text,
	}
}

// Caller is the caller's side of a session, behind a codec. Errors are those of
// the connection, or a *RefusalError for input that can't be read.
type Caller interface {
	// Greet reads the start of the session.
	Greet() (Greeting, error)
	// Welcome accepts the session.
	Welcome() error
	// Refuse ends a session that was not accepted.
	Refuse(reason Reason, text string) error
	// Next reads the next statement. It returns io.EOF at the caller's farewell.
	Next() (Statement, error)
	// Answer writes the whole answer to a statement.
	Answer(r Reply) error
}

// Session is one connection to a database, behind a codec. Requests are written
// together by Flush and answered in their order.
type Session interface {
	// Queue adds a request of the host itself.
	Queue(r Command)
	// Forward adds a caller's statement. A prepared statement runs under the
	// name that the host gave it; after is the least position that the
	// database must have applied, or zero.
	Forward(s Statement, name string, after Position)
	// Flush writes what was added, before the deadline.
	Flush(deadline time.Time) error
	// Receive reads the next whole answer, before the deadline.
	Receive(deadline time.Time) (Reply, error)
	// Idle reports whether the connection is still open and silent, as one
	// between requests must be.
	Idle() bool
	// Close ends the connection; an open transaction is rolled back.
	Close()
}

// Command is a request of the host itself to a database.
type Command struct {
	// Kind is what is asked.
	Kind CommandKind
	// Name is a session value's or a prepared statement's.
	Name string
	// Detail is the value or the shape.
	Detail string
	// Writes tells a prepared write from a read.
	Writes bool
	// Term goes with CommandDemote.
	Term uint64
}

// Health is what a database answers to CommandStatus.
type Health struct {
	// Role is how the database sees itself.
	Role Role
	// Received is the newest record in its log.
	Received Position
	// Term is the newest term that it knows of.
	Term uint64
	// Held is the term that it was paused for, or 0.
	Held uint64
	// Lag is how far behind the primary a replica says it applies.
	Lag time.Duration
}

// Verb is what a statement does.
type Verb uint8

// The verbs of statements.
const (
	// VerbUnknown is text that is no statement.
	VerbUnknown Verb = iota
	// VerbBegin opens a transaction.
	VerbBegin
	// VerbBeginRead opens a transaction that only reads.
	VerbBeginRead
	// VerbCommit ends a transaction and keeps its writes.
	VerbCommit
	// VerbRollback ends a transaction and drops its writes.
	VerbRollback
	// VerbRead reads an item.
	VerbRead
	// VerbWrite writes an item.
	VerbWrite
	// VerbSet changes a session value.
	VerbSet
	// VerbPrepareRead prepares a read.
	VerbPrepareRead
	// VerbPrepareWrite prepares a write.
	VerbPrepareWrite
	// VerbExecute runs a prepared statement.
	VerbExecute
	// VerbDeallocate forgets a prepared statement.
	VerbDeallocate
)

// String returns the verb in lower case.
func (v Verb) String() string {
	names := [...]string{"unknown", "begin", "begin read", "commit", "rollback", "read", "write", "set", "prepare read", "prepare write", "execute", "deallocate"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid verb"
}

// CommandKind is what the host itself asks of a database.
type CommandKind uint8

// The kinds of command.
const (
	// CommandSet changes a session value.
	CommandSet CommandKind = iota
	// CommandPrepare prepares a statement.
	CommandPrepare
	// CommandReset drops session values and prepared statements.
	CommandReset
	// CommandStatus asks for a [Health].
	CommandStatus
	// CommandDemote makes a primary of a lower term a replica.
	CommandDemote
	// CommandRollback ends a transaction.
	CommandRollback
)

// String returns the kind in lower case.
func (k CommandKind) String() string {
	names := [...]string{"set", "prepare", "reset", "status", "demote", "rollback"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid command"
}

// TxState is a session's transaction state.
type TxState uint8

// The transaction states.
const (
	// TxIdle: no transaction is open.
	TxIdle TxState = iota
	// TxOpen: a transaction is open.
	TxOpen
	// TxFailed: the transaction failed; only its end is accepted.
	TxFailed
)

// String returns the state in lower case.
func (s TxState) String() string {
	names := [...]string{"idle", "in transaction", "failed"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid state"
}

// Reason is why a statement failed.
type Reason uint8

// The reasons of failures.
const (
	// ReasonNone: it did not fail.
	ReasonNone Reason = iota
	// ReasonBusy: not run, for want of capacity or of a primary.
	ReasonBusy
	// ReasonLagging: not run; the database has not applied the position asked for.
	ReasonLagging
	// ReasonReadOnly: not run; the database is no primary.
	ReasonReadOnly
	// ReasonMisrouted: not run; the database is another one.
	ReasonMisrouted
	// ReasonConnections: not run; the database has no connection left.
	ReasonConnections
	// ReasonFailed: the database ran it and failed.
	ReasonFailed
	// ReasonNoStatement: not run; no prepared statement of that name.
	ReasonNoStatement
	// ReasonTimeout: no answer in time.
	ReasonTimeout
	// ReasonNoKey: the key is unknown or withdrawn.
	ReasonNoKey
	// ReasonNoRoute: no route has that name.
	ReasonNoRoute
	// ReasonTooLarge: a message over the limit.
	ReasonTooLarge
	// ReasonMalformed: the message can't be read, or not in this state.
	ReasonMalformed
	// ReasonAborted: the transaction was dropped; nothing is kept.
	ReasonAborted
	// ReasonInDoubt: the outcome is unknown.
	ReasonInDoubt
)

// String returns the reason in lower case.
func (r Reason) String() string {
	names := [...]string{"none", "busy", "lagging", "read-only", "misrouted", "no connection", "failed", "no such statement", "timeout", "no key", "no route", "too large", "malformed", "aborted", "in doubt"}
	if int(r) < len(names) {
		return names[r]
	}
	return "invalid reason"
}
