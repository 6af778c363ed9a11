package coltsfootloft

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrHistory says that the store no longer has the history that was asked for.
var ErrHistory = errors.New("history is gone")

// Clock tells how long the host has been up, suspensions included. Leases,
// horizons and grants go by it, because the wall clock jumps and the monotonic
// clock of the runtime stands still while the host is suspended.
type Clock interface {
	Elapsed() time.Duration
}

// KeyValue is the part of the platform's store that all its uses share.
type KeyValue interface {
	// Read returns one key, with Version 0 if it does not exist.
	Read(ctx context.Context, key string) (Entry, error)
	// Apply makes all changes or none and returns the store's index after.
	Apply(ctx context.Context, changes []Change) (uint64, error)
	// OpenSession starts a lease of length ttl. Keys that it holds are removed
	// or released when it lapses.
	OpenSession(ctx context.Context, name string, ttl time.Duration) (string, error)
	// RenewSession extends the lease by its ttl.
	RenewSession(ctx context.Context, session string) error
	// CloseSession ends the lease.
	CloseSession(ctx context.Context, session string) error
}

// EventStore is a store that tells each change once, by revision.
type EventStore interface {
	KeyValue
	// Snapshot returns all keys and a revision to continue from.
	Snapshot(ctx context.Context) ([]Event, uint64, error)
	// Events waits until something changed after the revision, or for about
	// wait, and returns the revision to continue from. It fails with
	// [ErrHistory] if that part of the history is gone.
	Events(ctx context.Context, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Confirm asks whether the operators' settings still have this revision;
	// if not it returns them as they are now.
	Confirm(ctx context.Context, revision uint64) (current bool, now Event, err error)
}

// Promoter orders the platform to make a database the primary of its group. The
// call may take effect though no answer came.
type Promoter interface {
	// Promote fails with [ErrRefused] if the database can't take over.
	Promote(ctx context.Context, group, database, holder string, fence uint64) error
}

// ErrRefused says that the platform will not promote this database.
var ErrRefused = errors.New("promotion refused")
