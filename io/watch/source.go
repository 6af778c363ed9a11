package watch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/rank"
)

const (
	// reconcilePeriod is the time between checks of which host observes each
	// group.
	reconcilePeriod = 200 * time.Millisecond
	// requestPeriod is how long a host continues to observe a group after the
	// last request of another host for it.
	requestPeriod = 5 * time.Second
	// avoidFor is how long an observer that didn't answer is avoided.
	avoidFor = 2 * time.Second
)

// sources are the running observations of this host and its feeds from other
// hosts. Only Run uses it.
type sources struct {
	watcher      *Watcher
	observations map[*group]func()
	feeds        map[string]*feed
	// candidates are the hosts among which observers were chosen.
	candidates []string
	// observers caches the first host by rank for each group.
	observers map[*group]string
}

// reconcile starts and stops observations and feeds to match the settings, the
// rank of hosts and the requests of other hosts.
func (s *sources) reconcile(ctx context.Context) {
	w := s.watcher
	w.mu.Lock()
	groups := slices.Collect(maps.Values(w.groups))
	w.mu.Unlock()
	if candidates := w.candidates(); s.observers == nil || len(s.observers) > len(groups) || !slices.Equal(candidates, s.candidates) {
		s.candidates = candidates
		s.observers = make(map[*group]string, len(groups))
	}
	observed := make(map[*group]bool, len(groups))
	polled := make(map[string][]*group)
	for _, g := range groups {
		host := s.observer(g)
		g.follow(host)
		if host == "" {
			observed[g] = true
		} else {
			polled[host] = append(polled[host], g)
		}
		w.fetchBarriers(g)
		w.pollUrgently(g)
	}
	for g, stop := range s.observations {
		if !observed[g] {
			stop()
			delete(s.observations, g)
			groupsObserved.Dec()
		}
	}
	for g := range observed {
		if s.observations[g] == nil {
			s.observations[g] = w.observe(ctx, g)
			groupsObserved.Inc()
		}
	}
	s.updateFeeds(ctx, polled)
}

// updateFeeds starts, stops and changes the feeds from other hosts; polled
// lists the groups to poll of each host.
func (s *sources) updateFeeds(ctx context.Context, polled map[string][]*group) {
	for host, f := range s.feeds {
		if polled[host] == nil {
			f.stop()
			delete(s.feeds, host)
		}
	}
	for host, groups := range polled {
		f := s.feeds[host]
		if f == nil {
			f = newFeed(ctx, s.watcher, host)
			s.feeds[host] = f
		}
		f.setGroups(groups)
	}
}

func (s *sources) stop() {
	for _, stop := range s.observations {
		stop()
	}
	for _, f := range s.feeds {
		f.stop()
	}
}

// candidates returns the hosts of this failure domain that may observe for it,
// including this one, in order of name.
func (w *Watcher) candidates() []string {
	all := []string{w.Self.Name()}
	if w.Members == nil || w.Peers == nil {
		return all
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock().Now()
	for _, h := range w.Members.Alive() {
		if h.Domain() == w.Self.Domain() && h.Name() != w.Self.Name() && !now.Before(w.avoidUntil[h.Name()]) {
			all = append(all, h.Name())
		}
	}
	slices.Sort(all)
	return all
}

// observer returns the host that this host takes the readings of g from. It is
// empty if this host observes g itself.
func (s *sources) observer(g *group) string {
	if g.recentlyRequested() {
		return ""
	}
	first, ok := s.observers[g]
	if !ok {
		first = rank.Order("watch/"+g.settings.Name(), s.candidates)[0]
		s.observers[g] = first
	}
	if first == s.watcher.Self.Name() {
		return ""
	}
	return first
}

// avoid excludes a host from the candidates for a while.
func (w *Watcher) avoid(host string, cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.avoidUntil == nil {
		w.avoidUntil = make(map[string]time.Time)
	}
	now := w.clock().Now()
	if !now.Before(w.avoidUntil[host]) {
		observersLost.Inc()
		w.Log.Info("observer passed over", "host", host, "cause", cause)
	}
	w.avoidUntil[host] = now.Add(avoidFor)
	w.wakeRun()
}

// observe starts to observe every database of g. The returned function stops it
// and waits until it has ended.
func (w *Watcher) observe(ctx context.Context, g *group) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for _, u := range g.settings.Upstreams() {
		d := w.Open(u)
		log := w.Log.WithValues("group", g.settings.Name(), "database", u.Name())
		wait.Go(func() {
			var tasks sync.WaitGroup
			tasks.Go(func() { g.poll(ctx, log, u.Name(), d) })
			tasks.Go(func() { g.probe(ctx, u.Name(), d) })
			tasks.Wait()
			closeDatabase(d)
		})
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// closeDatabase closes the connections of a database if it has a method Close.
func closeDatabase(d coltsfootloft.Database) {
	if c, ok := d.(interface{ Close() }); ok {
		c.Close()
	}
}
