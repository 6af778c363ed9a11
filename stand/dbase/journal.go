package dbase

import (
	"encoding/gob"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// entry is one step of the journal: a record, a cut of the log, or a new state.
type entry struct {
	Record *record
	Cut    *cutEntry
	State  *stateEntry
}

type cutEntry struct {
	Offset uint64
}

type stateEntry struct {
	Role     uint8
	Fence    string
	Reign    string
	Followed string
	Primary  string
	Met      []string
}

// journal keeps the ledger in files, one for each run of the process. It never
// syncs: it outlives the process, not the machine. A nil journal keeps nothing.
type journal struct {
	file    *os.File
	encoder *gob.Encoder
}

const journalPattern = "journal-*.gob"

// openJournal reads the ledger of earlier runs from dir and starts a new file.
func openJournal(dir string, l *ledger) (*journal, error) {
	if dir == "" {
		return nil, nil
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return nil, errors.Wrap(err, "journal")
	}
	names, err := filepath.Glob(filepath.Join(dir, journalPattern))
	if err != nil {
		return nil, errors.Wrap(err, "journal")
	}
	slices.Sort(names)
	for _, n := range names {
		if err := replay(n, l); err != nil {
			return nil, err
		}
	}
	name := filepath.Join(dir, fmt.Sprintf("journal-%06d.gob", len(names)+1))
	f, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "journal")
	}
	return &journal{
		file:    f,
		encoder: gob.NewEncoder(f),
	}, nil
}

// replay repeats the entries of one file. It stops at an entry that a killed
// process left half written.
func replay(name string, l *ledger) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "journal")
	}
	defer f.Close()
	d := gob.NewDecoder(f)
	for {
		var e entry
		if err := d.Decode(&e); err != nil {
			return nil // The end of the file, or a torn entry.
		}
		if err := l.repeat(&e); err != nil {
			return errors.Wrapf(err, "journal %s", name)
		}
	}
}

func (l *ledger) repeat(e *entry) error {
	switch {
	case e.Record != nil:
		l.add(e.Record)
	case e.Cut != nil:
		l.cut(e.Cut.Offset)
	case e.State != nil:
		return l.restore(e.State)
	}
	return nil
}

func (l *ledger) restore(s *stateEntry) error {
	for _, p := range []struct {
		text string
		term *coltsfootloft.Term
	}{
		{text: s.Fence, term: &l.fence},
		{text: s.Reign, term: &l.reign},
		{text: s.Followed, term: &l.followed},
	} {
		t, err := coltsfootloft.ParseTerm(p.text)
		if err != nil {
			return err
		}
		*p.term = t
	}
	for _, n := range s.Met {
		l.meet(n)
	}
	l.role = coltsfootloft.Role(s.Role)
	l.primary = s.Primary
	return nil
}

func (j *journal) write(e *entry) error {
	if j == nil {
		return nil
	}
	return errors.Wrap(j.encoder.Encode(e), "journal")
}

func (j *journal) record(r *record) error {
	return j.write(&entry{
		Record: r,
	})
}

func (j *journal) cut(offset uint64) error {
	return j.write(&entry{
		Cut: &cutEntry{
			Offset: offset,
		},
	})
}

func (j *journal) state(l *ledger) error {
	return j.write(&entry{
		State: &stateEntry{
			Role:     uint8(l.role),
			Fence:    l.fence.String(),
			Reign:    l.reign.String(),
			Followed: l.followed.String(),
			Primary:  l.primary,
			Met:      slices.Sorted(maps.Keys(l.met)),
		},
	})
}

func (j *journal) close() {
	if j != nil {
		j.file.Close()
	}
}
