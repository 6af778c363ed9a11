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

// entry is an entry of the journal: a record, a truncation of the log, or a new
// state. gob stores the names of the types and their fields.
type entry struct {
	Record *record
	Cut    *cutEntry
	State  *stateEntry
}

// cutEntry says that all records above Offset were dropped.
type cutEntry struct {
	Offset uint64
}

// stateEntry is the state of a replState except its log. Fence, Reign and Followed
// are the texts of the terms fence, primaryTerm and followed; Met holds the known
// peers.
type stateEntry struct {
	Role     uint8
	Fence    string
	Reign    string
	Followed string
	Primary  string
	Met      []string
}

// journal stores the replication state in files, one for each start of the
// process. It never syncs, so it survives a crash of the process but not of the
// machine. A nil journal stores nothing.
type journal struct {
	file    *os.File
	encoder *gob.Encoder
}

const journalPattern = "journal-*.gob"

// openJournal restores the state from the files in dir and starts a new file. It
// returns nil if dir is empty.
func openJournal(dir string, st *replState) (*journal, error) {
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
		if err := replay(n, st); err != nil {
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

// replay applies the entries of one file. It stops at an entry that was partly
// written when the process was killed.
func replay(name string, st *replState) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "journal")
	}
	defer f.Close()
	d := gob.NewDecoder(f)
	for {
		var e entry
		if err := d.Decode(&e); err != nil {
			return nil // End of the file, or a partly written entry.
		}
		if err := st.applyEntry(&e); err != nil {
			return errors.Wrapf(err, "journal %s", name)
		}
	}
}

func (st *replState) applyEntry(e *entry) error {
	switch {
	case e.Record != nil:
		st.add(e.Record)
	case e.Cut != nil:
		st.truncate(e.Cut.Offset)
	case e.State != nil:
		return st.restore(e.State)
	}
	return nil
}

func (st *replState) restore(s *stateEntry) error {
	for _, p := range []struct {
		text string
		term *coltsfootloft.Term
	}{
		{text: s.Fence, term: &st.fence},
		{text: s.Reign, term: &st.primaryTerm},
		{text: s.Followed, term: &st.followed},
	} {
		t, err := coltsfootloft.ParseTerm(p.text)
		if err != nil {
			return err
		}
		*p.term = t
	}
	for _, n := range s.Met {
		st.addPeer(n)
	}
	st.role = coltsfootloft.Role(s.Role)
	st.primary = s.Primary
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

func (j *journal) truncate(offset uint64) error {
	return j.write(&entry{
		Cut: &cutEntry{
			Offset: offset,
		},
	})
}

func (j *journal) state(st *replState) error {
	return j.write(&entry{
		State: &stateEntry{
			Role:     uint8(st.role),
			Fence:    st.fence.String(),
			Reign:    st.primaryTerm.String(),
			Followed: st.followed.String(),
			Primary:  st.primary,
			Met:      slices.Sorted(maps.Keys(st.knownPeers)),
		},
	})
}

func (j *journal) close() {
	if j != nil {
		j.file.Close()
	}
}
