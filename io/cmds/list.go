package cmds

import (
	"context"
	"flag"
	"strings"

	"github.com/google/subcommands"

	"coltsfootloft/core/conf"
)

type list struct {
	storeFlags
	json bool
}

// keyView is a key as key list prints it.
type keyView struct {
	// Key is team.name.
	Key string `json:"key"`
	// Account is team/account.
	Account string `json:"account"`
	// Revision is the store revision at which the key was last changed.
	Revision uint64 `json:"revision"`
}

// Name returns list.
func (*list) Name() string { return "list" }

// Synopsis returns a one-line description of the command.
func (*list) Synopsis() string { return "list the keys in force, without secrets" }

// Usage returns the help text of the command.
func (*list) Usage() string {
	return "key list [TEAM]: list keys with their accounts, of one team or of all.\n" + exitCodesHelp
}

// SetFlags declares the flags.
func (l *list) SetFlags(f *flag.FlagSet) {
	l.set(f)
	f.BoolVar(&l.json, "json", false, "print JSON")
}

// Execute prints the keys and returns the exit code.
func (l *list) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := positional(f)
	if err != nil || len(args) > 1 {
		return l.tools.usageError("key list takes at most one team")
	}
	e := l.editor()
	if e == nil {
		return ExitUsage
	}
	s, err := e.Read(ctx)
	if err != nil {
		return l.tools.fail(err)
	}
	fleet, _ := conf.Parse(s.Values())
	views := []keyView{}
	for _, k := range fleet.Keys() {
		if len(args) == 1 && k.Team() != args[0] {
			continue
		}
		_, name, _ := strings.Cut(k.Name(), ".")
		views = append(views, keyView{
			Key:      k.Name(),
			Account:  k.Account(),
			Revision: s.Version(keyPath(k.Team(), name)),
		})
	}
	if l.json {
		return l.tools.printJSON(views)
	}
	for _, v := range views {
		l.tools.printf("%s  account %s  revision %d\n", v.Key, v.Account, v.Revision)
	}
	return ExitDone
}
