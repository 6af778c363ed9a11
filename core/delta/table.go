// Package delta keeps one host's copy of the raw settings and merges what comes
// from the store and from other hosts.
//
// # Revisions
//
// The store numbers its changes. The revision of a table is the number of the
// newest change under the prefix that the table has taken in, and the table holds
// the effect of every change up to it. It never goes back: a listing with a lower
// number, from a store that answers old data or was restored, is left out.
//
// # Records
//
// Each key has one [Record] with the number of its last change. A removed key
// keeps a record too, so that neither old data nor a restored store brings it
// back. Two records of a key merge to the one with the greater number, so tables
// that have taken in the same changes agree, in whatever order they came.
//
// # Deltas
//
// [Table.Since] returns the records changed after a revision, for a table that is
// at that revision. A table that has jumped over a revision doesn't know what was
// set and removed again inside the jump, so it gives all its records instead, and
// what the receiver has beyond them was removed.
package delta

import (
	"cmp"
	"slices"
	"strings"

	"coltsfootloft"
)

// maxPassed is how many revisions a table can give deltas from.
const maxPassed = 64

// Table is one host's copy of the settings. The zero value is empty, at revision
// 0. It is not safe for concurrent use.
type Table struct {
	revision uint64
	passed   []uint64
	records  map[string]Record
}

// Revision is the number of the newest change taken in.
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

// ApplyList takes in a whole listing of the store, with prefix taken off the keys,
// and reports whether the revision rose. A listing with a lower index than the
// revision changes nothing. Kept are the keys whose value in the listing is older
// than the table's, as after a restore of the store.
func (t *Table) ApplyList(prefix string, list []coltsfootloft.Entry, index uint64) (rose bool, kept []string) {
	if index <= t.revision {
		return false, nil
	}
	records := make([]Record, 0, len(list))
	for _, e := range list {
		r := NewRecord(strings.TrimPrefix(e.Key(), prefix), e.Value(), e.Version())
		if r.stamp < t.records[r.key].stamp {
			kept = append(kept, r.key)
		}
		records = append(records, r)
	}
	t.takeWhole(records, index)
	return true, kept
}

// ApplyDelta takes in what another table has sent. It reports whether the revision
// rose, and whether the delta starts from another revision, in which case it
// changed nothing.
func (t *Table) ApplyDelta(d Delta) (rose, gap bool) {
	if d.revision <= t.revision {
		return false, false
	}
	if d.since == 0 {
		t.takeWhole(d.records, d.revision)
		return true, false
	}
	if d.since != t.revision {
		return false, true
	}
	for _, r := range d.records {
		t.put(r)
	}
	t.reach(d.revision)
	return true, false
}

// takeWhole takes in every key that exists at a revision.
func (t *Table) takeWhole(records []Record, revision uint64) {
	seen := make(map[string]bool, len(records))
	for _, r := range records {
		seen[r.key] = !r.removed
		t.put(r)
	}
	for k, r := range t.records {
		if !seen[k] && !r.removed {
			t.put(NewRemoval(k, revision))
		}
	}
	t.reach(revision)
}

// reach moves the table on to a revision.
func (t *Table) reach(revision uint64) {
	t.revision = revision
	t.passed = append(t.passed, revision)
	if len(t.passed) > maxPassed {
		t.passed = slices.Delete(t.passed, 0, 1)
	}
}

// Since returns the records changed after a revision, or all of them if the table
// has not passed through that revision.
func (t *Table) Since(revision uint64) Delta {
	if !slices.Contains(t.passed, revision) {
		revision = 0
	}
	var all []Record
	for _, r := range t.records {
		if r.stamp > revision {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.stamp, b.stamp), strings.Compare(a.key, b.key))
	})
	return NewDelta(revision, t.revision, all)
}

// put keeps the record with the greater number.
func (t *Table) put(r Record) {
	old, ok := t.records[r.key]
	if ok && old.stamp >= r.stamp {
		return
	}
	if t.records == nil {
		t.records = make(map[string]Record)
	}
	t.records[r.key] = r
}
