package conf

import (
	"fmt"
	"strings"
)

// Problem is one error in the settings.
type Problem struct {
	at       place
	found    string
	accepted string
}

// Path is the settings path, or the flag, environment variable or file that a
// process setting came from.
func (p Problem) Path() string { return p.at.path }

// Line counts from 1; it is 0 if the problem has no position in a value.
func (p Problem) Line() int { return p.at.line }

// Column counts characters from 1; it is 0 if Line is 0.
func (p Problem) Column() int { return p.at.column }

// Found describes the value that is wrong.
func (p Problem) Found() string { return p.found }

// Accepted describes the values that would be valid.
func (p Problem) Accepted() string { return p.accepted }

// String returns path:line:column: found; accepted.
func (p Problem) String() string {
	return p.at.String() + ": found " + p.found + "; accepted: " + p.accepted
}

// Problems are all errors in the settings, in the order in which they were found.
type Problems []Problem

// Err returns an error that lists the problems, one a line, or nil if there are none.
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

// place is the position of a value in the settings.
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
