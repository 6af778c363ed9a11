package coltsfootloft

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrCompacted is returned if the store has discarded the requested part of its change
// history. The caller must start again from a snapshot.
var ErrCompacted = errors.New("history is gone")

// Clock measures the time since the host started, suspensions included. Leases,
// horizons and grants use it because the wall clock can jump and the monotonic
// clock of the runtime stops while the host is suspended.
type Clock interface {
	// Elapsed returns the time since the host started.
	Elapsed() time.Duration
}

// Memory bounds the bytes that other processes make the host hold. Codecs ask it before they
// keep a message that is larger than the fixed buffers of a connection.
type Memory interface {
	// Take takes n bytes for a holder that already holds held bytes. It reports false
	// if it may not have them.
	Take(held, n int) bool
	// Give gives n bytes back.
	Give(n int)
}

// KeyValue is the part of the platform's store that all its users need. [Store] and
// [EventStore] add two ways to follow changes.
type KeyValue interface {
	// Read returns the entry of a key. Its version is 0 if the key does not exist.
	Read(ctx context.Context, key string) (Entry, error)
	// Apply makes all changes or none and returns the store's index afterwards. It
	// fails with [ErrConflict], [ErrOutcomeUnknown], [ErrStoreDown] or
	// [ErrNoSession].
	Apply(ctx context.Context, changes []Change) (uint64, error)
	// OpenSession starts a lease of length ttl and returns its id. Keys held by
	// the lease are removed or released when it expires.
	OpenSession(ctx context.Context, name string, ttl time.Duration) (string, error)
	// RenewSession extends the lease by its ttl. It fails with [ErrNoSession] if
	// the lease has expired.
	RenewSession(ctx context.Context, session string) error
	// CloseSession ends the lease before it expires.
	CloseSession(ctx context.Context, session string) error
}

// EventStore is a store that reports each change once, identified by its revision.
// Revisions include the era (see [RevisionAt]).
type EventStore interface {
	KeyValue
	// Era returns the latest era in any answer of the store; 0 if none stated one. The
	// era increases when the store comes back from a backup and so loses changes that it
	// had acknowledged.
	Era() uint64
	// Snapshot returns all keys and a revision to continue from.
	Snapshot(ctx context.Context) ([]Event, uint64, error)
	// Events waits for changes after the given revision, for about wait at most,
	// and returns them with the revision to continue from. It fails with
	// [ErrCompacted] if the store has discarded that part of its history, or does not
	// have the revision since it came back from a backup.
	Events(ctx context.Context, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Confirm reports whether the operators' settings still have this revision, in its
	// era, and the keys of evacuated failure domains theirs, where 0 is for a domain that
	// is not evacuated. It returns what differs.
	Confirm(ctx context.Context, revision uint64, evacuations map[string]uint64) (Confirmation, error)
}

// Confirmation is the store's answer to [EventStore.Confirm].
type Confirmation struct {
	// Current is set if the settings have the revision.
	Current bool
	// Settings is the current settings unless Current is set.
	Settings Event
	// Evacuations holds the present key of each domain that the store has named in its answer,
	// Deleted if there is none. It is nil if all have their revisions.
	Evacuations []Event
}

// Promoter orders the platform to make a database the primary of its group. A call
// that got no answer may still take effect.
type Promoter interface {
	// Promote makes the database the primary of the group. Holder is the host that
	// holds the duty to change primaries, and fence is its fencing token. Promote
	// fails with [ErrPromotionRefused] if the database can't take over.
	Promote(ctx context.Context, group, database, holder string, fence uint64) error
}

// ErrPromotionRefused is returned if the platform refuses to promote a database.
var ErrPromotionRefused = errors.New("promotion refused")
