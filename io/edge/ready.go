package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"coltsfootloft/io/bound"
	"coltsfootloft/platform"
)

const (
	// readinessInterval is how often the host checks its readiness.
	readinessInterval = 250 * time.Millisecond
	// readyDelay is how long all conditions must hold before the host is ready again.
	readyDelay = 500 * time.Millisecond
	// storeSilenceLimit is how long the store may be silent before the host
	// considers itself cut off, unless other hosts can't reach the store either: two
	// renewals and their time-outs.
	storeSilenceLimit = 1200 * time.Millisecond
	// keeperSilenceLimit is how long the quota keeper, the holder of the quota duty,
	// may be silent before the host can no longer tell whether other hosts reach the
	// store. A keeper whose lease has ended still answers; after lostKeeperLimit without
	// a keeper the host can't tell either. That is one lease and a second to choose a keeper.
	keeperSilenceLimit = 1500 * time.Millisecond
	lostKeeperLimit    = 3 * time.Second
	// headerTimeout bounds reading the header of a balancer's request.
	headerTimeout = 2 * time.Second
	// responseTimeout bounds writing an answer, of which the metrics are the longest.
	responseTimeout = 10 * time.Second
)

// checkReadinessLoop checks the readiness of the host every readinessInterval until ctx
// ends.
func (e *Edge) checkReadinessLoop(ctx context.Context) {
	t := time.NewTicker(readinessInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if e.storeAge() > storeSilenceLimit {
				e.quota.First().Inquire(ctx)
			}
			e.checkReadiness()
		}
	}
}

// checkReadiness updates whether the host takes callers. It closes idle sessions if
// their callers are better served by another host.
func (e *Edge) checkReadiness() {
	reason := e.notReadyReason()
	if reason == settingsTooOld || reason == cutOff {
		e.server.CloseIdle()
	}
	now := e.clock.Elapsed()
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.ready
	switch {
	case reason != "":
		e.ready = false
		e.readyFrom = now + readyDelay
	case !e.ready && now >= e.readyFrom:
		e.ready = true
	}
	if e.ready != before || reason != e.unreadyReason {
		e.unreadyReason = reason
		e.log.Info("readiness", "ready", e.ready, "why", reason, "lease_left", e.lease.Left().String(), "reaches_store", e.mirror.StoreReachable())
	}
}

// Reasons for which sessions are closed too: the host accepts no keys, or will soon not be
// able to use primaries, while other hosts can do both.
const (
	settingsTooOld = "settings too old"
	cutOff         = "cut off from the store"
)

// notReadyReason returns why the host should not take callers, or "" if it should.
func (e *Edge) notReadyReason() string {
	select {
	case <-e.leaving:
		return "leaving"
	default:
	}
	if e.mirror.View().Settings == nil {
		return "no settings"
	}
	if !e.mirror.IsConfirmed() {
		return settingsTooOld
	}
	if e.isCutOff() {
		return cutOff
	}
	return ""
}

// isCutOff reports whether the store answers other hosts but not this one, or whether the host
// can't tell: no keeper answers it, or one to which most hosts do not report.
func (e *Edge) isCutOff() bool {
	hosts := len(e.mirror.View().Hosts)
	if e.storeAge() <= storeSilenceLimit || hosts <= 1 {
		return false
	}
	n := e.quota.First().StoreNews()
	if n.Silence > keeperSilenceLimit || n.KeeperSilence > lostKeeperLimit || n.Reporters > 0 && 2*n.Reporters < hosts {
		return true
	}
	first, last, ok := e.lease.Unanswered()
	if !ok {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	alone := e.judge.IsAlone(first, last, n.Reached)
	if !alone && e.judge.Suspects() {
		e.lease.RenewNow()
	}
	return alone
}

// isReady reports whether the host takes callers.
func (e *Edge) isReady() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ready
}

// serveReady answers the balancer and serves the metrics until ctx ends.
func (e *Edge) serveReady(ctx context.Context, listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", bound.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		e.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})))
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       headerTimeout,
		WriteTimeout:      responseTimeout,
	}
	bound.Limit(server)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	_ = server.Serve(&bound.Listener{Listener: listener}) // ends only once the listener is closed
}
