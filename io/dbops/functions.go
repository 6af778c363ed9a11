// Package dbops speaks the platform's operations of a database.
//
// The platform offers them as SQL functions; this file is the only place that
// names them.
package dbops

import (
	"strconv"

	"coltsfootloft"

	"github.com/pkg/errors"
)

// The platform's functions that are asked on callers' connections.
const (
	// StatusQuery answers one row that ParseReading reads.
	StatusQuery = "SELECT * FROM platform_status()"
	// CommitQuery answers the term and offset of the last commit on its
	// connection, or two empty strings.
	CommitQuery = "SELECT * FROM platform_commit()"
)

// columns of a status row, in order.
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

// ParseReading reads a status row in text format.
func ParseReading(row [][]byte) (coltsfootloft.Reading, error) {
	if len(row) != columnCount {
		return coltsfootloft.Reading{}, errors.Errorf("status row has %d columns, want %d", len(row), columnCount)
	}
	fence, err := coltsfootloft.ParseTerm(string(row[columnFence]))
	if err != nil {
		return coltsfootloft.Reading{}, errors.Wrap(err, "status row")
	}
	received, err := ParsePosition(row[columnReceivedTerm], row[columnReceived])
	if err != nil {
		return coltsfootloft.Reading{}, err
	}
	applied, err := ParsePosition(row[columnAppliedTerm], row[columnApplied])
	if err != nil {
		return coltsfootloft.Reading{}, err
	}
	version, err := strconv.ParseUint(string(row[columnVersion]), 10, 64)
	if err != nil {
		return coltsfootloft.Reading{}, errors.Wrap(err, "status row: version")
	}
	role := coltsfootloft.Replica
	if string(row[columnRole]) == coltsfootloft.Primary.String() {
		role = coltsfootloft.Primary
	}
	r := coltsfootloft.NewReading(role, fence, received, applied)
	return r.Following(string(row[columnPrimary])).At(version), nil
}

// ParsePosition reads a term and an offset in text format.
func ParsePosition(term, offset []byte) (coltsfootloft.Position, error) {
	t, err := coltsfootloft.ParseTerm(string(term))
	if err != nil {
		return coltsfootloft.Position{}, errors.Wrap(err, "position")
	}
	n, err := strconv.ParseUint(string(offset), 10, 64)
	if err != nil {
		return coltsfootloft.Position{}, errors.Wrap(err, "position: offset")
	}
	return coltsfootloft.NewPosition(t, n), nil
}
