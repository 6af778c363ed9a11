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

// Name is diff.
func (*diff) Name() string { return "diff" }

// Synopsis says in a line what the command does.
func (*diff) Synopsis() string { return "compare files with the settings in the store" }

// Usage explains the command.
func (*diff) Usage() string {
	return `config diff DIR|FILE...: show what config apply would change.

Lines with + are in the files, lines with - in the store. Settings that are only
in the store are named when a directory is given; apply removes them with -prune.
` + exitUsage
}

// SetFlags sets the flags.
func (d *diff) SetFlags(f *flag.FlagSet) {
	d.set(f)
	f.StringVar(&d.root, "root", ".", "`directory` that the paths of single files are below")
}

// Execute compares.
func (d *diff) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := positional(f)
	if err != nil || len(args) == 0 {
		return d.tools.misused("config diff takes a directory or files")
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

// showDifferences prints how the files differ from the store and reports whether
// they do.
func showDifferences(w io.Writer, stored, files map[string][]byte) bool {
	all := maps.Clone(stored)
	maps.Copy(all, files)
	differs := false
	for _, p := range slices.Sorted(maps.Keys(all)) {
		before, had := stored[p]
		after, has := files[p]
		if had && has && bytes.Equal(before, after) {
			continue
		}
		differs = true
		switch {
		case !has:
			printf(w, "only in the store: %s\n", p)
			continue
		case !had:
			printf(w, "added: %s\n", p)
		default:
			printf(w, "changed: %s\n", p)
		}
		for _, l := range diffLines(split(before), split(after)) {
			printf(w, "%s\n", "  "+l)
		}
	}
	return differs
}

func split(value []byte) []string {
	if len(value) == 0 {
		return nil
	}
	return strings.Split(strings.TrimSuffix(string(value), "\n"), "\n")
}

// diffLines returns the lines of both, those of a alone with - and those of b
// alone with + in front, around their longest common subsequence.
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
