package cmds

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"coltsfootloft/core/conf"
	"coltsfootloft/core/keys"
	"coltsfootloft/io/change"
)

func (t *Tools) key() subcommands.Command {
	return &group{
		tools:    t,
		name:     "key",
		synopsis: "issue, withdraw and list the keys that callers present",
		commands: func() []subcommands.Command {
			return []subcommands.Command{
				&issue{storeFlags: storeFlags{tools: t}},
				&withdraw{storeFlags: storeFlags{tools: t}},
				&list{storeFlags: storeFlags{tools: t}},
			}
		},
	}
}

// keyPath is the settings path of a key.
func keyPath(team, name string) string { return "teams/" + team + "/keys/" + name }

type issue struct {
	storeFlags
	waitFlags
}

// Name is issue.
func (*issue) Name() string { return "issue" }

// Synopsis says in a line what the command does.
func (*issue) Synopsis() string { return "make a key and show its secret once" }

// Usage explains the command.
func (*issue) Usage() string {
	return `key issue TEAM ACCOUNT [NAME]: make a key of a team for one of its accounts.

NAME is ACCOUNT if left out. The secret is printed once; the store holds only a
SCRAM-SHA-256 verifier, from which it can't be had back. Callers give TEAM.NAME
for their user name, the secret for their password, and a route for the database.
A key of that name must not exist: issue another one, let callers change over,
and withdraw the old one.
` + exitUsage
}

// SetFlags sets the flags.
func (i *issue) SetFlags(f *flag.FlagSet) {
	i.storeFlags.set(f)
	i.setAuthor(f)
	i.waitFlags.set(i.storeFlags.tools, f)
}

// Execute issues the key.
func (i *issue) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	t := i.storeFlags.tools
	args, err := positional(f)
	if err != nil || len(args) < 2 || len(args) > 3 {
		return t.misused("key issue takes a team, an account and perhaps a name")
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
	}, &i.waitFlags)
	if code == ExitDone || code == ExitWaiting {
		fmt.Fprintf(t.Out, "user:     %s.%s\npassword: %s\nThe password is not shown again.\n", team, name, secret)
	}
	return code
}

type withdraw struct {
	storeFlags
	waitFlags
}

// Name is withdraw.
func (*withdraw) Name() string { return "withdraw" }

// Synopsis says in a line what the command does.
func (*withdraw) Synopsis() string { return "make a key stop working" }

// Usage explains the command.
func (*withdraw) Usage() string {
	return `key withdraw TEAM NAME: remove a key.

Within seconds every host that the news can reach refuses the key and ends the
sessions of callers that are connected with it. With -wait the command returns
once all live hosts have the change in force.
` + exitUsage
}

// SetFlags sets the flags.
func (w *withdraw) SetFlags(f *flag.FlagSet) {
	w.storeFlags.set(f)
	w.setAuthor(f)
	w.waitFlags.set(w.storeFlags.tools, f)
}

// Execute withdraws the key.
func (w *withdraw) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	t := w.storeFlags.tools
	args, err := positional(f)
	if err != nil || len(args) != 2 {
		return t.misused("key withdraw takes a team and the name of a key")
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
	}, &w.waitFlags)
}

type list struct {
	storeFlags
	json bool
}

// keyView is one line of the list.
type keyView struct {
	// Key is team.name.
	Key string `json:"key"`
	// Account is team/account.
	Account string `json:"account"`
	// Revision is the store's revision of its last change.
	Revision uint64 `json:"revision"`
}

// Name is list.
func (*list) Name() string { return "list" }

// Synopsis says in a line what the command does.
func (*list) Synopsis() string { return "list the keys in force, without secrets" }

// Usage explains the command.
func (*list) Usage() string {
	return "key list [TEAM]: list keys with their accounts, of one team or of all.\n" + exitUsage
}

// SetFlags sets the flags.
func (l *list) SetFlags(f *flag.FlagSet) {
	l.set(f)
	f.BoolVar(&l.json, "json", false, "print JSON")
}

// Execute lists the keys.
func (l *list) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := positional(f)
	if err != nil || len(args) > 1 {
		return l.tools.misused("key list takes at most one team")
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
		fmt.Fprintf(l.tools.Out, "%s  account %s  revision %d\n", v.Key, v.Account, v.Revision)
	}
	return ExitDone
}
