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
	// reconcilePeriod is how often the choice of observers is looked at.
	reconcilePeriod = 200 * time.Millisecond
	// demandPeriod is how long a host goes on observing a group after another
	// host has asked for it.
	demandPeriod = 5 * time.Second
	// blamePeriod is how long an observer that didn't answer is passed over.
	blamePeriod = 2 * time.Second
)

// sources are the running observations of this host and its polls of others. Only
// Run uses it.
type sources struct {
	watcher *Watcher
	direct  map[*group]func()
	feeds   map[string]*feed
	// mates are the hosts that the first in rank was chosen from.
	mates []string
	first map[*group]string
}

// reconcile starts and stops observation and feeds as settings, rank and demand
// want it.
func (s *sources) reconcile(ctx context.Context) {
	w := s.watcher
	w.mu.Lock()
	groups := slices.Collect(maps.Values(w.groups))
	w.mu.Unlock()
	if mates := w.mates(); s.first == nil || len(s.first) > len(groups) || !slices.Equal(mates, s.mates) {
		s.mates = mates
		s.first = make(map[*group]string, len(groups))
	}
	direct := make(map[*group]bool, len(groups))
	polled := make(map[string][]*group)
	for _, g := range groups {
		host := s.observer(g)
		g.follow(host)
		if host == "" {
			direct[g] = true
		} else {
			polled[host] = append(polled[host], g)
		}
		w.fetch(g)
		w.rush(g)
	}
	for g, stop := range s.direct {
		if !direct[g] {
			stop()
			delete(s.direct, g)
			groupsObserved.Dec()
		}
	}
	for g := range direct {
		if s.direct[g] == nil {
			s.direct[g] = w.observe(ctx, g)
			groupsObserved.Inc()
		}
	}
	s.feed(ctx, polled)
}

// feed starts, stops and changes the polls of other hosts.
func (s *sources) feed(ctx context.Context, polled map[string][]*group) {
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
		f.poll(groups)
	}
}

func (s *sources) stop() {
	for _, stop := range s.direct {
		stop()
	}
	for _, f := range s.feeds {
		f.stop()
	}
}

// mates returns the hosts of this failure domain that may observe for it, this one
// included.
func (w *Watcher) mates() []string {
	all := []string{w.Self.Name()}
	if w.Members == nil || w.Peers == nil {
		return all
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock().Now()
	for _, h := range w.Members.Alive() {
		if h.Domain() == w.Self.Domain() && h.Name() != w.Self.Name() && !now.Before(w.blamed[h.Name()]) {
			all = append(all, h.Name())
		}
	}
	slices.Sort(all)
	return all
}

// observer returns the host whose readings of g this host takes, empty if its own.
func (s *sources) observer(g *group) string {
	if g.demanded() {
		return ""
	}
	first, ok := s.first[g]
	if !ok {
		first = rank.Order("watch/"+g.settings.Name(), s.mates)[0]
		s.first[g] = first
	}
	if first == s.watcher.Self.Name() {
		return ""
	}
	return first
}

// blame passes a host over for a while.
func (w *Watcher) blame(host string, cause error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.blamed == nil {
		w.blamed = make(map[string]time.Time)
	}
	now := w.clock().Now()
	if !now.Before(w.blamed[host]) {
		observersLost.Inc()
		w.Log.Info("observer passed over", "host", host, "cause", cause)
	}
	w.blamed[host] = now.Add(blamePeriod)
	w.rouse()
}

// observe starts the observation of every database of g and returns what ends it.
func (w *Watcher) observe(ctx context.Context, g *group) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for _, u := range g.settings.Upstreams() {
		d := w.Open(u)
		log := w.Log.WithValues("group", g.settings.Name(), "database", u.Name())
		wait.Go(func() {
			var duties sync.WaitGroup
			duties.Go(func() { g.poll(ctx, log, u.Name(), d) })
			duties.Go(func() { g.probe(ctx, u.Name(), d) })
			duties.Wait()
			shut(d)
		})
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// shut ends the connections of a database that has any.
func shut(d coltsfootloft.Database) {
	if c, ok := d.(interface{ Close() }); ok {
		c.Close()
	}
}
