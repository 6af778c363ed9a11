package host

import (
	"context"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
	"coltsfootloft/io/caller"
)

const (
	// retirePeriod is how often connections to failed databases are looked for.
	retirePeriod = 100 * time.Millisecond
	// silentGrace is how long an answer from a silent database is waited for.
	silentGrace = time.Second
	// overGrace is how long an answer from a primary whose term is over is waited
	// for: it can't be an acknowledged commit any more.
	overGrace = 150 * time.Millisecond
)

// retire closes connections to databases that have gone silent, and to primaries
// whose term is over: their answers can't be trusted to come, and a commit there
// is never acknowledged.
func (h *Host) retire(ctx context.Context) error {
	t := h.Clock.NewTicker(retirePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.Chan():
		}
		for _, g := range h.current.Fleet().Groups() {
			h.retireGroup(g)
		}
	}
}

func (h *Host) retireGroup(g coltsfootloft.Group) {
	readings := h.Watch.Readings(g.Name())
	_, term, ok := quorum.Size(len(g.Upstreams())).Primary(readings)
	for _, u := range g.Upstreams() {
		r, known := readings[u.Name()]
		silence, heard := h.Watch.SilentFor(g.Name(), u.Name())
		isSilent := heard && silence > caller.SilenceBound
		isOver := ok && known && r.Role() == coltsfootloft.Primary && r.Received().Term().Compare(term) < 0
		if !isSilent && !isOver {
			continue
		}
		p, found := h.pools.get(u.Name())
		if !found {
			continue
		}
		grace := silentGrace
		if isOver {
			grace = overGrace
		}
		if n := p.Abort(grace); n > 0 {
			h.Log.Info("gave up on answers", "upstream", u.Name(), "connections", n, "silent", isSilent, "term over", isOver)
		}
	}
}
