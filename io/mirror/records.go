package mirror

import (
	"maps"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/leader"
)

// Group is the record of a database group as the store holds it.
type Group struct {
	leader.Record
	// Revision is the store's revision of the record.
	Revision uint64
	// FirstSeen is when this host first saw the record in this revision, on the Mirror's
	// clock. Of a closing record it is when this host first saw one of its epoch.
	FirstSeen time.Duration
}

// IsCurrent reports whether the record was written in the store's present era. The store may
// have lost later records than one that came back with a backup.
func (g Group) IsCurrent() bool {
	return g.Era == 0 || g.Era == coltsfootloft.EraOf(g.Revision)
}

// OddRecord is a key of a group from which another writer has removed the record, or under which it left
// something else.
type OddRecord struct {
	// Version is the store's revision of the entry; 0 if there is none.
	Version uint64
	// Revision is the store's revision at which that was seen.
	Revision uint64
}

// errRecordRemoved is logged if the record of a group is removed, which the program never does.
var errRecordRemoved = errors.New("record of a group removed; the last good one stays in force")

// applyRecord applies an event about the key of a group. If the entry is not a record, the last good record
// stays in force, and the host that changes primaries writes it again.
func (v *View) applyRecord(now time.Duration, name string, e coltsfootloft.Event) error {
	g, known := v.Groups[name]
	if known && e.Revision <= g.Revision || e.Revision < v.OddRecords[name].Revision {
		return nil
	}
	if e.Deleted {
		v.OddRecords[name] = OddRecord{Revision: e.Revision}
		return errRecordRemoved
	}
	r, err := leader.Decode(e.Value)
	if err == nil && r.Era > coltsfootloft.EraOf(e.Revision) {
		err = errors.Errorf("record of era %d", r.Era)
	}
	if err != nil {
		v.OddRecords[name] = OddRecord{
			Version:  e.Revision,
			Revision: e.Revision,
		}
		return err
	}
	seen := now
	if known {
		v.keepRecord(name, g.Record)
		if g.Closing && r.Closing && g.Epoch == r.Epoch && g.Primary == r.Primary {
			seen = g.FirstSeen
		}
	}
	delete(v.OddRecords, name)
	v.Groups[name] = Group{
		Record:    r,
		Revision:  e.Revision,
		FirstSeen: seen,
	}
	return nil
}

// compareRecords completes the records of a listing at a revision: one of an earlier era is dropped, and
// one that the listing lacks was removed by another writer.
func (v *View) compareRecords(listed map[string]bool, revision uint64) []error {
	var problems []error
	for name, g := range v.Groups {
		switch {
		case coltsfootloft.EraOf(g.Revision) < coltsfootloft.EraOf(revision):
			delete(v.Groups, name)
		case !listed[GroupKey(name)]:
			v.OddRecords[name] = OddRecord{Revision: revision}
			problems = append(problems, errRecordRemoved)
		}
	}
	return problems
}

// keepRecord keeps a record that is about to be replaced, in case the new one is older.
func (v *View) keepRecord(name string, r leader.Record) {
	if !r.Supersedes(v.Past.Groups[name]) {
		return
	}
	groups := maps.Clone(v.Past.Groups)
	if groups == nil {
		groups = make(map[string]leader.Record)
	}
	groups[name] = r
	v.Past.Groups = groups
}
