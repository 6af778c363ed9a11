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

// CommitPosition is the statement that answers the term and offset of the last
// commit on its connection, as two texts; both are empty if it has made none.
const CommitPosition = "SELECT * FROM platform_commit()"

// codeFenced is the SQLSTATE of an operation below the fence term.
const codeFenced = "55000"

// StatusQuery is the statement that answers one row which [ParseReading] reads.
const StatusQuery = "SELECT * FROM platform_status()"

func statusCall() string { return StatusQuery }

func awaitCall(seen uint64, wait time.Duration) string {
	return fmt.Sprintf("SELECT * FROM platform_await(%d, %d)", seen, wait.Milliseconds())
}

func fenceCall(term coltsfootloft.Term) string {
	return fmt.Sprintf("SELECT * FROM platform_fence(%s)", quote(term.String()))
}

func promoteCall(term coltsfootloft.Term) string {
	return fmt.Sprintf("SELECT * FROM platform_promote(%s)", quote(term.String()))
}

func followCall(term coltsfootloft.Term, primary string) string {
	return fmt.Sprintf("SELECT * FROM platform_follow(%s, %s)", quote(term.String()), quote(primary))
}

func quote(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// isAnswer reports whether the database itself has refused.
func isAnswer(err error) bool {
	var p *pgconn.PgError
	return errors.As(err, &p) && p.Severity != "FATAL"
}

// refusal turns the SQLSTATE of a fenced operation into its typed error.
func refusal(err error) error {
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

// ParseReading reads a row that an operation answers, in text format.
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
	return r.Following(string(row[columnPrimary])).WithVersion(version), nil
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

// ParseCommit reads the answer of [CommitPosition]: the position of the last
// commit, or the zero Position.
func ParseCommit(term, offset []byte) (coltsfootloft.Position, error) {
	if len(term) == 0 && len(offset) == 0 {
		return coltsfootloft.Position{}, nil
	}
	return parsePosition(term, offset)
}
