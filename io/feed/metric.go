package feed

import "github.com/VictoriaMetrics/metrics"

// counters holds the feed's counters.
type counters struct {
	// fromStore and fromHost count the revisions applied, by their source.
	fromStore *metrics.Counter
	fromHost  *metrics.Counter
	// calls counts the calls to the store, and failed the failures to read it.
	calls  *metrics.Counter
	failed *metrics.Counter
	// dropped counts pushes dropped because the queue was full.
	dropped *metrics.Counter
}

func newCounters(set *metrics.Set, revision func() uint64) counters {
	if set == nil {
		set = metrics.NewSet()
	}
	set.GetOrCreateGauge("coltsfootloft_settings_revision", func() float64 { return float64(revision()) })
	return counters{
		fromStore: set.GetOrCreateCounter(`coltsfootloft_settings_taken_total{from="store"}`),
		fromHost:  set.GetOrCreateCounter(`coltsfootloft_settings_taken_total{from="host"}`),
		calls:     set.GetOrCreateCounter("coltsfootloft_settings_store_calls_total"),
		failed:    set.GetOrCreateCounter("coltsfootloft_settings_store_failures_total"),
		dropped:   set.GetOrCreateCounter("coltsfootloft_settings_pushes_dropped_total"),
	}
}
