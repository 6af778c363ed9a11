package coltsfootloft

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a [KeyValue] store.
var (
	// ErrConflict: a key was not at the version that a change requires; nothing
	// was written.
	ErrConflict = errors.New("conflicting change")
	// ErrOutcomeUnknown: the store gave no usable answer; a change may have taken
	// effect.
	ErrOutcomeUnknown = errors.New("no answer to a change")
	// ErrStoreDown: the store could not be reached; nothing was written.
	ErrStoreDown = errors.New("store unreachable")
	// ErrNoSession: the session has expired or never existed.
	ErrNoSession = errors.New("no such session")
)

// Entry is one key of the store with its value.
type Entry struct {
	key     string
	value   []byte
	version uint64
	session string
}

// NewEntry returns the entry of a key at a version. Session is the session that
// holds the key, or empty.
func NewEntry(key string, value []byte, version uint64, session string) Entry {
	return Entry{
		key:     key,
		value:   value,
		version: version,
		session: session,
	}
}

// Key is the path of the key.
func (e Entry) Key() string { return e.key }

// Value is the raw value, at most 1 MB. It must not be modified.
func (e Entry) Value() []byte { return e.value }

// Version is the store's index of the last change to the key; 0 means that the key
// does not exist.
func (e Entry) Version() uint64 { return e.version }

// Session is the session that holds the key; empty if there is none.
func (e Entry) Session() string { return e.session }

// Change is one part of an atomic transaction. It applies only if the key is at the
// given version; version 0 requires that the key does not exist.
type Change struct {
	kind    ChangeKind
	key     string
	value   []byte
	version uint64
	session string
}

// Put replaces the value of a key.
func Put(key string, value []byte, version uint64) Change {
	return Change{
		kind:    ChangePut,
		key:     key,
		value:   value,
		version: version,
	}
}

// Remove deletes a key.
func Remove(key string, version uint64) Change {
	return Change{
		kind:    ChangeRemove,
		key:     key,
		version: version,
	}
}

// Require changes nothing, but makes the transaction conditional on the version of
// a key.
func Require(key string, version uint64) Change {
	return Change{
		kind:    ChangeRequire,
		key:     key,
		version: version,
	}
}

// WithLock returns a copy of the put c that also acquires the lock of the key for a
// session. It fails with [ErrConflict] while another session holds the key.
func (c Change) WithLock(session string) Change {
	c.session = session
	return c
}

// Kind is the operation of the change.
func (c Change) Kind() ChangeKind { return c.kind }

// Key is the path of the key.
func (c Change) Key() string { return c.key }

// Value is the new value of a put. It must not be modified.
func (c Change) Value() []byte { return c.value }

// Version is the version that the key must be at; 0 requires that the key does not
// exist.
func (c Change) Version() uint64 { return c.version }

// Session is the session that acquires the lock of the key; empty if none does.
func (c Change) Session() string { return c.session }

// HostRecord is one record of the platform's host list: an entry host or an
// upstream. The list lags behind the actual state.
type HostRecord struct {
	name     string
	domain   string
	address  string
	upstream bool
	leaving  bool
}

// NewHost returns the record of an entry host in a failure domain. Address is the
// IP:port for connections from other hosts.
func NewHost(name, domain, address string) HostRecord {
	return HostRecord{
		name:    name,
		domain:  domain,
		address: address,
	}
}

// AsUpstream returns a copy of h that describes an upstream.
func (h HostRecord) AsUpstream() HostRecord {
	h.upstream = true
	return h
}

// AsLeaving returns a copy of h whose removal is announced.
func (h HostRecord) AsLeaving() HostRecord {
	h.leaving = true
	return h
}

// Name is unique in the fleet.
func (h HostRecord) Name() string { return h.name }

// Domain is the failure domain.
func (h HostRecord) Domain() string { return h.domain }

// Address is the peer address of an entry host or the address of an upstream, as
// IP:port.
func (h HostRecord) Address() string { return h.address }

// Upstream reports whether the record describes an upstream rather than an entry
// host.
func (h HostRecord) Upstream() bool { return h.upstream }

// Leaving reports whether the platform has announced the removal.
func (h HostRecord) Leaving() bool { return h.leaving }

// Store is the platform's key-value service as the PostgreSQL front uses it. Every
// call counts against the platform's limits; a waiting watch counts as one call.
type Store interface {
	KeyValue
	// List returns all keys under prefix and the store's index.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch is like List, but first waits until the index under prefix exceeds
	// after, for about wait at most.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error)
	// Hosts returns the platform's host list, which lags.
	Hosts(ctx context.Context) ([]HostRecord, error)
}

// ChangeKind is the operation of a [Change].
type ChangeKind uint8

// The kinds of change.
const (
	// ChangePut replaces a value.
	ChangePut ChangeKind = iota
	// ChangeRemove deletes a key.
	ChangeRemove
	// ChangeRequire only checks the version of a key.
	ChangeRequire
)

// String returns the lower-case name of the kind.
func (k ChangeKind) String() string {
	switch k {
	case ChangePut:
		return "put"
	case ChangeRemove:
		return "remove"
	case ChangeRequire:
		return "require"
	}
	return "invalid change"
}
