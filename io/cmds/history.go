package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"time"

	"github.com/google/subcommands"

	"coltsfootloft/io/change"
)

// defaultHistoryLimit is the default number of changes that history prints.
const defaultHistoryLimit = 20

type history struct {
	storeFlags
	id    string
	limit int
	json  bool
}

// Name returns history.
func (*history) Name() string { return "history" }

// Synopsis returns a one-line description of the command.
func (*history) Synopsis() string { return "show who changed which settings and when" }

// Usage returns the help text of the command.
func (*history) Usage() string {
	return `config history [-limit N] [-id CHANGE]: show changes, the newest first.

With -id it shows that one change, or fails with exit code 1 if it has not taken
effect. It reads the store once for each change.
` + exitCodesHelp
}

// SetFlags declares the flags.
func (h *history) SetFlags(f *flag.FlagSet) {
	h.set(f)
	f.StringVar(&h.id, "id", "", "show only this `change`")
	f.IntVar(&h.limit, "limit", defaultHistoryLimit, "greatest `number` of changes")
	f.BoolVar(&h.json, "json", false, "print JSON")
}

// Execute prints the changes and returns the exit code.
func (h *history) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if args, err := positional(f); err != nil || len(args) > 0 {
		return h.tools.usageError("config history takes no arguments")
	}
	e := h.editor()
	if e == nil {
		return ExitUsage
	}
	var list []change.Record
	var err error
	if h.id != "" {
		list = make([]change.Record, 1)
		list[0], err = e.Find(ctx, h.id)
	} else {
		list, err = e.History(ctx, h.limit)
	}
	if err != nil {
		return h.tools.fail(err)
	}
	if h.json {
		return h.tools.printJSON(list)
	}
	for _, r := range list {
		h.print(r)
	}
	return ExitDone
}

func (h *history) print(r change.Record) {
	h.tools.printf("%s  revision %d  %s  %s", r.Change, r.Revision, r.At.Format(time.RFC3339), r.Author)
	if r.Note != "" {
		h.tools.printf("  %q", r.Note)
	}
	h.tools.printf("\n")
	for _, p := range r.Paths {
		h.tools.printf("    %s %s\n", p.Action, p.Path)
	}
}

// printJSON prints a value as indented JSON and returns the exit code.
func (t *Tools) printJSON(v any) subcommands.ExitStatus {
	e := json.NewEncoder(t.Out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return t.fail(err)
	}
	return ExitDone
}
