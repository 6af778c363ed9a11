package cmds

import (
	"fmt"
	"io"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"coltsfootloft/io/change"
)

// The exit codes of all commands.
const (
	// ExitDone means that the command succeeded.
	ExitDone = subcommands.ExitSuccess
	// ExitFailed means that the command failed, for example because the store or a
	// host could not be reached or refused the request. Nothing was written.
	ExitFailed = subcommands.ExitFailure
	// ExitUsage means that the command line is invalid. Nothing was done.
	ExitUsage = subcommands.ExitUsageError
	// ExitProblems means that the settings are invalid. Nothing was written.
	ExitProblems subcommands.ExitStatus = 3
	// ExitConflict means that another operator's change was written first. Nothing
	// was written.
	ExitConflict subcommands.ExitStatus = 4
	// ExitUnknown means that the store's answer was lost. The change may have taken
	// effect.
	ExitUnknown subcommands.ExitStatus = 5
	// ExitWaiting means that the change was written, but is not yet in force on every
	// live host.
	ExitWaiting subcommands.ExitStatus = 6
	// ExitDiffers means that config diff found differences.
	ExitDiffers subcommands.ExitStatus = 7
)

const exitCodesHelp = `
Exit codes: 0 done; 1 failed, nothing written; 2 wrong command line; 3 settings
not right, nothing written; 4 another change came first, nothing written;
5 outcome unknown; 6 written, but not yet in force everywhere; 7 differences.
`

// fail prints an error and returns the exit code for it.
func (t *Tools) fail(err error) subcommands.ExitStatus {
	t.printErrf("%v\n", err)
	var problems *change.ProblemsError
	var conflict *change.ConflictError
	var unknown *change.UnknownError
	switch {
	case errors.As(err, &problems):
		t.printErrf("%v\n", "the settings would not be right, nothing written")
		return ExitProblems
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unknown):
		t.printErrf("look for it with: coltsfootloft config history -id %s\n", unknown.Change())
		return ExitUnknown
	}
	return ExitFailed
}

// usageError prints what is wrong with the command line and returns ExitUsage.
func (t *Tools) usageError(format string, values ...any) subcommands.ExitStatus {
	t.printErrf(format+"\n", values...)
	return ExitUsage
}

// printf prints to Out. Write errors are ignored: a command does not fail because the
// reader of its output has closed it.
func (t *Tools) printf(format string, values ...any) { printf(t.Out, format, values...) }

// printErrf prints to Err: errors, and remarks that are no part of the result.
func (t *Tools) printErrf(format string, values ...any) { printf(t.Err, format, values...) }

func printf(w io.Writer, format string, values ...any) { _, _ = fmt.Fprintf(w, format, values...) }
