package member

import (
	"context"
	"slices"
	"time"

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
	// listTimeout bounds a poll.
	listTimeout = 2 * time.Second
	// collectTimeout bounds collecting the revisions of a domain.
	collectTimeout = 3 * time.Second
	// collectCalls is how many hosts are asked at once.
	collectCalls = 16
)

// listDuty polls the platform's list while this host is one of those that do, and
// until it has read it once.
func (v *View) listDuty(ctx context.Context) {
	period := listPeriod
	for {
		if !v.listed || slices.Contains(v.relaysOf(v.Host.Domain()), v.Host.Name()) {
			period = v.poll(ctx, period)
		}
		select {
		case <-v.Clock.After(period):
		case <-ctx.Done():
			return
		}
	}
}

// poll reads the list once and returns the time until the next poll.
func (v *View) poll(ctx context.Context, period time.Duration) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	hosts, err := v.Store.Hosts(ctx)
	if err != nil {
		v.Log.V(1).Info("host list not read", "reason", err.Error())
		return min(2*period, maxListPeriod)
	}
	v.listed = true
	v.change(func(t *beat.Table, now time.Time) bool { return t.List(hosts, now) })
	return listPeriod
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
