package dbase

import (
	"fmt"
	"io"
	"net"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	lite "modernc.org/sqlite/lib"
)

// SQLSTATE codes that the stand-in returns.
const (
	codeProtocol           = "08P01"
	codeNotSupported       = "0A000"
	codeInvalidText        = "22P02"
	codeNotNull            = "23502"
	codeForeignKey         = "23503"
	codeUnique             = "23505"
	codeCheck              = "23514"
	codeActiveTransaction  = "25001"
	codeReadOnly           = "25006"
	codeNoTransaction      = "25P01"
	codeFailedTransaction  = "25P02"
	codeIdleTimeout        = "25P03"
	codeNoStatement        = "26000"
	codeInvalidPassword    = "28P01"
	codeNoPortal           = "34000"
	codeNoSavepoint        = "3B001"
	codeSerialization      = "40001"
	codePrivilege          = "42501"
	codeSyntax             = "42601"
	codeUndefinedColumn    = "42703"
	codeUndefinedFunction  = "42883"
	codeUndefinedTable     = "42P01"
	codeUndefinedParameter = "42P02"
	codeDuplicateStatement = "42P05"
	codeDuplicateTable     = "42P07"
	codeTooManyConnections = "53300"
	codeFenced             = "55000"
	codeLockNotAvailable   = "55P03"
	codeCancelled          = "57014"
	codeShutdown           = "57P01"
	codeCannotConnect      = "57P03"
	codeInternal           = "XX000"
)

// sqlError is an error with its SQLSTATE.
type sqlError struct {
	code    string
	message string
}

func (e *sqlError) Error() string { return e.message + " (" + e.code + ")" }

func sqlErrorf(code, format string, args ...any) error {
	return &sqlError{
		code:    code,
		message: fmt.Sprintf(format, args...),
	}
}

// classify converts any error into one with an SQLSTATE.
func classify(err error) *sqlError {
	if e := (*sqlError)(nil); errors.As(err, &e) {
		return e
	}
	if e := (*engineError)(nil); errors.As(err, &e) {
		return &sqlError{
			code:    engineCode(e),
			message: e.message,
		}
	}
	return &sqlError{
		code:    codeInternal,
		message: err.Error(),
	}
}

// isProtocolError reports whether a read failed because of an invalid message and
// not because the connection ended.
func isProtocolError(err error) bool {
	var n net.Error
	return !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, net.ErrClosed) && !errors.As(err, &n)
}

// messageCodes maps prefixes of the engine's messages to SQLSTATEs.
var messageCodes = []struct {
	prefix string
	code   string
}{
	{prefix: "no such table", code: codeUndefinedTable},
	{prefix: "no such column", code: codeUndefinedColumn},
	{prefix: "no such function", code: codeUndefinedFunction},
	{prefix: "no such savepoint", code: codeNoSavepoint},
}

func engineCode(e *engineError) string {
	switch e.code {
	case lite.SQLITE_CONSTRAINT_UNIQUE, lite.SQLITE_CONSTRAINT_PRIMARYKEY, lite.SQLITE_CONSTRAINT_ROWID:
		return codeUnique
	case lite.SQLITE_CONSTRAINT_NOTNULL:
		return codeNotNull
	case lite.SQLITE_CONSTRAINT_CHECK:
		return codeCheck
	case lite.SQLITE_CONSTRAINT_FOREIGNKEY:
		return codeForeignKey
	case lite.SQLITE_INTERRUPT:
		return codeCancelled
	case lite.SQLITE_BUSY_SNAPSHOT:
		return codeSerialization
	case lite.SQLITE_BUSY, lite.SQLITE_LOCKED:
		return codeLockNotAvailable
	case lite.SQLITE_ERROR:
		return messageCode(e.message)
	}
	return codeInternal
}

func messageCode(message string) string {
	for _, p := range messageCodes {
		if strings.HasPrefix(message, p.prefix) {
			return p.code
		}
	}
	if strings.Contains(message, "already exists") {
		return codeDuplicateTable
	}
	return codeSyntax
}

func (e *sqlError) response(severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.code,
		Message:             e.message,
	}
}
