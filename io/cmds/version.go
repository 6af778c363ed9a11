package cmds

import (
	"context"
	"flag"
	"runtime"

	"github.com/google/subcommands"
)

type version struct{ tools *Tools }

// Name is version.
func (*version) Name() string { return "version" }

// Synopsis says in a line what the command does.
func (*version) Synopsis() string { return "show the version of the program" }

// Usage explains the command.
func (*version) Usage() string { return "version: show the version of the program and of Go.\n" }

// SetFlags sets no flags.
func (*version) SetFlags(*flag.FlagSet) {}

// Execute shows the version.
func (v *version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	v.tools.printf("coltsfootloft %s (%s)\n", v.tools.Version, runtime.Version())
	return ExitDone
}
