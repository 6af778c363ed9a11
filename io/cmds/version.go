package cmds

import (
	"context"
	"flag"
	"runtime"

	"github.com/google/subcommands"
)

type version struct{ tools *Tools }

// Name returns version.
func (*version) Name() string { return "version" }

// Synopsis returns a one-line description of the command.
func (*version) Synopsis() string { return "show the version of the program" }

// Usage returns the help text of the command.
func (*version) Usage() string { return "version: show the version of the program and of Go.\n" }

// SetFlags does nothing: there are no flags.
func (*version) SetFlags(*flag.FlagSet) {}

// Execute prints the version and returns the exit code.
func (v *version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	v.tools.printf("coltsfootloft %s (%s)\n", v.tools.Version, runtime.Version())
	return ExitDone
}
