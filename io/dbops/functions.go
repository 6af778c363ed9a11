package dbops

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"coltsfootloft"
)

// CommitQuery is the statement that returns the term and offset of the last
// commit on its connection, as two texts. Both are empty if the connection has
// made no commit.
const CommitQuery = "SELECT * FROM platform_commit()"

// codeFenced is the SQLSTATE of an operation with a term below the fence term.
const codeFenced = "55000"

// StatusQuery is the statement that returns one row for [ParseReading].
const StatusQuery = "SELECT * FROM platform_status()"

func statusCall() string { return StatusQuery }

func awaitCall(version uint64, wait time.Duration) string {
	return fmt.Sprintf("SELECT * FROM platform_await(%d, %d)", version, wait.Milliseconds())
}

func fenceCall(term coltsfootloft.Term) string {
	return fmt.Sprintf("SELECT * FROM platform_fence(%s)", quoteLiteral(term.String()))
}

func promoteCall(term coltsfootloft.Term) string {
	return fmt.Sprintf("SELECT * FROM platform_promote(%s)", quoteLiteral(term.String()))
}

func followCall(term coltsfootloft.Term, primary string) string {
	return fmt.Sprintf("SELECT * FROM platform_follow(%s, %s)", quoteLiteral(term.String()), quoteLiteral(primary))
}

func quoteLiteral(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// isDatabaseError reports whether err was returned by the database and the
// connection is still usable.
func isDatabaseError(err error) bool {
	var p *pgconn.PgError
	return errors.As(err, &p) && p.Severity != "FATAL"
}

// asFenced converts the SQLSTATE of a fenced operation to
// [coltsfootloft.ErrFenced]. It returns other errors as they are.
func asFenced(err error) error {
	var p *pgconn.PgError
	if errors.As(err, &p) && p.Code == codeFenced {
		return errors.Wrap(coltsfootloft.ErrFenced, p.Message)
	}
	return err
}

// Columns of a reading.
const (
	columnRole = iota
	columnFence
	columnReceivedTerm
	columnReceived
	columnAppliedTerm
	columnApplied
	columnPrimary
	columnVersion
	columnCount
)

func parseReading(results []*pgconn.Result) (coltsfootloft.Reading, error) {
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return coltsfootloft.Reading{}, errors.New("reading: not one row")
	}
	return ParseReading(results[0].Rows[0])
}

// ParseReading parses the row that an operation returns, in text format.
func ParseReading(row [][]byte) (coltsfootloft.Reading, error) {
	var none coltsfootloft.Reading
	if len(row) != columnCount {
		return none, errors.Errorf("reading: %d columns, want %d", len(row), columnCount)
	}
	role, err := parseRole(string(row[columnRole]))
	if err != nil {
		return none, err
	}
	fence, err := coltsfootloft.ParseTerm(string(row[columnFence]))
	if err != nil {
		return none, errors.Wrap(err, "reading: fence")
	}
	received, err := parsePosition(row[columnReceivedTerm], row[columnReceived])
	if err != nil {
		return none, errors.Wrap(err, "reading: received")
	}
	applied, err := parsePosition(row[columnAppliedTerm], row[columnApplied])
	if err != nil {
		return none, errors.Wrap(err, "reading: applied")
	}
	version, err := strconv.ParseUint(string(row[columnVersion]), 10, 64)
	if err != nil {
		return none, errors.Wrap(err, "reading: version")
	}
	r := coltsfootloft.NewReading(role, fence, received, applied)
	return r.WithPrimary(string(row[columnPrimary])).WithVersion(version), nil
}

func parseRole(s string) (coltsfootloft.Role, error) {
	for _, r := range []coltsfootloft.Role{coltsfootloft.Replica, coltsfootloft.Primary} {
		if r.String() == s {
			return r, nil
		}
	}
	return 0, errors.Errorf("reading: role %q", s)
}

func parsePosition(term, offset []byte) (coltsfootloft.Position, error) {
	t, err := coltsfootloft.ParseTerm(string(term))
	if err != nil {
		return coltsfootloft.Position{}, err
	}
	n, err := strconv.ParseUint(string(offset), 10, 64)
	if err != nil {
		return coltsfootloft.Position{}, errors.Wrap(err, "offset")
	}
	return coltsfootloft.NewPosition(t, n), nil
}

// ParseCommitPosition parses the row that [CommitQuery] returns, in text format: the
// position of the last commit, or the zero Position if there was none.
func ParseCommitPosition(term, offset []byte) (coltsfootloft.Position, error) {
	if len(term) == 0 && len(offset) == 0 {
		return coltsfootloft.Position{}, nil
	}
	return parsePosition(term, offset)
}
