package cmds

import (
	"bytes"
	"context"
	"flag"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/google/subcommands"
)

type diff struct {
	storeFlags
	root string
}

// Name returns diff.
func (*diff) Name() string { return "diff" }

// Synopsis returns a one-line description of the command.
func (*diff) Synopsis() string { return "compare files with the settings in the store" }

// Usage returns the help text of the command.
func (*diff) Usage() string {
	return `config diff DIR|FILE...: show what config apply would change.

Lines with + are in the files, lines with - in the store. Settings that are only
in the store are named when a directory is given; apply removes them with -prune.
` + exitCodesHelp
}

// SetFlags declares the flags.
func (d *diff) SetFlags(f *flag.FlagSet) {
	d.set(f)
	f.StringVar(&d.root, "root", ".", "`directory` that the paths of single files are below")
}

// Execute prints the differences and returns the exit code.
func (d *diff) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := positional(f)
	if err != nil || len(args) == 0 {
		return d.tools.usageError("config diff takes a directory or files")
	}
	entries, problems, err := readSettings(d.root, args)
	if err == nil {
		err = problems.Err()
	}
	if err != nil {
		return d.tools.fail(err)
	}
	e := d.editor()
	if e == nil {
		return ExitUsage
	}
	s, err := e.Read(ctx)
	if err != nil {
		return d.tools.fail(err)
	}
	if showDifferences(d.tools.Out, s.Values(), entries) {
		return ExitDiffers
	}
	d.tools.printf("no differences\n")
	return ExitDone
}

// showDifferences prints the differences between the store and the files and reports
// whether there are any.
func showDifferences(w io.Writer, stored, files map[string][]byte) bool {
	all := maps.Clone(stored)
	maps.Copy(all, files)
	differs := false
	for _, p := range slices.Sorted(maps.Keys(all)) {
		before, inStore := stored[p]
		after, inFiles := files[p]
		if inStore && inFiles && bytes.Equal(before, after) {
			continue
		}
		differs = true
		switch {
		case !inFiles:
			printf(w, "only in the store: %s\n", p)
			continue
		case !inStore:
			printf(w, "added: %s\n", p)
		default:
			printf(w, "changed: %s\n", p)
		}
		for _, l := range diffLines(splitLines(before), splitLines(after)) {
			printf(w, "%s\n", "  "+l)
		}
	}
	return differs
}

func splitLines(value []byte) []string {
	if len(value) == 0 {
		return nil
	}
	return strings.Split(strings.TrimSuffix(string(value), "\n"), "\n")
}

// diffLines returns a line diff of a and b by their longest common subsequence.
// Lines only in a start with -, lines only in b with +, common lines with blanks.
func diffLines(a, b []string) []string {
	longest := make([][]int, len(a)+1)
	for i := range longest {
		longest[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				longest[i][j] = longest[i+1][j+1] + 1
			} else {
				longest[i][j] = max(longest[i+1][j], longest[i][j+1])
			}
		}
	}
	var r []string
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			r = append(r, "  "+a[i])
			i++
			j++
		case j == len(b) || i < len(a) && longest[i+1][j] >= longest[i][j+1]:
			r = append(r, "- "+a[i])
			i++
		default:
			r = append(r, "+ "+b[j])
			j++
		}
	}
	return r
}
