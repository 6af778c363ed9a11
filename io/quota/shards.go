package quota

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
)

// accountsPerKeeper is the number of client accounts for each further keeper. A
// deployment of 8 accounts has one keeper; 100 accounts are divided among five, so that
// no small host is a keeper of more than it can answer for.
const accountsPerKeeper = 24

// Shards divides the client accounts among several keepers by hash. Its fields are set
// before use.
type Shards struct {
	// Limiters are the shards, one for each possible keeper.
	Limiters []*Limiter
	// Mirror is the host's copy of the store, with the accounts.
	Mirror *mirror.Mirror
}

// Active returns how many of Limiters are in use, from the number of accounts.
func (s *Shards) Active() int {
	c := s.Mirror.View().Settings
	if c == nil {
		return 1
	}
	return min(1+len(c.Accounts)/accountsPerKeeper, len(s.Limiters))
}

func (s *Shards) forAccount(account string) *Limiter {
	return s.Limiters[xxhash.Sum64String(account)%uint64(s.Active())]
}

// Admit takes one operation out of the account's rate, and reports whether it could. It
// waits for the rate until ctx ends. The operation is to be sent by the time until.
func (s *Shards) Admit(ctx context.Context, account string) (until time.Duration, ok bool) {
	return s.forAccount(account).Admit(ctx, account)
}

// Send reports whether an operation that was admitted until a time may be sent now. If the time has
// passed, it takes another one, without waiting, and returns the time of that. The operation is no
// longer held.
func (s *Shards) Send(account string, until time.Duration) (time.Duration, bool) {
	return s.forAccount(account).Send(account, until)
}

// Hold records that an operation that was admitted until a time could not be sent, after Send.
func (s *Shards) Hold(account string, until time.Duration) {
	s.forAccount(account).Hold(account, until)
}

// Return returns an operation that is held and was not sent to any database to the account's rate.
func (s *Shards) Return(account string, until time.Duration) {
	s.forAccount(account).Return(account, until)
}

// IsNew reports whether the host has not received a grant for the account yet.
func (s *Shards) IsNew(account string) bool { return s.forAccount(account).IsNew(account) }

// AwaitKeeper waits until the keeper of the account's rate has answered this host for the first time,
// or until ctx ends.
func (s *Shards) AwaitKeeper(ctx context.Context, account string) {
	s.forAccount(account).AwaitKeeper(ctx)
}

// First returns the shard that is always in use. The host compares its own connection to
// the store with that of this shard's keeper.
func (s *Shards) First() *Limiter { return s.Limiters[0] }

// AwaitActive waits until a shard is in use; it returns false if ctx ends first.
func (s *Shards) AwaitActive(ctx context.Context, part int) bool {
	for s.Active() <= part {
		changed := s.Mirror.Changed()
		if !pause.Until(ctx, changed, maxBucketWait) {
			return false
		}
	}
	return true
}
