package coltsfootloft

import (
	"strconv"

	"github.com/pkg/errors"
)

// ErrFenced is returned by a [Database] for an operation whose term is lower than
// its fence term.
var ErrFenced = errors.New("fenced by a higher term")

// RefusalError is the error that a caller receives for a request that no database
// answered.
type RefusalError struct {
	outcome Outcome
	code    string
	message string
	hint    string
}

// Refuse returns the error of a request that is known not to have run. The code is
// a SQLSTATE.
func Refuse(code, message string) *RefusalError {
	return &RefusalError{
		outcome: NotRun,
		code:    code,
		message: message,
	}
}

// NoMemory returns the refusal of n bytes for which the host has no memory.
func NoMemory(n int) *RefusalError {
	return Refuse(CodeMemory, "no memory for "+strconv.Itoa(n)+" bytes").WithHint("try again later, or with less")
}

// OutcomeUnknown returns the error of a request whose outcome is unknown: it may or may not
// have run. Its SQLSTATE is CodeUnknown.
func OutcomeUnknown(message string) *RefusalError {
	return &RefusalError{
		outcome: Unknown,
		code:    CodeUnknown,
		message: message,
	}
}

// WithHint returns a copy of r with a hint about what the caller may do.
func (r *RefusalError) WithHint(hint string) *RefusalError {
	c := *r
	c.hint = hint
	return &c
}

// Outcome is NotRun or Unknown.
func (r *RefusalError) Outcome() Outcome { return r.outcome }

// Code is the SQLSTATE.
func (r *RefusalError) Code() string { return r.code }

// Message is a one-line description of the failure.
func (r *RefusalError) Message() string { return r.message }

// Hint is advice on what the caller may do; it may be empty.
func (r *RefusalError) Hint() string { return r.hint }

// Error returns the message, the SQLSTATE and the outcome.
func (r *RefusalError) Error() string {
	return r.message + " (" + r.code + ", " + r.outcome.String() + ")"
}

// Outcome is how a request ended.
type Outcome uint8

// The outcomes of a request. They are kept distinct all the way to the caller.
const (
	// Done: the database answered, and a write is held by a majority.
	Done Outcome = iota
	// NotRun: no database has run any part of the request.
	NotRun
	// Unknown: the request may or may not have run.
	Unknown
)

// String returns the text of the DETAIL field of a refusal.
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

// SQLSTATEs of the refusals that the proxy itself makes.
const (
	// CodeRate: the client account exceeds its rate and burst.
	CodeRate = "53400"
	// CodeConnections: no upstream connection became free in time.
	CodeConnections = "53300"
	// CodeUnavailable: no database of the group can serve the request.
	CodeUnavailable = "57P03"
	// CodeShutdown: the host is leaving, or the key was withdrawn.
	CodeShutdown = "57P01"
	// CodeUnknown: the outcome of the transaction is unknown.
	CodeUnknown = "08007"
	// CodeUnsupported: the proxy does not support the protocol feature.
	CodeUnsupported = "0A000"
	// CodeKey: the key is wrong or withdrawn.
	CodeKey = "28P01"
	// CodeRoute: the route does not exist or is not granted to the key.
	CodeRoute = "3D000"
	// CodeReadOnly: the route accepts no writes.
	CodeReadOnly = "25006"
	// CodeMemory: the host has no memory for what the caller sent.
	CodeMemory = "53200"
	// CodeProtocol: the message is malformed or out of order.
	CodeProtocol = "08P01"
)
