package coltsfootloft

import "context"

// Reading is what one database reports of itself at one moment.
type Reading struct {
	role     Role
	fence    Term
	received Position
	applied  Position
	primary  string
	version  uint64
}

// NewReading returns a reading of a database whose fence term, newest record in
// the log and newest record visible to reads are these.
func NewReading(role Role, fence Term, received, applied Position) Reading {
	return Reading{
		role:     role,
		fence:    fence,
		received: received,
		applied:  applied,
	}
}

// Following returns r with the name of the primary that the database follows.
func (r Reading) Following(primary string) Reading {
	r.primary = primary
	return r
}

// WithVersion returns r with its version.
func (r Reading) WithVersion(version uint64) Reading {
	r.version = version
	return r
}

// Role tells whether the database takes writes.
func (r Reading) Role() Role { return r.role }

// Fence is the highest term raised on the database. It takes no commit and no
// replication of a lower one.
func (r Reading) Fence() Term { return r.fence }

// Received is the newest record in the log; its term is the log term.
func (r Reading) Received() Position { return r.received }

// Applied is the newest record that reads can see.
func (r Reading) Applied() Position { return r.applied }

// Primary names the database that a replica follows; empty on a primary.
func (r Reading) Primary() string { return r.primary }

// Version changes whenever anything else does, and on a restart.
func (r Reading) Version() uint64 { return r.version }

// Acknowledges reports whether the reading shows that the database holds the record at
// p for good: fence term and log term are both the term of p. The log term alone
// is not enough, because a database that is being rebuilt under a later term
// passes through older log terms.
func (r Reading) Acknowledges(p Position) bool {
	if r.fence != p.term || r.received.term != p.term {
		return false
	}
	return r.received.offset >= p.offset
}

// Database is the platform's interface to one database of a group. Every
// operation that carries a term is refused with [ErrFenced] below the fence.
type Database interface {
	// Status reads the database now.
	Status(ctx context.Context) (Reading, error)
	// Await returns the first reading whose version differs from seen, or the
	// current one when ctx is about to end.
	Await(ctx context.Context, seen uint64) (Reading, error)
	// Fence raises the fence term and returns a reading taken after it.
	Fence(ctx context.Context, term Term) (Reading, error)
	// Promote makes the database primary of term, by writing the term's first
	// record.
	Promote(ctx context.Context, term Term) (Reading, error)
	// Follow makes the database a replica of the named primary, cutting back
	// what its log does not share with it.
	Follow(ctx context.Context, term Term, primary string) (Reading, error)
}

// Role is the part that a database plays in its group.
type Role uint8

// The roles of a database.
const (
	// Replica takes no writes.
	Replica Role = iota
	// Primary takes writes in its term, unless fenced by a higher one.
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
