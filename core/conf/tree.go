package conf

import (
	"io/fs"
	"strings"
)

// FileSuffix ends the names of files that contain a setting.
const FileSuffix = ".jsonc"

const acceptedTree = "files named <path of the setting>" + FileSuffix

// ReadTree reads settings from a directory in which the path of each file, without
// [FileSuffix], is the path of the setting. Files and directories whose name begins
// with a dot are ignored; any other file is reported as a problem. A file that can't
// be read is a problem too, and ends the reading.
func ReadTree(root fs.FS) (map[string][]byte, Problems) {
	entries := make(map[string][]byte)
	var problems Problems
	err := fs.WalkDir(root, ".", func(path string, d fs.DirEntry, err error) error {
		hidden := strings.HasPrefix(path, ".") && path != "." || strings.Contains(path, "/.")
		switch {
		case err != nil:
			return err
		case hidden && d.IsDir():
			return fs.SkipDir
		case hidden || d.IsDir():
			return nil
		}
		name, ok := strings.CutSuffix(path, FileSuffix)
		if !ok {
			at := place{path: path}
			problems = append(problems, at.problem("a file that is no setting", acceptedTree))
			return nil
		}
		entries[name], err = fs.ReadFile(root, path)
		return err
	})
	if err != nil {
		at := place{path: "."}
		problems = append(problems, at.problem("what can't be read ("+err.Error()+")", acceptedTree))
	}
	return entries, problems
}
