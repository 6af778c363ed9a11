package feed

import (
	"context"
	"slices"
	"time"

	"coltsfootloft/core/rank"
)

const (
	// headWait is the wait of a watch of the head key. It bounds the time until a
	// relay notices that it can reach the store again.
	headWait = 2 * time.Second
	// listWait is the wait of a watch of all settings.
	listWait = 30 * time.Second
	// watchMargin is how much longer than its wait a watch may take.
	watchMargin = time.Second
	// listTimeout bounds a listing of all settings.
	listTimeout = 5 * time.Second
	// listPeriod is how often all settings are listed while the head key is
	// unchanged.
	listPeriod = 5 * time.Minute
	// callSpacing is the pause after a successful watch; it limits the rate of calls
	// to the store.
	callSpacing = 100 * time.Millisecond
	// firstRetry and lastRetry are the shortest and longest pause after a failed
	// call. The pause doubles with each failure.
	firstRetry = 200 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// relayLoop watches the store whenever this host is a relay of its domain.
func (f *Feed) relayLoop(ctx context.Context) {
	t := f.Clock.NewTicker(rolePeriod)
	defer t.Stop()
	f.awaitPeers(ctx)
	var stop context.CancelFunc
	done := make(chan struct{})
	close(done)
	for ctx.Err() == nil {
		isRelay := slices.Contains(f.relaysOf(f.Members.Self().Domain()), f.Members.Self().Name())
		if isRelay && stop == nil {
			var watchCtx context.Context
			watchCtx, stop = context.WithCancel(ctx)
			done = make(chan struct{})
			go func() {
				defer close(done)
				f.watch(watchCtx)
			}()
		}
		if !isRelay && stop != nil {
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

// awaitPeers waits until the settings have come from another host, at most
// initialWait. It returns at once if this host has settings or knows no other host.
func (f *Feed) awaitPeers(ctx context.Context) {
	if len(f.Members.Alive()) <= 1 || f.Revision() > 0 {
		return
	}
	select {
	case <-f.Changed():
	case <-f.Clock.After(initialWait):
	case <-ctx.Done():
	}
}

// relaysOf returns the relays of a failure domain, the highest rank first.
func (f *Feed) relaysOf(domain string) []string {
	order := f.order(domain)
	return order[:min(relaysPerDomain, len(order))]
}

// order returns the names of the live entry hosts of a failure domain, by rank.
func (f *Feed) order(domain string) []string {
	var names []string
	for _, h := range f.Members.Alive() {
		if h.Domain() == domain && !h.Upstream() {
			names = append(names, h.Name())
		}
	}
	return rank.Order("feed/"+domain, names)
}

// watcher is the state of a relay's watch on the store.
type watcher struct {
	// after is the store's index at the last watch whose result was applied.
	after uint64
	// lastList is the time of the last listing of all settings.
	lastList time.Time
	// retry is the pause after the next failure.
	retry time.Duration
}

// watch watches the store until ctx ends.
func (f *Feed) watch(ctx context.Context) {
	f.Log.Info("watching the store as a settings relay", "domain", f.Members.Self().Domain())
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
		f.Log.V(1).Info("could not read settings from the store", "reason", err.Error())
		f.pause(ctx, w.retry)
		w.retry = min(2*w.retry, lastRetry)
	}
}

// watchOnce makes one watch call. With a head key, it then lists the settings if the
// key has changed or listPeriod has passed since the last listing.
func (f *Feed) watchOnce(ctx context.Context, w *watcher) error {
	wait := headWait
	if f.HeadKey == "" {
		wait = listWait
	}
	watchCtx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	f.counts.calls.Inc()
	list, index, err := f.Store.Watch(watchCtx, f.Prefix+f.HeadKey, w.after, wait)
	if err != nil {
		return err
	}
	changed := index != w.after
	if f.HeadKey == "" {
		w.after = index
		f.applyList(list, index)
		return nil
	}
	if !changed && f.Clock.Since(w.lastList) < listPeriod {
		return nil
	}
	if err := f.list(ctx); err != nil {
		return err
	}
	w.after = index
	w.lastList = f.Clock.Now()
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
	f.applyList(list, index)
	return nil
}
