package host

import (
	"context"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
	"coltsfootloft/io/caller"
)

const (
	// retireInterval is how often the host checks for failed databases.
	retireInterval = 100 * time.Millisecond
	// silentGrace is how long a request may wait for the answer of a database that
	// has stopped answering.
	silentGrace = time.Second
	// supersededGrace is how long a request may wait for the answer of a primary
	// that a newer term has superseded. It is short because such a primary can't
	// have a commit acknowledged any more.
	supersededGrace = 150 * time.Millisecond
)

// retire closes connections to databases that have stopped answering and to
// superseded primaries, until ctx ends. A silent database may never answer, and a
// commit on a superseded primary is never acknowledged.
func (h *Host) retire(ctx context.Context) error {
	t := h.Clock.NewTicker(retireInterval)
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
		silence, hasAnswered := h.Watch.SilentFor(g.Name(), u.Name())
		isSilent := hasAnswered && silence > caller.MaxSilence
		isSuperseded := ok && known && r.Role() == coltsfootloft.Primary && r.Received().Term().Compare(term) < 0
		if !isSilent && !isSuperseded {
			continue
		}
		p, found := h.pools.get(u.Name())
		if !found {
			continue
		}
		grace := silentGrace
		if isSuperseded {
			grace = supersededGrace
		}
		if n := p.AbortOverdue(grace); n > 0 {
			h.Log.Info("closed connections to a failed database", "upstream", u.Name(), "connections", n, "silent", isSilent, "term over", isSuperseded)
		}
	}
}
