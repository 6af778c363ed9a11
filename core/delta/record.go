package delta

// Record is the last change of one key.
type Record struct {
	key     string
	value   []byte
	version uint64
	removed bool
}

// NewRecord returns the record of a key whose value was set by the change with
// this number.
func NewRecord(key string, value []byte, version uint64) Record {
	return Record{
		key:     key,
		value:   value,
		version: version,
	}
}

// NewRemoval returns the record of a key that was removed by the change with
// number version or an earlier one.
func NewRemoval(key string, version uint64) Record {
	return Record{
		key:     key,
		version: version,
		removed: true,
	}
}

// Key is the key without the prefix of the settings.
func (r Record) Key() string { return r.key }

// Value is the raw value. It must not be changed.
func (r Record) Value() []byte { return r.value }

// Version is the store's number of the change.
func (r Record) Version() uint64 { return r.version }

// Removed reports whether the key no longer exists.
func (r Record) Removed() bool { return r.removed }

// Delta is a set of changes that one table sends to another.
type Delta struct {
	since    uint64
	revision uint64
	records  []Record
}

// NewDelta returns a delta with all records changed after since, up to revision.
// With since 0 it holds every key that exists at revision.
func NewDelta(since, revision uint64, records []Record) Delta {
	return Delta{
		since:    since,
		revision: revision,
		records:  records,
	}
}

// Since is the revision at which a table must be to apply the delta; 0 applies to
// any table.
func (d Delta) Since() uint64 { return d.since }

// Revision is the revision of a table after it has applied the delta.
func (d Delta) Revision() uint64 { return d.revision }

// Records are ordered by version and key.
func (d Delta) Records() []Record { return d.records }
