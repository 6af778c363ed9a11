package change

import (
	"fmt"
	"strings"

	"coltsfootloft/core/conf"
)

// ProblemsError refuses a change because the settings would not be right.
// Nothing was written.
type ProblemsError struct{ problems conf.Problems }

// Problems are what is wrong.
func (e *ProblemsError) Problems() conf.Problems { return e.problems }

// Error lists the problems, one a line.
func (e *ProblemsError) Error() string { return e.problems.String() }

// ConflictError refuses a change because another one came first. Nothing was
// written.
type ConflictError struct {
	paths []string
	why   string
}

// Paths are the paths that both changes touch.
func (e *ConflictError) Paths() []string { return e.paths }

// Error names the paths.
func (e *ConflictError) Error() string {
	return "conflict, nothing written: " + e.why + ": " + strings.Join(e.paths, ", ")
}

// UnknownError is the outcome of a change whose answer was lost and that could
// not be read back in time.
type UnknownError struct {
	change string
	cause  error
}

// Change is the change id to look for in the history.
func (e *UnknownError) Change() string { return e.change }

// Unwrap is the last error of the store.
func (e *UnknownError) Unwrap() error { return e.cause }

// Error names the change id.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: change %s may have taken effect or may still do so: %v", e.change, e.cause)
}

// SizeError refuses a change of too many paths. Nothing was written.
type SizeError struct{ count int }

// Error names the bound.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%d paths change, nothing written: one transaction of the store takes %d; "+
		"apply them in parts, those that others refer to first", e.count, MaxPaths)
}
