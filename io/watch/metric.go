package watch

import "github.com/VictoriaMetrics/metrics"

var (
	pollsFailed    = metrics.NewCounter("coltsfootloft_watch_poll_failures_total")
	readingsTaken  = metrics.NewCounter("coltsfootloft_watch_readings_total")
	relayPolls     = metrics.NewCounter("coltsfootloft_watch_relay_polls_total")
	observersLost  = metrics.NewCounter("coltsfootloft_watch_observers_passed_over_total")
	barriersAsked  = metrics.NewCounter("coltsfootloft_watch_barriers_total")
	barrierProbes  = metrics.NewCounter("coltsfootloft_watch_barrier_probes_total")
	heldUnknown    = metrics.NewCounter("coltsfootloft_watch_held_unknown_total")
	groupsObserved = metrics.NewCounter("coltsfootloft_watch_groups_observed")
)
