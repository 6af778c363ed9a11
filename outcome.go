package coltsfootloft

import "github.com/pkg/errors"

// ErrFenced is returned by a [Database] for an operation below its fence term.
var ErrFenced = errors.New("fenced by a higher term")

// RefusalError is the error a caller sees for a request that was not answered by a
// database.
type RefusalError struct {
	outcome Outcome
	code    string
	message string
	hint    string
}

// Refuse returns the refusal of a request that is known not to have run.
func Refuse(code, message string) *RefusalError {
	return &RefusalError{
		outcome: NotRun,
		code:    code,
		message: message,
	}
}

// OutcomeUnknown returns the refusal of a request that may or may not have run.
func OutcomeUnknown(message string) *RefusalError {
	return &RefusalError{
		outcome: Unknown,
		code:    CodeUnknown,
		message: message,
	}
}

// WithHint returns a copy of r that says what the caller may do.
func (r *RefusalError) WithHint(hint string) *RefusalError {
	c := *r
	c.hint = hint
	return &c
}

// Outcome is NotRun or Unknown.
func (r *RefusalError) Outcome() Outcome { return r.outcome }

// Code is the SQLSTATE.
func (r *RefusalError) Code() string { return r.code }

// Message says what happened in one line.
func (r *RefusalError) Message() string { return r.message }

// Hint says what the caller may do; it may be empty.
func (r *RefusalError) Hint() string { return r.hint }

// Error returns the message with its SQLSTATE.
func (r *RefusalError) Error() string {
	return r.message + " (" + r.code + ", " + r.outcome.String() + ")"
}

// Outcome is how a request ended.
type Outcome uint8

// The outcomes of a request. They are never merged.
const (
	// Done: the database answered, and a write is held by a majority.
	Done Outcome = iota
	// NotRun: no database has run any part of the request.
	NotRun
	// Unknown: the request may or may not have run.
	Unknown
)

// String returns the words that the DETAIL of a refusal carries.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not run"
	case Unknown:
		return "outcome unknown"
	}
	return "invalid outcome"
}

// SQLSTATEs of the refusals that this project makes.
const (
	// CodeRate: the client account is over its rate and burst.
	CodeRate = "53400"
	// CodeConnections: no upstream connection came free in time.
	CodeConnections = "53300"
	// CodeUnavailable: no database of the group can serve the request.
	CodeUnavailable = "57P03"
	// CodeShutdown: the host is leaving, or the key was withdrawn.
	CodeShutdown = "57P01"
	// CodeUnknown: the outcome of the transaction is unknown.
	CodeUnknown = "08007"
	// CodeUnsupported: the protocol feature is not carried.
	CodeUnsupported = "0A000"
	// CodeKey: the key is wrong or withdrawn.
	CodeKey = "28P01"
	// CodeRoute: the route does not exist or is not granted.
	CodeRoute = "3D000"
	// CodeReadOnly: the route takes no writes.
	CodeReadOnly = "25006"
	// CodeProtocol: the message is malformed or out of order.
	CodeProtocol = "08P01"
)
