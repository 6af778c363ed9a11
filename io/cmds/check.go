package cmds

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"coltsfootloft/core/conf"
)

type check struct{ tools *Tools }

// Name returns check.
func (*check) Name() string { return "check" }

// Synopsis returns a one-line description of the command.
func (*check) Synopsis() string { return "check a directory of settings, without the store" }

// Usage returns the help text of the command.
func (*check) Usage() string {
	return `config check DIR: check a whole directory of settings.

The path of each file below DIR, without .jsonc, is the path of the setting.
Every problem is printed with path, line, column, what was found and what is
accepted.
` + exitCodesHelp
}

// SetFlags does nothing: there are no flags.
func (*check) SetFlags(*flag.FlagSet) {}

// Execute checks the directory and returns the exit code.
func (c *check) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := positional(f)
	if err != nil || len(args) != 1 {
		return c.tools.usageError("config check takes one directory")
	}
	entries, problems, err := readSettings(".", args)
	if err != nil {
		return c.tools.fail(err)
	}
	fleet, invalid := conf.Parse(entries)
	problems = append(problems, invalid...)
	if len(problems) > 0 {
		c.tools.printErrf("%v\n", problems)
		return ExitProblems
	}
	c.tools.printf("%d settings are right: %d failure domains, %d groups, %d accounts, %d keys, %d routes\n",
		len(entries), len(fleet.Domains()), len(fleet.Groups()), len(fleet.Accounts()), len(fleet.Keys()), len(fleet.Routes()))
	return ExitDone
}
