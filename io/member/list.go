package member

import (
	"context"
	"slices"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/gossip"
	"coltsfootloft/core/rank"
)

const (
	// listRelays is the number of hosts of a failure domain that poll the
	// platform's list.
	listRelays = 2
	// listPeriod is the time between polls.
	listPeriod = time.Second
	// maxListPeriod is the maximum time between polls while they fail.
	maxListPeriod = 4 * time.Second
	// listTimeout bounds a poll, in addition to listWait.
	listTimeout = 2 * time.Second
	// listWait is how long a poll waits for a change of the list.
	listWait = 10 * time.Second
	// collectTimeout bounds a request for the revisions of a failure domain.
	collectTimeout = 3 * time.Second
	// maxCollectCalls is the number of hosts that are asked for revisions
	// concurrently.
	maxCollectCalls = 16
)

// hostWatcher is a store that can wait for a change of the list, so that the
// platform need not send the whole list every second.
type hostWatcher interface {
	WatchHosts(ctx context.Context, after uint64, wait time.Duration) ([]coltsfootloft.HostRecord, uint64, error)
}

// runListPolls polls the platform's list until it has been read once, and from
// then on while this host is one of those that poll it for their failure
// domain.
func (v *View) runListPolls(ctx context.Context) {
	period := listPeriod
	index := uint64(0)
	for {
		if !v.listRead || slices.Contains(v.relays(v.Host.Domain()), v.Host.Name()) {
			index, period = v.poll(ctx, index, period)
		}
		select {
		case <-v.Clock.After(period):
		case <-ctx.Done():
			return
		}
	}
}

// poll reads the list once, and first waits for a change if the store supports
// that. It returns the index of the list and the time until the next poll.
func (v *View) poll(ctx context.Context, index uint64, period time.Duration) (uint64, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout+listWait)
	defer cancel()
	v.counts.polls.Inc()
	var hosts []coltsfootloft.HostRecord
	var err error
	if w, ok := v.Store.(hostWatcher); ok {
		hosts, index, err = w.WatchHosts(ctx, index, listWait)
	} else {
		hosts, err = v.Store.Hosts(ctx)
	}
	if err != nil {
		v.counts.pollFailures.Inc()
		v.Log.V(1).Info("host list not read", "reason", err.Error())
		return 0, min(2*period, maxListPeriod)
	}
	first := !v.listRead
	v.listRead = true
	v.update(func(t *gossip.Table, now time.Time) bool {
		changed := t.MergeList(hosts, now)
		if first {
			t.MarkAllSent()
		}
		return changed
	})
	return index, listPeriod
}

// relays returns the hosts that poll the list for a failure domain and collect
// its revisions.
func (v *View) relays(domain string) []string {
	var names []string
	for _, h := range v.Alive() {
		if h.Domain() == domain {
			names = append(names, h.Name())
		}
	}
	order := rank.Order("list/"+domain, names)
	return order[:min(listRelays, len(order))]
}
