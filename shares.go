package coltsfootloft

import (
	"context"
	"time"
)

// Shares hands out this host's part of the fleet-wide limits. Parts sum to the
// whole at all times.
type Shares interface {
	// Admit takes cost statements from the client account's rate and burst. It
	// waits briefly for a loan and then fails with a *RefusalError that is NotRun.
	Admit(ctx context.Context, account string, cost int) error
	// AcquireConnection takes the right to hold one connection to the database until
	// release is called. It waits until ctx ends.
	AcquireConnection(ctx context.Context, database string) (release func(), err error)
	// OnReclaim sets what is asked to give up an idle connection of a database
	// when another host needs its right. It reports whether one was closed.
	OnReclaim(f func(database string) bool)
}

// Groups is the current knowledge of all database groups.
type Groups interface {
	// Readings returns the newest known reading of each database in the group.
	Readings(group string) map[string]Reading
	// Changed returns a channel that is closed at the next change of the group.
	Changed(group string) <-chan struct{}
	// Hurry has changes of the group brought here without delay for a short
	// while, because a caller waits for one. It doesn't block.
	Hurry(group string)
	// Barrier returns a position that covers every write acknowledged before
	// the call, from readings of a majority that were all taken after it.
	Barrier(ctx context.Context, group string) (Position, error)
	// AwaitMajority waits until a majority holds the record at p for good. An error
	// means that this is unknown.
	AwaitMajority(ctx context.Context, group string, p Position) error
	// Silent returns how long ago the database last answered; ok is false if it
	// never has.
	Silent(group, database string) (silence time.Duration, ok bool)
	// Age bounds how old reads at the database are; ok is false if unknown.
	Age(group, database string) (age time.Duration, ok bool)
}
