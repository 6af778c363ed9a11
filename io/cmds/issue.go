package cmds

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"coltsfootloft/core/keys"
	"coltsfootloft/io/change"
)

type issue struct {
	storeFlags
	waiting waitFlags
}

// Name returns issue.
func (*issue) Name() string { return "issue" }

// Synopsis returns a one-line description of the command.
func (*issue) Synopsis() string { return "make a key and show its secret once" }

// Usage returns the help text of the command.
func (*issue) Usage() string {
	return `key issue TEAM ACCOUNT [NAME]: make a key of a team for one of its accounts.

NAME is ACCOUNT if left out. The secret is printed once; the store holds only a
SCRAM-SHA-256 verifier, from which it can't be had back. Callers give TEAM.NAME
for their user name, the secret for their password, and a route for the database.
A key of that name must not exist: issue another one, let callers change over,
and withdraw the old one.
` + exitCodesHelp
}

// SetFlags declares the flags.
func (i *issue) SetFlags(f *flag.FlagSet) {
	i.set(f)
	i.setAuthor(f)
	i.waiting.set(i.tools, f)
}

// Execute issues the key, prints its secret and returns the exit code.
func (i *issue) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	t := i.tools
	args, err := positional(f)
	if err != nil || len(args) < 2 || len(args) > 3 {
		return t.usageError("key issue takes a team, an account and perhaps a name")
	}
	team, account, name := args[0], args[1], args[len(args)-1]
	e := i.editor()
	if e == nil {
		return ExitUsage
	}
	s, err := e.Read(ctx)
	if err != nil {
		return t.fail(err)
	}
	if s.Version(keyPath(team, name)) != 0 {
		return t.fail(errors.Errorf("key %s.%s exists, nothing written", team, name))
	}
	secret, verifier, err := keys.Issue()
	if err != nil {
		return t.fail(err)
	}
	value := fmt.Sprintf("{\n  \"account\": %q,\n  \"verifier\": %q,\n}\n", account, verifier)
	code := t.apply(ctx, e, change.Edit{
		Put:  map[string][]byte{keyPath(team, name): []byte(value)},
		Base: s.Revision(),
		Note: "key issued",
	}, &i.waiting)
	if code == ExitDone || code == ExitWaiting {
		t.printf("user:     %s.%s\npassword: %s\nThe password is not shown again.\n", team, name, secret)
	}
	return code
}
