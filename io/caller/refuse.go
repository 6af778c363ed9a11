package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"coltsfootloft"
)

// response turns an error into the message that the caller sees. Its DETAIL
// tells the outcome.
func response(err error) *pgproto3.ErrorResponse {
	var r *coltsfootloft.RefusalError
	if !errors.As(err, &r) {
		r = coltsfootloft.OutcomeUnknown("the connection to the database was lost")
	}
	return &pgproto3.ErrorResponse{
		Severity:            "ERROR",
		SeverityUnlocalized: "ERROR",
		Code:                r.Code(),
		Message:             r.Message(),
		Detail:              r.Outcome().String(),
		Hint:                r.Hint(),
	}
}

// Farewell is the last message of a session that the host ends between requests.
func Farewell(message string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                coltsfootloft.CodeShutdown,
		Message:             message,
		Detail:              coltsfootloft.NotRun.String(),
		Hint:                "connect again; nothing of this session was lost",
	}
}

// isNotRun reports whether err says that nothing has run.
func isNotRun(err error) bool {
	var r *coltsfootloft.RefusalError
	return errors.As(err, &r) && r.Outcome() == coltsfootloft.NotRun
}

// weaken returns what can be said of a request whose last attempt has not run,
// but of which an earlier one may have.
func weaken(err error, mayHaveRun bool) error {
	var r *coltsfootloft.RefusalError
	if !mayHaveRun || !errors.As(err, &r) || r.Outcome() != coltsfootloft.NotRun {
		return err
	}
	return coltsfootloft.OutcomeUnknown("the answer to an earlier attempt was lost; then: " + r.Message()).WithHint(r.Hint())
}

func unsupported(what string) error {
	return coltsfootloft.Refuse(coltsfootloft.CodeUnsupported, what+" is not carried by this proxy")
}

// callerLostError is a failure of the caller's own connection; it ends the session.
type callerLostError struct{ error }

// Unwrap returns the cause.
func (f callerLostError) Unwrap() error { return f.error }

func callerError(err error) error {
	if err == nil {
		return nil
	}
	return callerLostError{error: err}
}

func isCallerError(err error) bool {
	var f callerLostError
	return errors.As(err, &f)
}
