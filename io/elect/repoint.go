package elect

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"coltsfootloft/core/elect"
)

// followTimeout bounds the answer of a replica that is told to follow.
const followTimeout = 500 * time.Millisecond

// repointReplicas makes replicas that don't follow the primary follow it, such
// as those that have come back.
func (m *monitor) repointReplicas(ctx context.Context, need elect.Need) {
	for _, u := range m.group.Upstreams() {
		if !slices.Contains(need.Databases(), u.Name()) {
			continue
		}
		d := m.elector.Open(u)
		callCtx, cancel := clockwork.WithTimeout(ctx, m.elector.clock(), followTimeout)
		r, err := d.Follow(callCtx, need.Term(), need.Primary())
		cancel()
		m.record("replica told to follow", "database", u.Name(), "primary", need.Primary(), "term", need.Term().String(),
			"received", formatPosition(r.Received()), "error", err)
		closeDatabase(d)
	}
}
