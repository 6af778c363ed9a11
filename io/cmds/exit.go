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
	// ExitDone: done as asked.
	ExitDone = subcommands.ExitSuccess
	// ExitFailed: not done; the store or a host could not be reached or refused.
	// Nothing was written.
	ExitFailed = subcommands.ExitFailure
	// ExitUsage: the command line is wrong. Nothing was done.
	ExitUsage = subcommands.ExitUsageError
	// ExitProblems: the settings are not right. Nothing was written.
	ExitProblems subcommands.ExitStatus = 3
	// ExitConflict: another operator's change came first. Nothing was written.
	ExitConflict subcommands.ExitStatus = 4
	// ExitUnknown: no answer came, and the change may have taken effect.
	ExitUnknown subcommands.ExitStatus = 5
	// ExitWaiting: the change has taken effect, but is not yet in force on every
	// live host.
	ExitWaiting subcommands.ExitStatus = 6
	// ExitDiffers: diff found differences.
	ExitDiffers subcommands.ExitStatus = 7
)

const exitUsage = `
Exit codes: 0 done; 1 failed, nothing written; 2 wrong command line; 3 settings
not right, nothing written; 4 another change came first, nothing written;
5 outcome unknown; 6 written, but not yet in force everywhere; 7 differences.
`

// fail prints an error and returns its exit code.
func (t *Tools) fail(err error) subcommands.ExitStatus {
	t.complainf("%v\n", err)
	var problems *change.ProblemsError
	var conflict *change.ConflictError
	var unknown *change.UnknownError
	switch {
	case errors.As(err, &problems):
		t.complainf("%v\n", "the settings would not be right, nothing written")
		return ExitProblems
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unknown):
		t.complainf("look for it with: coltsfootloft config history -id %s\n", unknown.Change())
		return ExitUnknown
	}
	return ExitFailed
}

// misused prints what is wrong with the command line.
func (t *Tools) misused(format string, values ...any) subcommands.ExitStatus {
	t.complainf(format+"\n", values...)
	return ExitUsage
}

// printf tells something. A reader that has gone away is no failure of the
// command.
func (t *Tools) printf(format string, values ...any) { printf(t.Out, format, values...) }

// complainf tells what went wrong.
func (t *Tools) complainf(format string, values ...any) { printf(t.Err, format, values...) }

func printf(w io.Writer, format string, values ...any) { _, _ = fmt.Fprintf(w, format, values...) }
