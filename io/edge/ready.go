package edge

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"coltsfootloft/platform"
)

const (
	// judgeEvery is how often the host judges itself.
	judgeEvery = 250 * time.Millisecond
	// steady is how long all must be well before the host is ready again.
	steady = 500 * time.Millisecond
	// aloneAfter is how long the store may be silent before the host takes
	// itself for cut off, unless others miss the store too: two renewals and
	// their time-outs.
	aloneAfter = 1200 * time.Millisecond
	// othersSilent is how long the keeper of rates may be silent before the host
	// can't tell any more whether others miss the store.
	othersSilent = 1500 * time.Millisecond
	// headerTimeout bounds a request of the balancer.
	headerTimeout = 2 * time.Second
)

// judge decides again and again whether the host takes callers, and sends its idle
// sessions elsewhere when it does not.
func (e *Edge) judge(ctx context.Context) {
	t := time.NewTicker(judgeEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.judgeOnce()
		}
	}
}

func (e *Edge) judgeOnce() {
	why := e.trouble()
	if why == settingsTooOld || why == cutOff {
		e.server.CloseIdle()
	}
	now := e.clock.Elapsed()
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.ready
	switch {
	case why != "":
		e.ready = false
		e.goodFrom = now + steady
	case !e.ready && now >= e.goodFrom:
		e.ready = true
	}
	if e.ready != before || why != e.unready {
		e.unready = why
		e.log.Info("readiness", "ready", e.ready, "why", why, "lease_left", e.tenure.Left().String(), "reaches_store", e.mirror.Reaches())
	}
}

// The troubles in which sessions are better off elsewhere: no key is served, or no
// primary soon, while other hosts serve both.
const (
	settingsTooOld = "settings too old"
	cutOff         = "cut off from the store"
)

// trouble is why the host should take no callers, or empty.
func (e *Edge) trouble() string {
	select {
	case <-e.leaving:
		return "leaving"
	default:
	}
	if e.mirror.View().Catalog == nil {
		return "no settings"
	}
	now := e.clock.Elapsed()
	if !e.mirror.Horizon().Covers(now, e.keyLimit()) {
		return settingsTooOld
	}
	silent, theirs := e.quota.First().Keeper()
	if e.storeAge() > aloneAfter && (silent > othersSilent || theirs < aloneAfter) {
		return cutOff
	}
	return ""
}

// isReady reports whether the host takes callers.
func (e *Edge) isReady() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ready
}

// serveReady answers the balancer and serves the metrics.
func (e *Edge) serveReady(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !e.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		e.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", e.settings.Ready)
	if err != nil {
		return errors.Wrap(err, "ready address")
	}
	server := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "ready address")
}
