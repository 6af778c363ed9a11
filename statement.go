package coltsfootloft

import (
	"time"

	"github.com/pkg/errors"
)

// ErrNoMemory is returned by [Caller.Next] for a statement that was skipped, because the host
// had no memory for it.
var ErrNoMemory = errors.New("no memory")

// ErrNotSent is returned by [Session.Flush] and [Caller.Answer] if a message can't be encoded,
// for example because a field holds the end of a line. Nothing of what was buffered was sent.
var ErrNotSent = errors.New("not sent")

// ErrTooLarge is the ErrNotSent of a message that exceeds the size limit.
var ErrTooLarge = errors.Wrap(ErrNotSent, "too large")

// Statement is one decoded statement of a caller. Its text is sent to the database
// unchanged, except for the name of a prepared statement.
type Statement struct {
	id     string
	text   string
	verb   Verb
	name   string
	detail string
}

// NewStatement returns a statement with the caller's id and text. Name and detail
// depend on the verb: the name and value of a session variable, or the name of a
// prepared statement and its template or its arguments.
func NewStatement(id, text string, verb Verb, name, detail string) Statement {
	return Statement{
		id:     id,
		text:   text,
		verb:   verb,
		name:   name,
		detail: detail,
	}
}

// ID is the caller's id of the request; it is sent to the database unchanged.
func (s Statement) ID() string { return s.id }

// Text is the statement as the caller wrote it.
func (s Statement) Text() string { return s.text }

// Verb is the operation of the statement.
func (s Statement) Verb() Verb { return s.verb }

// Name is the name of a session variable or of a prepared statement, or the key of
// the item that is read or written.
func (s Statement) Name() string { return s.name }

// Detail is the value of a session variable, the template or the arguments of a
// prepared statement, or the value that is written.
func (s Statement) Detail() string { return s.detail }

// Startup is the start message of a caller's session.
type Startup struct {
	database string
	key      string
}

// NewStartup returns the start message for a database name, with an API key or
// with the empty string if there is none.
func NewStartup(database, key string) Startup {
	return Startup{
		database: database,
		key:      key,
	}
}

// Database is the database name, which selects the route.
func (s Startup) Database() string { return s.database }

// Key is the caller's API key; it is never sent to another process.
func (s Startup) Key() string { return s.key }

// Reply is the complete answer to one statement, from a database or from the host.
type Reply struct {
	// Rows are the rows of a read, in order.
	Rows []string
	// Digest ends a successful reply: the database's proof of what it executed.
	Digest string
	// Reason is the cause of a failure, ReasonNone on success.
	Reason Reason
	// Text is the message of a failure.
	Text string
	// State is the transaction state of the session after the statement.
	State TxState
	// Position is the newest position that the database had applied when it
	// answered.
	Position Position
	// Taken is the number of bytes of [Memory] that the reply holds. Whoever receives
	// the reply gives them back when it does not use it any more.
	Taken int
}

// Failed reports whether the reply is a failure.
func (r Reply) Failed() bool { return r.Reason != ReasonNone }

// RefusedReply returns a failure that the host itself produces.
func RefusedReply(reason Reason, text string) Reply {
	return Reply{
		Reason: reason,
		Text:   text,
	}
}

// Caller is the caller's side of a session, as decoded by a codec. Methods return
// the errors of the connection, or a *RefusalError for malformed input.
type Caller interface {
	// ReadStartup reads the start message of the session.
	ReadStartup() (Startup, error)
	// Accept accepts the session.
	Accept() error
	// Refuse rejects the session instead of accepting it.
	Refuse(reason Reason, text string) error
	// Next reads the next statement. It returns io.EOF once the caller has ended
	// the session. If the host has no memory for the statement, it is skipped, and Next
	// fails with ErrNoMemory and returns a statement of which only the id is set. The
	// session may go on then.
	Next() (Statement, error)
	// HasNext reports whether a whole message has been read, which Next returns without waiting.
	HasNext() bool
	// Answer writes the complete answer to a statement. It fails with ErrNotSent if the
	// answer can't be encoded; the session must end then.
	Answer(r Reply) error
}

// Session is one connection to a database, as encoded by a codec. Requests are
// buffered, sent together by Flush and answered in order.
type Session interface {
	// Queue buffers a command of the host itself.
	Queue(r Command)
	// Forward buffers a caller's statement. A prepared statement is executed under
	// the name that the host assigned to it; after is the lowest position that the
	// database must have applied, or zero.
	Forward(s Statement, name string, after Position)
	// Flush sends the buffered requests before the deadline. If one of them can't be
	// encoded, none is sent, and Flush fails with ErrNotSent.
	Flush(deadline time.Time) error
	// Receive reads the next complete answer before the deadline.
	Receive(deadline time.Time) (Reply, error)
	// Idle reports whether the connection is still open and has no unread input, as
	// must be the case between requests.
	Idle() bool
	// Close closes the connection; the database rolls back an open transaction.
	Close()
}

// Command is a request of the host itself to a database.
type Command struct {
	// Kind is the operation that is requested.
	Kind CommandKind
	// Name is the name of a session variable or of a prepared statement.
	Name string
	// Detail is the value of the session variable or the template of the prepared
	// statement.
	Detail string
	// Writes is set if the prepared statement writes.
	Writes bool
	// Term is the term of CommandDemote: only a primary of a lower term is demoted.
	Term uint64
}

// Health is the answer of a database to CommandStatus.
type Health struct {
	// Role is the role that the database reports for itself.
	Role Role
	// Received is the newest record in its log.
	Received Position
	// Term is the newest term known to the database.
	Term uint64
	// PausedTerm is the term that it was paused for, or 0.
	PausedTerm uint64
	// Lag is the replication lag that a replica reports.
	Lag time.Duration
}

// Verb is the operation of a statement.
type Verb uint8

// The verbs of statements.
const (
	// VerbUnknown is text that is not a valid statement.
	VerbUnknown Verb = iota
	// VerbBegin opens a transaction.
	VerbBegin
	// VerbBeginRead opens a transaction that only reads.
	VerbBeginRead
	// VerbCommit commits a transaction.
	VerbCommit
	// VerbRollback rolls back a transaction.
	VerbRollback
	// VerbRead reads an item.
	VerbRead
	// VerbWrite writes an item.
	VerbWrite
	// VerbSet changes a session variable.
	VerbSet
	// VerbPrepareRead prepares a read.
	VerbPrepareRead
	// VerbPrepareWrite prepares a write.
	VerbPrepareWrite
	// VerbExecute runs a prepared statement.
	VerbExecute
	// VerbDeallocate removes a prepared statement.
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

// CommandKind is the operation of a [Command].
type CommandKind uint8

// The kinds of command.
const (
	// CommandSet changes a session variable.
	CommandSet CommandKind = iota
	// CommandPrepare prepares a statement.
	CommandPrepare
	// CommandReset drops session variables and prepared statements.
	CommandReset
	// CommandStatus asks for a [Health].
	CommandStatus
	// CommandDemote turns a primary of a lower term into a replica.
	CommandDemote
	// CommandRollback rolls back a transaction.
	CommandRollback
	// CommandMark changes nothing that statements use. Its answer is known in advance, which shows
	// whether answers are in the order of the requests.
	CommandMark
)

// String returns the kind in lower case.
func (k CommandKind) String() string {
	names := [...]string{"set", "prepare", "reset", "status", "demote", "rollback", "mark"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid command"
}

// TxState is the transaction state of a session.
type TxState uint8

// The transaction states.
const (
	// TxIdle: no transaction is open.
	TxIdle TxState = iota
	// TxOpen: a transaction is open.
	TxOpen
	// TxFailed: the transaction failed; only a rollback or commit is accepted.
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

// Reason is the cause of a failed statement.
type Reason uint8

// The reasons of failures. "Not run" means that no part of the statement was
// executed.
const (
	// ReasonNone: the statement did not fail.
	ReasonNone Reason = iota
	// ReasonBusy: not run; there is no free capacity or no primary.
	ReasonBusy
	// ReasonLagging: not run; the database has not applied the requested position.
	ReasonLagging
	// ReasonReadOnly: not run; the database is not a primary.
	ReasonReadOnly
	// ReasonMisrouted: not run; another database than the intended one was reached.
	ReasonMisrouted
	// ReasonConnections: not run; the database has no connection left.
	ReasonConnections
	// ReasonFailed: the database ran the statement and it failed.
	ReasonFailed
	// ReasonNoStatement: not run; no prepared statement has that name.
	ReasonNoStatement
	// ReasonTimeout: no answer in time.
	ReasonTimeout
	// ReasonNoKey: the key is unknown or withdrawn.
	ReasonNoKey
	// ReasonNoRoute: no route has that name.
	ReasonNoRoute
	// ReasonTooLarge: a message exceeds the size limit.
	ReasonTooLarge
	// ReasonMalformed: the message is invalid, or not allowed in this state.
	ReasonMalformed
	// ReasonAborted: the transaction was rolled back.
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
