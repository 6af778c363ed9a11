package member

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"coltsfootloft/core/gossip"
)

// counters are the view's metrics.
type counters struct {
	suspected    *metrics.Counter
	polls        *metrics.Counter
	pollFailures *metrics.Counter
	exchanges    *metrics.Counter
}

func newCounters(set *metrics.Set, hosts func(gossip.Status) int) counters {
	if set == nil {
		set = metrics.NewSet()
	}
	for _, s := range []gossip.Status{gossip.Alive, gossip.Suspect, gossip.Dead} {
		set.GetOrCreateGauge(fmt.Sprintf("coltsfootloft_hosts{status=%q}", s), func() float64 { return float64(hosts(s)) })
	}
	return counters{
		suspected:    set.GetOrCreateCounter("coltsfootloft_hosts_suspected_total"),
		polls:        set.GetOrCreateCounter("coltsfootloft_host_list_store_calls_total"),
		pollFailures: set.GetOrCreateCounter("coltsfootloft_host_list_store_failures_total"),
		exchanges:    set.GetOrCreateCounter("coltsfootloft_hosts_whole_exchanges_total"),
	}
}

// countHosts returns the number of hosts with a status, without upstreams.
func (v *View) countHosts(s gossip.Status) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	n := 0
	for _, m := range v.table.Members() {
		if m.Status() == s && !m.Record().Upstream() {
			n++
		}
	}
	return n
}
