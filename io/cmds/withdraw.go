package cmds

import (
	"context"
	"flag"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"coltsfootloft/io/change"
)

type withdraw struct {
	storeFlags
	waiting waitFlags
}

// Name returns withdraw.
func (*withdraw) Name() string { return "withdraw" }

// Synopsis returns a one-line description of the command.
func (*withdraw) Synopsis() string { return "make a key stop working" }

// Usage returns the help text of the command.
func (*withdraw) Usage() string {
	return `key withdraw TEAM NAME: remove a key.

Within seconds every host that the news can reach refuses the key and ends the
sessions of callers that are connected with it. With -wait the command returns
once all live hosts have the change in force.
` + exitCodesHelp
}

// SetFlags declares the flags.
func (w *withdraw) SetFlags(f *flag.FlagSet) {
	w.set(f)
	w.setAuthor(f)
	w.waiting.set(w.tools, f)
}

// Execute removes the key and returns the exit code.
func (w *withdraw) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	t := w.tools
	args, err := positional(f)
	if err != nil || len(args) != 2 {
		return t.usageError("key withdraw takes a team and the name of a key")
	}
	e := w.editor()
	if e == nil {
		return ExitUsage
	}
	s, err := e.Read(ctx)
	if err != nil {
		return t.fail(err)
	}
	path := keyPath(args[0], args[1])
	if s.Version(path) == 0 {
		return t.fail(errors.Errorf("no key %s.%s, nothing written", args[0], args[1]))
	}
	return t.apply(ctx, e, change.Edit{
		Remove: []string{path},
		Note:   "key withdrawn",
	}, &w.waiting)
}
