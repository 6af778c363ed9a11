package cmds

import (
	"context"
	"flag"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"coltsfootloft/core/conf"
)

const (
	directoryMode = 0o750
	fileMode      = 0o600
)

type get struct {
	storeFlags
	out string
}

// Name returns get.
func (*get) Name() string { return "get" }

// Synopsis returns a one-line description of the command.
func (*get) Synopsis() string { return "print settings in the store, or write them to a directory" }

// Usage returns the help text of the command.
func (*get) Usage() string {
	return `config get [-out DIR] [PATH]: print the setting at PATH, or the paths below it.

With -out, all settings at and below PATH are written below DIR as files that
config apply takes back. The revision is printed to the error output; give it to
apply with -base, so that a change made in between shows as a conflict.
` + exitCodesHelp
}

// SetFlags declares the flags.
func (g *get) SetFlags(f *flag.FlagSet) {
	g.set(f)
	f.StringVar(&g.out, "out", "", "`directory` to write the settings to")
}

// Execute prints the settings, or writes them to files, and returns the exit code.
func (g *get) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := positional(f)
	if err != nil || len(args) > 1 {
		return g.tools.usageError("config get takes at most one path")
	}
	e := g.editor()
	if e == nil {
		return ExitUsage
	}
	s, err := e.Read(ctx)
	if err != nil {
		return g.tools.fail(err)
	}
	prefix := ""
	if len(args) == 1 {
		prefix = args[0]
	}
	found := maps.Clone(s.Values())
	maps.DeleteFunc(found, func(p string, _ []byte) bool { return !within(p, prefix) })
	if len(found) == 0 && prefix != "" {
		return g.tools.fail(errors.Errorf("no setting at or below %s", prefix))
	}
	if err := g.show(found, prefix); err != nil {
		return g.tools.fail(err)
	}
	g.tools.printErrf("revision %d\n", s.Revision())
	return ExitDone
}

// show writes the settings to -out. Without it, it prints the setting at path, or the
// paths of all settings if there is none at path.
func (g *get) show(found map[string][]byte, path string) error {
	if g.out != "" {
		return writeTree(g.out, found)
	}
	if v, ok := found[path]; ok {
		_, err := g.tools.Out.Write(v)
		return errors.WithStack(err)
	}
	for _, p := range slices.Sorted(maps.Keys(found)) {
		g.tools.printf("%s\n", p)
	}
	return nil
}

// writeTree writes each setting to a file below dir.
func writeTree(dir string, entries map[string][]byte) error {
	root, err := openRoot(dir)
	if err != nil {
		return err
	}
	defer func() { _ = root.Close() }()
	for path, v := range entries {
		name := filepath.FromSlash(path) + conf.FileSuffix
		if err := root.MkdirAll(filepath.Dir(name), directoryMode); err != nil {
			return errors.WithStack(err)
		}
		if err := root.WriteFile(name, v, fileMode); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// openRoot creates a directory and opens it as a root, so that no settings path can
// name a file outside it.
func openRoot(dir string) (*os.Root, error) {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return nil, errors.WithStack(err)
	}
	root, err := os.OpenRoot(dir)
	return root, errors.WithStack(err)
}
