package caller

import (
	"coltsfootloft"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// response turns an error into the message that the caller sees. Its DETAIL
// tells the outcome.
func response(err error) *pgproto3.ErrorResponse {
	var r *coltsfootloft.RefusalError
	if !errors.As(err, &r) {
		r = coltsfootloft.Unsure("the connection to the database was lost")
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
