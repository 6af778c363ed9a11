package cmds

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"coltsfootloft/io/change"
)

type apply struct {
	storeFlags
	waiting waitFlags
	root    string
	only    string
	note    string
	base    uint64
	prune   bool
}

// Name returns apply.
func (*apply) Name() string { return "apply" }

// Synopsis returns a one-line description of the command.
func (*apply) Synopsis() string { return "change settings in one transaction" }

// Usage returns the help text of the command.
func (*apply) Usage() string {
	return fmt.Sprintf(`config apply DIR|FILE...: bring files into the store.

All settings are checked first, as they would be with the change; with a problem
nothing is written. The change is one transaction with a record of who changed
what. If another operator has changed one of the paths since -base (or, without
it, while apply runs), it is a conflict and nothing is written. If the answer of
the store is lost, apply finds out whether the change took effect.

One transaction takes %d paths. Split a larger change so that each part is right
by itself: fleet/domains, fleet/groups, fleet/teams, then accounts, keys and
routes; removals in the opposite order.
`, change.MaxPaths) + exitCodesHelp
}

// SetFlags declares the flags.
func (a *apply) SetFlags(f *flag.FlagSet) {
	a.set(f)
	a.setAuthor(f)
	a.waiting.set(a.tools, f)
	f.StringVar(&a.root, "root", ".", "`directory` that the paths of single files are below")
	f.StringVar(&a.only, "only", "", "refuse to change anything but this `path` and what is below it, such as teams/vans")
	f.StringVar(&a.note, "note", "", "`words` to record with the change")
	f.Uint64Var(&a.base, "base", 0, "`revision` that the files were made from, as config get printed it")
	f.BoolVar(&a.prune, "prune", false, "remove settings that are not among the files (within -only)")
}

// Execute applies the change and returns the exit code.
func (a *apply) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := positional(f)
	if err != nil || len(args) == 0 {
		return a.tools.usageError("config apply takes a directory or files")
	}
	e := a.editor()
	if e == nil {
		return ExitUsage
	}
	edit, err := a.edit(ctx, e, args)
	if err != nil {
		return a.tools.fail(err)
	}
	return a.tools.apply(ctx, e, edit, &a.waiting)
}

// edit returns the change that the files and flags ask for. It returns an error if
// the files have problems or a path lies outside -only.
func (a *apply) edit(ctx context.Context, e *change.Editor, args []string) (change.Edit, error) {
	entries, problems, err := readSettings(a.root, args)
	if err != nil {
		return change.Edit{}, err
	}
	if err := problems.Err(); err != nil {
		return change.Edit{}, err
	}
	for _, p := range slices.Sorted(maps.Keys(entries)) {
		if !within(p, a.only) {
			return change.Edit{}, errors.Errorf("%s is not within %s, nothing written", p, a.only)
		}
	}
	d := change.Edit{
		Put:  entries,
		Base: a.base,
		Note: a.note,
	}
	if !a.prune {
		return d, nil
	}
	s, err := e.Read(ctx)
	if err != nil {
		return change.Edit{}, err
	}
	for p := range s.Values() {
		if _, present := entries[p]; !present && within(p, a.only) {
			d.Remove = append(d.Remove, p)
		}
	}
	return d, nil
}

// apply applies the edit, prints what has changed and, with -wait, waits until the
// change is in force. It returns the exit code.
func (t *Tools) apply(ctx context.Context, e *change.Editor, d change.Edit, w *waitFlags) subcommands.ExitStatus {
	r, err := e.Apply(ctx, d)
	if err != nil {
		return t.fail(err)
	}
	if r.Changed() {
		for _, p := range r.Record().Paths {
			t.printf("%s: %s\n", p.Action, p.Path)
		}
		t.printf("change %s, revision %d\n", r.Record().Change, r.Revision())
	} else {
		t.printf("nothing to change, revision %d\n", r.Revision())
	}
	return t.waitInForce(ctx, r.Revision(), w)
}
