package change

import (
	"fmt"
	"strings"

	"coltsfootloft/core/conf"
)

// ProblemsError rejects a change after which the settings would be invalid. Nothing
// was written.
type ProblemsError struct{ problems conf.Problems }

// Problems returns the problems that the change would cause.
func (e *ProblemsError) Problems() conf.Problems { return e.problems }

// Error lists the problems, one per line.
func (e *ProblemsError) Error() string { return e.problems.String() }

// ConflictError rejects a change because another one took effect first. Nothing was
// written.
type ConflictError struct {
	paths  []string
	reason string
}

// Paths returns the paths that both changes touch, or all paths of the change if other
// changes of the head kept it from taking effect.
func (e *ConflictError) Paths() []string { return e.paths }

// Error states the reason and names the paths.
func (e *ConflictError) Error() string {
	return "conflict, nothing written: " + e.reason + ": " + strings.Join(e.paths, ", ")
}

// UnknownError is returned for a change whose answer was lost and whose outcome could
// not be determined in time. The change may have taken effect or may still do so.
type UnknownError struct {
	change string
	cause  error
}

// Change returns the change id to look for in the history.
func (e *UnknownError) Change() string { return e.change }

// Unwrap returns the last error of the store.
func (e *UnknownError) Unwrap() error { return e.cause }

// Error names the change id and the last error of the store.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: change %s may have taken effect or may still do so: %v", e.change, e.cause)
}

// SizeError rejects a change of more than [MaxPaths] paths. Nothing was written.
type SizeError struct{ count int }

// Error names the number of paths and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%d paths change, nothing written: one transaction of the store takes %d; "+
		"apply them in parts, those that others refer to first", e.count, MaxPaths)
}
