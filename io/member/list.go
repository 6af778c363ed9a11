package member

import (
	"context"
	"slices"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/beat"
	"coltsfootloft/core/rank"
)

const (
	// listRelays is the number of hosts of a failure domain that poll the
	// platform's list.
	listRelays = 2
	// listPeriod is the time between polls.
	listPeriod = time.Second
	// maxListPeriod is that after polls that failed.
	maxListPeriod = 4 * time.Second
	// listTimeout bounds a poll, beside its wait.
	listTimeout = 2 * time.Second
	// listWait is how long a poll waits for a change of the list.
	listWait = 10 * time.Second
	// collectTimeout bounds collecting the revisions of a domain.
	collectTimeout = 3 * time.Second
	// collectCalls is how many hosts are asked at once.
	collectCalls = 16
)

// hostWatcher is a store whose list can be waited for, which saves the platform
// sending it whole each second.
type hostWatcher interface {
	WatchHosts(ctx context.Context, after uint64, wait time.Duration) ([]coltsfootloft.HostRecord, uint64, error)
}

// listDuty polls the platform's list while this host is one of those that do, and
// until it has read it once.
func (v *View) listDuty(ctx context.Context) {
	period := listPeriod
	seen := uint64(0)
	for {
		if !v.listed || slices.Contains(v.relaysOf(v.Host.Domain()), v.Host.Name()) {
			seen, period = v.poll(ctx, seen, period)
		}
		select {
		case <-v.Clock.After(period):
		case <-ctx.Done():
			return
		}
	}
}

// poll reads the list once, if it can be waited for once it has changed. It
// returns the index of the list and the time until the next poll.
func (v *View) poll(ctx context.Context, seen uint64, period time.Duration) (uint64, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout+listWait)
	defer cancel()
	v.counts.polls.Inc()
	var hosts []coltsfootloft.HostRecord
	var err error
	if w, ok := v.Store.(hostWatcher); ok {
		hosts, seen, err = w.WatchHosts(ctx, seen, listWait)
	} else {
		hosts, err = v.Store.Hosts(ctx)
	}
	if err != nil {
		v.counts.failed.Inc()
		v.Log.V(1).Info("host list not read", "reason", err.Error())
		return 0, min(2*period, maxListPeriod)
	}
	first := !v.listed
	v.listed = true
	v.change(func(t *beat.Table, now time.Time) bool {
		changed := t.MergeList(hosts, now)
		if first {
			t.Quiet()
		}
		return changed
	})
	return seen, listPeriod
}

// relaysOf returns the hosts that poll the list for a domain.
func (v *View) relaysOf(domain string) []string {
	var names []string
	for _, h := range v.Alive() {
		if h.Domain() == domain {
			names = append(names, h.Name())
		}
	}
	order := rank.Order("list/"+domain, names)
	return order[:min(listRelays, len(order))]
}
