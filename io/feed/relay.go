package feed

import (
	"context"
	"slices"
	"time"

	"coltsfootloft/core/rank"
)

const (
	// headWait is how long a watch of the head lasts. It bounds how late a relay
	// notices that its path to the store is back.
	headWait = 2 * time.Second
	// listWait is how long a watch of all settings lasts.
	listWait = 30 * time.Second
	// watchMargin is how much longer than its wait a watch may take.
	watchMargin = time.Second
	// listTimeout bounds a listing.
	listTimeout = 5 * time.Second
	// listPeriod is how often all settings are listed though the head stands.
	listPeriod = 5 * time.Minute
	// callSpacing is the least time between two calls to the store.
	callSpacing = 100 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call.
	firstRetry = 200 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// relayDuty watches the store while this host is a relay.
func (f *Feed) relayDuty(ctx context.Context) {
	t := f.Clock.NewTicker(rolePeriod)
	defer t.Stop()
	f.awaitPeers(ctx)
	var stop context.CancelFunc
	done := make(chan struct{})
	close(done)
	for ctx.Err() == nil {
		relay := slices.Contains(f.relaysOf(f.Members.Self().Domain()), f.Members.Self().Name())
		if relay && stop == nil {
			var watching context.Context
			watching, stop = context.WithCancel(ctx)
			done = make(chan struct{})
			go func() {
				defer close(done)
				f.watch(watching)
			}()
		}
		if !relay && stop != nil {
			stop()
			stop = nil
			<-done
		}
		select {
		case <-t.Chan():
		case <-ctx.Done():
		}
	}
	if stop != nil {
		stop()
	}
	<-done
}

// awaitPeers gives other hosts the time to answer first.
func (f *Feed) awaitPeers(ctx context.Context) {
	if len(f.Members.Alive()) <= 1 || f.Revision() > 0 {
		return
	}
	select {
	case <-f.Changed():
	case <-f.Clock.After(startWait):
	case <-ctx.Done():
	}
}

// relaysOf returns the hosts that watch the store for a domain.
func (f *Feed) relaysOf(domain string) []string {
	order := f.order(domain)
	return order[:min(relays, len(order))]
}

// order returns the live hosts of a domain, by rank.
func (f *Feed) order(domain string) []string {
	var names []string
	for _, h := range f.Members.Alive() {
		if h.Domain() == domain && !h.Upstream() {
			names = append(names, h.Name())
		}
	}
	return rank.Order("feed/"+domain, names)
}

// watcher is the state of one relay's watch.
type watcher struct {
	after  uint64
	listed time.Time
	retry  time.Duration
}

// watch follows the store until ctx ends.
func (f *Feed) watch(ctx context.Context) {
	f.Log.Info("relay of settings", "domain", f.Members.Self().Domain())
	w := &watcher{retry: firstRetry}
	for ctx.Err() == nil {
		err := f.watchOnce(ctx, w)
		if err == nil {
			w.retry = firstRetry
			f.pause(ctx, callSpacing)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.counts.failed.Inc()
		f.Log.V(1).Info("settings not read", "reason", err.Error())
		f.pause(ctx, w.retry)
		w.retry = min(2*w.retry, lastRetry)
	}
}

// watchOnce makes one waiting call, and a listing if anything has moved.
func (f *Feed) watchOnce(ctx context.Context, w *watcher) error {
	wait := headWait
	if f.Head == "" {
		wait = listWait
	}
	call, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	f.counts.calls.Inc()
	list, index, err := f.Store.Watch(call, f.Prefix+f.Head, w.after, wait)
	if err != nil {
		return err
	}
	moved := index != w.after
	if f.Head == "" {
		w.after = index
		f.takeList(list, index)
		return nil
	}
	if !moved && f.Clock.Since(w.listed) < listPeriod {
		return nil
	}
	if err := f.list(ctx); err != nil {
		return err
	}
	w.after = index
	w.listed = f.Clock.Now()
	return nil
}

func (f *Feed) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	f.counts.calls.Inc()
	list, index, err := f.Store.List(ctx, f.Prefix)
	if err != nil {
		return err
	}
	f.takeList(list, index)
	return nil
}
