package coltsfootloft

import (
	"context"
	"time"
)

// Shares grants this host's shares of the fleet-wide limits. The shares of all hosts
// add up to the limit at all times.
type Shares interface {
	// Admit charges cost statements to the client account's rate and burst. If this
	// host's share is used up, Admit waits briefly for a loan from another host and
	// then fails with a *RefusalError whose outcome is NotRun.
	Admit(ctx context.Context, account string, cost int) error
	// AcquireConnection acquires the right to hold one connection to the database until
	// release is called. It opens no connection itself. It waits until ctx ends.
	AcquireConnection(ctx context.Context, database string) (release func(), err error)
	// OnReclaim sets the function that is called to close an idle connection to a
	// database when another host needs the right to it. The function reports whether
	// it closed one.
	OnReclaim(f func(database string) bool)
}

// Groups is this host's current knowledge of all database groups.
type Groups interface {
	// Readings returns the newest known reading of each database in the group, by
	// database name.
	Readings(group string) map[string]Reading
	// Changed returns a channel that is closed when the group changes next.
	Changed(group string) <-chan struct{}
	// Expedite expedites changes of the group for a short time: another host that
	// observes the group sends them without delay, because a caller is waiting for
	// one. It doesn't block.
	Expedite(group string)
	// Barrier returns a position that covers every write acknowledged before
	// the call, from readings of a majority that were all taken after it.
	Barrier(ctx context.Context, group string) (Position, error)
	// AwaitMajority waits until a majority holds the record at p permanently. An error means
	// that it is unknown whether a majority does.
	AwaitMajority(ctx context.Context, group string, p Position) error
	// SilentFor returns the time since the database last answered; ok is false if it
	// never has.
	SilentFor(group, database string) (silence time.Duration, ok bool)
	// Age returns an upper bound of the staleness of reads at the database; ok is
	// false if none is known.
	Age(group, database string) (age time.Duration, ok bool)
}
