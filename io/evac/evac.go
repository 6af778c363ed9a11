// Package evac takes a host off the databases of failure domains that operators evacuate: it reports
// which databases are closed to the host, closes the connections to them and ends the transactions
// there, and shows operators how far it is.
package evac

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"coltsfootloft"
	"coltsfootloft/core/evac"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
)

const (
	// recheck is how often connections to closed databases are looked for while some are in use.
	recheck = 50 * time.Millisecond
	// longest is the longest wait for a change of the store's copy.
	longest = time.Minute
)

// Guard applies the evacuations on one host. Its exported fields are set before use.
type Guard struct {
	// Mirror is the host's copy of the store.
	Mirror *mirror.Mirror
	// Clock is that of the Mirror.
	Clock coltsfootloft.Clock
	// EndTransactions ends the transactions of sessions and of other hosts at closed databases,
	// between statements.
	EndTransactions func()
	// CloseConnections closes unused connections to closed databases, and returns how many are in
	// use.
	CloseConnections func() (inUse int)
	// Log receives a line once nothing is open to an evacuated domain.
	Log logr.Logger
	// Metrics receives the number of evacuated domains.
	Metrics *metrics.Set

	done map[string]uint64 // revision of the evacuation that is done on this host, by domain
}

// IsClosed reports whether nothing may be sent to a database, since its domain is evacuated.
func (g *Guard) IsClosed(t dbpool.Target) bool {
	v := g.Mirror.View()
	return v.Evacuations.Enabled() && v.Evacuations.State(t.Domain, g.Clock.Elapsed()) == evac.Closed
}

// Run takes the host off closed databases until ctx ends. It returns at once if domains can't be
// evacuated.
func (g *Guard) Run(ctx context.Context) {
	g.expose()
	if !g.Mirror.View().Evacuations.Enabled() {
		return
	}
	g.done = make(map[string]uint64)
	for ctx.Err() == nil {
		changed := g.Mirror.Changed()
		pause.Until(ctx, changed, g.enforce())
	}
}

// expose shows the metrics of evacuations from the start.
func (g *Guard) expose() {
	g.Metrics.NewGauge("coltsfootloft_evacuated_domains", func() float64 {
		return float64(len(g.Mirror.EvacuatedDomains()))
	})
	for _, name := range []string{"evacuation_elsewhere", "evacuation_refused", "evacuation_aborted", "evacuations_partial"} {
		g.Metrics.GetOrCreateCounter("coltsfootloft_" + name + "_total")
	}
}

// enforce takes the host off closed databases, and returns when that is to be done again.
func (g *Guard) enforce() time.Duration {
	t := &g.Mirror.View().Evacuations
	now := g.Clock.Elapsed()
	wait := longest
	if next, ok := t.NextDeadline(now); ok {
		wait = min(wait, next-now)
	}
	var closed []string
	for _, domain := range t.Domains() {
		if t.State(domain, now) == evac.Closed {
			closed = append(closed, domain)
		}
	}
	if len(closed) == 0 {
		return wait
	}
	g.EndTransactions()
	if inUse := g.CloseConnections(); inUse > 0 {
		return min(wait, recheck)
	}
	for _, domain := range closed {
		e, _ := t.Get(domain)
		if g.done[domain] != e.Revision {
			g.done[domain] = e.Revision
			g.Log.Info("evacuation done on this host", "domain", domain, "revision", e.Revision)
		}
	}
	return min(wait, time.Second)
}
