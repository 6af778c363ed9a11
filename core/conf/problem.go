package conf

import (
	"fmt"
	"strings"
)

// Problem is one thing that is wrong with the settings.
type Problem struct {
	at       place
	found    string
	accepted string
}

// Path is the settings path, or the flag, environment variable or file that a
// process setting came from.
func (p Problem) Path() string { return p.at.path }

// Line counts from 1; it is 0 where the problem has no place in a value.
func (p Problem) Line() int { return p.at.line }

// Column counts characters from 1; it is 0 where Line is.
func (p Problem) Column() int { return p.at.column }

// Found says what is wrong.
func (p Problem) Found() string { return p.found }

// Accepted says what would be right.
func (p Problem) Accepted() string { return p.accepted }

// String returns path:line:column: found; accepted.
func (p Problem) String() string {
	return p.at.String() + ": found " + p.found + "; accepted: " + p.accepted
}

// Problems are all that is wrong with the settings, in the order of paths and
// lines.
type Problems []Problem

// Err returns nil for no problems and otherwise an error that lists them, one a
// line.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return problemsError{list: p}
}

// String returns one line for each problem.
func (p Problems) String() string {
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.String()
	}
	return strings.Join(lines, "\n")
}

type problemsError struct{ list Problems }

func (e problemsError) Error() string { return e.list.String() }

// place is where a value stands in the settings.
type place struct {
	path   string
	line   int
	column int
}

func (p place) String() string {
	if p.line == 0 {
		return p.path
	}
	return fmt.Sprintf("%s:%d:%d", p.path, p.line, p.column)
}

func (p place) problem(found, accepted string) Problem {
	return Problem{
		at:       p,
		found:    found,
		accepted: accepted,
	}
}
