package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"

	"coltsfootloft"
)

// response converts an error to the ErrorResponse for the caller. Its DETAIL is the
// outcome.
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

// ShutdownResponse returns the last message of a session that the host ends between
// requests.
func ShutdownResponse(message string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            "FATAL",
		SeverityUnlocalized: "FATAL",
		Code:                coltsfootloft.CodeShutdown,
		Message:             message,
		Detail:              coltsfootloft.NotRun.String(),
		Hint:                "connect again; nothing of this session was lost",
	}
}

// isNotRun reports whether err means that nothing has run.
func isNotRun(err error) bool {
	var r *coltsfootloft.RefusalError
	return errors.As(err, &r) && r.Outcome() == coltsfootloft.NotRun
}

// withEarlierAttempts returns the error for a request whose last attempt has not run.
// If an earlier attempt may have run, the outcome is unknown.
func withEarlierAttempts(err error, mayHaveRun bool) error {
	var r *coltsfootloft.RefusalError
	if !mayHaveRun || !errors.As(err, &r) || r.Outcome() != coltsfootloft.NotRun {
		return err
	}
	return coltsfootloft.OutcomeUnknown("the answer to an earlier attempt was lost; then: " + r.Message()).WithHint(r.Hint())
}

func unsupported(feature string) error {
	return coltsfootloft.Refuse(coltsfootloft.CodeUnsupported, feature+" is not carried by this proxy")
}

// callerLostError is a failure of the caller's own connection. It ends the session.
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
