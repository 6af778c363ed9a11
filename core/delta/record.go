package delta

// Record is the last change of one key.
type Record struct {
	key     string
	value   []byte
	stamp   uint64
	removed bool
}

// NewRecord returns a key's value with the number of the change that set it.
func NewRecord(key string, value []byte, stamp uint64) Record {
	return Record{
		key:   key,
		value: value,
		stamp: stamp,
	}
}

// NewRemoval returns the removal of a key, known at change stamp.
func NewRemoval(key string, stamp uint64) Record {
	return Record{
		key:     key,
		stamp:   stamp,
		removed: true,
	}
}

// Key is the path below the prefix.
func (r Record) Key() string { return r.key }

// Value is the raw value. It must not be changed.
func (r Record) Value() []byte { return r.value }

// Version is the number of the change.
func (r Record) Version() uint64 { return r.stamp }

// Removed tells that the key does not exist any more.
func (r Record) Removed() bool { return r.removed }

// Delta is what one table brings to another.
type Delta struct {
	since    uint64
	revision uint64
	records  []Record
}

// NewDelta returns all records changed after since, up to revision. With since 0
// it holds every key that exists at revision.
func NewDelta(since, revision uint64, records []Record) Delta {
	return Delta{
		since:    since,
		revision: revision,
		records:  records,
	}
}

// Since is the revision that a table must be at to take the delta; 0 fits all.
func (d Delta) Since() uint64 { return d.since }

// Revision is where the delta brings a table.
func (d Delta) Revision() uint64 { return d.revision }

// Records are ordered by stamp and key.
func (d Delta) Records() []Record { return d.records }
