package coltsfootloft

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a [Store].
var (
	// ErrConflict: a change expected another version of a key; nothing was
	// written.
	ErrConflict = errors.New("conflicting change")
	// ErrOutcomeUnknown: no answer came; the change may have taken effect.
	ErrOutcomeUnknown = errors.New("no answer to a change")
	// ErrStoreDown: the store could not be reached; nothing was written.
	ErrStoreDown = errors.New("store unreachable")
	// ErrNoSession: the session has lapsed or never was.
	ErrNoSession = errors.New("no such session")
)

// Entry is one key of the store.
type Entry struct {
	key     string
	value   []byte
	version uint64
	session string
}

// NewEntry returns the entry of a key at a version, held by a session or by none
// if that is empty.
func NewEntry(key string, value []byte, version uint64, session string) Entry {
	return Entry{
		key:     key,
		value:   value,
		version: version,
		session: session,
	}
}

// Key is the full path.
func (e Entry) Key() string { return e.key }

// Value is the raw value, at most 1 MB. It must not be changed.
func (e Entry) Value() []byte { return e.value }

// Version is the store's index of the last change to the key; 0 stands for a key
// that does not exist.
func (e Entry) Version() uint64 { return e.version }

// Session holds the key while it lives; empty when none does.
func (e Entry) Session() string { return e.session }

// Change is one part of an all-or-nothing transaction. It applies only while the
// key is at its version, and version 0 requires that the key does not exist.
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

// Require changes nothing but makes the transaction depend on a key's version.
func Require(key string, version uint64) Change {
	return Change{
		kind:    ChangeRequire,
		key:     key,
		version: version,
	}
}

// Locked returns a put that also takes the key's lock for a session. It fails
// with [ErrConflict] while another session holds the key.
func (c Change) Locked(session string) Change {
	c.session = session
	return c
}

// Kind tells what the change does.
func (c Change) Kind() ChangeKind { return c.kind }

// Key is the full path.
func (c Change) Key() string { return c.key }

// Value is the new value of a put. It must not be changed.
func (c Change) Value() []byte { return c.value }

// Version is what the key must be at.
func (c Change) Version() uint64 { return c.version }

// Session takes the lock, if not empty.
func (c Change) Session() string { return c.session }

// HostRecord is one line of the platform's list of hosts. The list lags.
type HostRecord struct {
	name     string
	domain   string
	address  string
	upstream bool
	leaving  bool
}

// NewHost returns the record of an entry host in a failure domain. Its peer
// address is IP:port.
func NewHost(name, domain, address string) HostRecord {
	return HostRecord{
		name:    name,
		domain:  domain,
		address: address,
	}
}

// AsUpstream returns h as the record of an upstream.
func (h HostRecord) AsUpstream() HostRecord {
	h.upstream = true
	return h
}

// AsLeaving returns h as announced to leave.
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

// Upstream tells an upstream from an entry host.
func (h HostRecord) Upstream() bool { return h.upstream }

// Leaving is set once the platform has announced the removal.
func (h HostRecord) Leaving() bool { return h.leaving }

// Store is the platform's key-value service as the PostgreSQL front uses it. Every
// call counts against the platform's limits, a waiting watch as one.
type Store interface {
	KeyValue
	// List returns all keys under prefix and the store's index.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch is List, but waits until the index under prefix passes after, or
	// for about wait.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, uint64, error)
	// Hosts returns the platform's lagging host list.
	Hosts(ctx context.Context) ([]HostRecord, error)
}

// ChangeKind is what a [Change] does.
type ChangeKind uint8

// The kinds of change.
const (
	// ChangePut replaces a value.
	ChangePut ChangeKind = iota
	// ChangeRemove deletes a key.
	ChangeRemove
	// ChangeRequire only checks a version.
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
