package elect

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"coltsfootloft/core/elect"
)

// followLimit is how long a replica may take to answer that it follows.
const followLimit = 500 * time.Millisecond

// lead makes replicas that came back follow the primary.
func (k *keeper) lead(ctx context.Context, need elect.Need) {
	for _, u := range k.group.Upstreams() {
		if !slices.Contains(need.Databases(), u.Name()) {
			continue
		}
		d := k.duty.Open(u)
		c, cancel := clockwork.WithTimeout(ctx, k.duty.clock(), followLimit)
		r, err := d.Follow(c, need.Term(), need.Primary())
		cancel()
		k.record("replica told to follow", "database", u.Name(), "primary", need.Primary(), "term", need.Term().String(),
			"received", position(r.Received()), "error", err)
		shut(d)
	}
}
