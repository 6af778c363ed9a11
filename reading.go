package coltsfootloft

import "context"

// Reading is the state that one database reports at one moment.
type Reading struct {
	role     Role
	fence    Term
	received Position
	applied  Position
	primary  string
	version  uint64
}

// NewReading returns a reading. Received is the newest record in the log, applied
// the newest record visible to reads.
func NewReading(role Role, fence Term, received, applied Position) Reading {
	return Reading{
		role:     role,
		fence:    fence,
		received: received,
		applied:  applied,
	}
}

// WithPrimary returns a copy of r with the name of the primary that the database
// replicates from.
func (r Reading) WithPrimary(primary string) Reading {
	r.primary = primary
	return r
}

// WithVersion returns a copy of r with this version.
func (r Reading) WithVersion(version uint64) Reading {
	r.version = version
	return r
}

// Role is the role that the database reports.
func (r Reading) Role() Role { return r.role }

// Fence is the highest term that the database was fenced at. The database accepts no
// commit and no replication of a lower term.
func (r Reading) Fence() Term { return r.fence }

// Received is the newest record in the log; the term of that record is the log term.
func (r Reading) Received() Position { return r.received }

// Applied is the newest record that reads can see.
func (r Reading) Applied() Position { return r.applied }

// Primary is the name of the database that a replica replicates from; empty on a
// primary.
func (r Reading) Primary() string { return r.primary }

// Version changes whenever another value of the reading does, and on a restart of
// the database.
func (r Reading) Version() uint64 { return r.version }

// Acknowledges reports whether the reading counts as an acknowledgement of the record at
// p: the database holds it permanently, as fence term and log term are both the term
// of p. The log term alone is not enough, because a database that is being rebuilt
// under a later term passes through older log terms.
func (r Reading) Acknowledges(p Position) bool {
	if r.fence != p.term || r.received.term != p.term {
		return false
	}
	return r.received.offset >= p.offset
}

// Database is the platform's interface to one database of a group. Every operation
// that carries a term fails with [ErrFenced] if the term is lower than the fence term
// of the database.
type Database interface {
	// Status returns the current reading.
	Status(ctx context.Context) (Reading, error)
	// Await returns the first reading whose version differs from version, or the
	// current one shortly before ctx ends.
	Await(ctx context.Context, version uint64) (Reading, error)
	// Fence raises the fence term and returns a reading taken after it.
	Fence(ctx context.Context, term Term) (Reading, error)
	// Promote makes the database primary of term, by writing the term's first
	// record.
	Promote(ctx context.Context, term Term) (Reading, error)
	// Follow makes the database a replica of the named primary, cutting back
	// what its log does not share with it.
	Follow(ctx context.Context, term Term, primary string) (Reading, error)
}

// Role is the role of a database in its group.
type Role uint8

// The roles of a database.
const (
	// Replica accepts no writes.
	Replica Role = iota
	// Primary accepts writes in its term, unless it is fenced by a higher one.
	Primary
)

// String returns the lower-case name of the role.
func (r Role) String() string {
	switch r {
	case Replica:
		return "replica"
	case Primary:
		return "primary"
	}
	return "unknown role"
}
