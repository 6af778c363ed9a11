// Package delta holds the copy of the raw settings on one host and merges changes
// from the store and from other hosts into it.
//
// # Revisions
//
// The store numbers its changes. The revision of a table is the number of the
// newest change under the prefix that the table has applied, and the table
// reflects every change up to it. The revision never decreases: a listing with a
// lower number, from a store that returns stale data or was restored from a
// backup, is ignored.
//
// # Records
//
// Each key has one [Record] with the number of its last change. A removed key
// keeps a record as a tombstone, so that neither stale data nor a restored store
// brings the key back. Of two records of a key the one with the greater number
// wins. Tables that have applied the same changes therefore agree, in whatever
// order the changes arrived.
//
// # Deltas
//
// [Table.Since] returns the records changed after a revision, for a table that is
// at that revision. A table that has skipped a revision does not know which keys
// were set and removed again in between. It therefore returns all its records,
// and any other key of the receiver counts as removed.
package delta

import (
	"cmp"
	"slices"
	"strings"

	"coltsfootloft"
)

// maxHistory is the number of revisions from which a table can compute deltas.
const maxHistory = 64

// Table is the copy of the settings on one host. The zero value is empty, at
// revision 0. It is not safe for concurrent use.
type Table struct {
	revision uint64
	history  []uint64
	records  map[string]Record
}

// Revision is the number of the newest change applied.
func (t *Table) Revision() uint64 { return t.revision }

// Entries returns the values by key in a new map.
func (t *Table) Entries() map[string][]byte {
	m := make(map[string][]byte, len(t.records))
	for k, r := range t.records {
		if !r.removed {
			m[k] = r.value
		}
	}
	return m
}

// ApplyList applies a full listing of the store, with prefix trimmed from the
// keys, and reports whether the revision advanced. A listing whose index is not
// above the revision has no effect. retained are the keys whose value in the
// listing is older than the record in the table, as after a restore of the store;
// the table keeps its record.
func (t *Table) ApplyList(prefix string, list []coltsfootloft.Entry, index uint64) (advanced bool, retained []string) {
	if index <= t.revision {
		return false, nil
	}
	records := make([]Record, 0, len(list))
	for _, e := range list {
		r := NewRecord(strings.TrimPrefix(e.Key(), prefix), e.Value(), e.Version())
		if r.version < t.records[r.key].version {
			retained = append(retained, r.key)
		}
		records = append(records, r)
	}
	t.applySnapshot(records, index)
	return true, retained
}

// ApplyDelta applies a delta from another table and reports whether the revision
// advanced. gap is set if the delta starts from another revision; it then has no
// effect.
func (t *Table) ApplyDelta(d Delta) (advanced, gap bool) {
	if d.revision <= t.revision {
		return false, false
	}
	if d.since == 0 {
		t.applySnapshot(d.records, d.revision)
		return true, false
	}
	if d.since != t.revision {
		return false, true
	}
	for _, r := range d.records {
		t.put(r)
	}
	t.advance(d.revision)
	return true, false
}

// applySnapshot applies the set of all keys that exist at a revision.
func (t *Table) applySnapshot(records []Record, revision uint64) {
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.key] = !r.removed
		t.put(r)
	}
	for k, r := range t.records {
		if !present[k] && !r.removed {
			t.put(NewRemoval(k, revision))
		}
	}
	t.advance(revision)
}

// advance sets the revision and adds it to the history.
func (t *Table) advance(revision uint64) {
	t.revision = revision
	t.history = append(t.history, revision)
	if len(t.history) > maxHistory {
		t.history = slices.Delete(t.history, 0, 1)
	}
}

// Since returns the records changed after a revision, or all records if the table
// was never at that revision or no longer has it in its history.
func (t *Table) Since(revision uint64) Delta {
	if !slices.Contains(t.history, revision) {
		revision = 0
	}
	var all []Record
	for _, r := range t.records {
		if r.version > revision {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.version, b.version), strings.Compare(a.key, b.key))
	})
	return NewDelta(revision, t.revision, all)
}

// put stores r unless the table has a record of the key with the same or a
// greater number.
func (t *Table) put(r Record) {
	old, ok := t.records[r.key]
	if ok && old.version >= r.version {
		return
	}
	if t.records == nil {
		t.records = make(map[string]Record)
	}
	t.records[r.key] = r
}
