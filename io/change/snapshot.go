package change

import (
	"bytes"
	"slices"
	"strings"

	"coltsfootloft"
	"coltsfootloft/core/conf"
)

// Snapshot is the state of all settings at one revision of the store.
type Snapshot struct {
	values   map[string][]byte
	versions map[string]uint64
	head     head
	revision uint64
}

func newSnapshot(list []coltsfootloft.Entry) (*Snapshot, error) {
	s := &Snapshot{
		versions: make(map[string]uint64, len(list)),
	}
	s.values, s.revision = conf.Collect(list)
	delete(s.values, conf.HeadPath)
	for _, e := range list {
		path := strings.TrimPrefix(e.Key(), conf.StorePrefix)
		s.versions[path] = e.Version()
		if path == conf.HeadPath {
			h, err := decodeHead(e)
			if err != nil {
				return nil, err
			}
			s.head = h
		}
	}
	return s, nil
}

// Values returns the settings by path. They must not be changed.
func (s *Snapshot) Values() map[string][]byte { return s.values }

// Revision returns the store's revision of the snapshot.
func (s *Snapshot) Revision() uint64 { return s.revision }

// Change returns the id of the newest change; empty before the first.
func (s *Snapshot) Change() string { return s.head.Change }

// Version returns the store's version of one path; 0 if it is not set.
func (s *Snapshot) Version(path string) uint64 { return s.versions[path] }

// changedPaths returns those of the given paths whose version differs in o.
func (s *Snapshot) changedPaths(o *Snapshot, paths []string) []string {
	var r []string
	for _, p := range paths {
		if s.versions[p] != o.versions[p] {
			r = append(r, p)
		}
	}
	return r
}

// delta returns what the edit would change, sorted by path.
func (s *Snapshot) delta(e Edit) []PathChange {
	var r []PathChange
	for p, v := range e.Put {
		old, had := s.values[p]
		switch {
		case !had:
			r = append(r, PathChange{
				Path:   p,
				Action: "added",
			})
		case !bytes.Equal(old, v):
			r = append(r, PathChange{
				Path:   p,
				Action: "changed",
			})
		}
	}
	for _, p := range e.Remove {
		if _, had := s.values[p]; had {
			r = append(r, PathChange{
				Path:   p,
				Action: "removed",
			})
		}
	}
	slices.SortFunc(r, func(a, b PathChange) int { return strings.Compare(a.Path, b.Path) })
	return r
}

// check returns the problems that the edit would cause, and all problems at the paths
// that it puts. Existing problems at other paths don't prevent it.
func (s *Snapshot) check(e Edit) conf.Problems {
	after := make(map[string][]byte, len(s.values)+len(e.Put))
	for p, v := range s.values {
		after[p] = v
	}
	for _, p := range e.Remove {
		delete(after, p)
	}
	for p, v := range e.Put {
		after[p] = v
	}
	_, before := conf.Parse(s.values)
	_, problems := conf.Parse(after)
	return slices.DeleteFunc(problems, func(p conf.Problem) bool {
		_, edited := e.Put[p.Path()]
		return !edited && slices.Contains(before, p)
	})
}
