package cmds

import (
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"coltsfootloft/core/conf"
)

// config returns the commands for settings.
func (t *Tools) config() subcommands.Command {
	return &commandGroup{
		tools:    t,
		name:     "config",
		synopsis: "check, read, compare and change settings",
		commands: func() []subcommands.Command {
			return []subcommands.Command{
				&check{tools: t},
				&get{storeFlags: storeFlags{tools: t}},
				&diff{storeFlags: storeFlags{tools: t}},
				&apply{storeFlags: storeFlags{tools: t}},
				&history{storeFlags: storeFlags{tools: t}},
			}
		},
	}
}

// readSettings reads settings from directories, each a whole settings tree, and from
// files, whose settings path is their path relative to root. It returns the values by
// settings path.
func readSettings(root string, names []string) (map[string][]byte, conf.Problems, error) {
	entries := make(map[string][]byte)
	var problems conf.Problems
	for _, n := range names {
		info, err := os.Stat(n)
		if err != nil {
			return nil, nil, errors.WithStack(err)
		}
		if info.IsDir() {
			tree, p := conf.ReadTree(os.DirFS(n))
			problems = append(problems, p...)
			maps.Copy(entries, tree)
			continue
		}
		path, err := settingsPath(root, n)
		if err != nil {
			return nil, nil, err
		}
		if entries[path], err = os.ReadFile(n); err != nil {
			return nil, nil, errors.WithStack(err)
		}
	}
	return entries, problems, nil
}

// settingsPath returns the settings path of a file: its path relative to root,
// without the suffix.
func settingsPath(root, file string) (string, error) {
	path, err := filepath.Rel(root, file)
	if err != nil {
		return "", errors.WithStack(err)
	}
	path = filepath.ToSlash(path)
	name, ok := strings.CutSuffix(path, conf.FileSuffix)
	if !ok || !fs.ValidPath(path) {
		return "", errors.Errorf("%s is not a file %s<path of the setting>%s; set -root", file,
			filepath.Clean(root)+string(filepath.Separator), conf.FileSuffix)
	}
	return name, nil
}

// within reports whether a path equals the prefix or lies below it. Every path lies
// below the empty prefix.
func within(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return prefix == "" || path == prefix || strings.HasPrefix(path, prefix+"/")
}
