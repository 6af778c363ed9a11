package quota

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
)

// accountsPerKeeper is how many client accounts one keeper has at the most: with
// those of a deployment of today (8) one host keeps them all, and a hundred are
// divided among five, none of which a small host then can't answer.
const accountsPerKeeper = 24

// Shards divides the client accounts among several keepers by hash. Its fields are
// set before use.
type Shards struct {
	// Limiters are the host's parts, one for each keeper that there may be.
	Limiters []*Quota
	// Mirror has the accounts.
	Mirror *mirror.Mirror
}

// Active is how many of the parts are in use.
func (s *Shards) Active() int {
	c := s.Mirror.View().Catalog
	if c == nil {
		return 1
	}
	return min(1+len(c.Accounts)/accountsPerKeeper, len(s.Limiters))
}

func (s *Shards) part(account string) *Quota {
	return s.Limiters[xxhash.Sum64String(account)%uint64(s.Active())]
}

// Admit takes one operation out of the account's rate. It waits until ctx ends.
func (s *Shards) Admit(ctx context.Context, account string) bool {
	return s.part(account).Admit(ctx, account)
}

// Return gives back an operation that was admitted and sent to no database.
func (s *Shards) Return(account string) { s.part(account).Return(account) }

// IsNew reports whether the host has had no grant of the account yet.
func (s *Shards) IsNew(account string) bool { return s.part(account).IsNew(account) }

// First is the part that is always in use, whose keeper the host compares its own
// view of the store with.
func (s *Shards) First() *Quota { return s.Limiters[0] }

// AwaitActive waits until a part is in use; false if ctx ended before.
func (s *Shards) AwaitActive(ctx context.Context, part int) bool {
	for s.Active() <= part {
		changed := s.Mirror.Changed()
		if !pause.Until(ctx, changed, longest) {
			return false
		}
	}
	return true
}
