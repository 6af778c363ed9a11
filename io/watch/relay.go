package watch

import (
	"context"
	"time"

	"coltsfootloft"
	"coltsfootloft/io/watch/watchpb"
)

const (
	// dutyName names the peer messages of this package.
	dutyName = "watch"
	// relayWait is how long an observer may hold a poll without news.
	relayWait = 350 * time.Millisecond
	// rushWait is how long it may hold one that callers wait for.
	rushWait = 250 * time.Millisecond
	// relaySlack is how much later than that the answer may arrive.
	relaySlack = 300 * time.Millisecond
	// gatherPeriod is how long an observer brings changes together for a poll that
	// no caller waits for.
	gatherPeriod = 100 * time.Millisecond
	// quietLimit is how recently a database must have been asked for its group to
	// be quiet. It is above the longest poll of a healthy one.
	quietLimit = time.Second
	// hurryPeriod is how long a host hurries after a caller began to wait.
	hurryPeriod = 100 * time.Millisecond
)

// relay is what a group knows of the observer that it takes readings from.
type relay struct {
	// host is empty while this host observes the group itself.
	host     string
	epoch    uint64
	sequence uint64
	demanded time.Time
	hurry    time.Time
	rushing  bool
	fetching bool
}

// follow sets the observer. What was seen of another one counts no more.
func (g *group) follow(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.relay.host == host {
		return
	}
	g.relay.host = host
	g.relay.epoch = 0
	g.relay.sequence = 0
}

// demand notes that another host asks for the group. It reports whether this host
// has yet to start observing it.
func (g *group) demand() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relay.demanded = g.clock.Now()
	return g.relay.host != ""
}

func (g *group) demanded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.relay.demanded
	return !t.IsZero() && g.clock.Since(t) < demandPeriod
}

// rush polls the observer in a hurry for as long as callers wait.
func (w *Watcher) rush(g *group) {
	g.mu.Lock()
	start := !g.relay.rushing && g.awaited()
	g.relay.rushing = g.relay.rushing || start
	g.mu.Unlock()
	if !start {
		return
	}
	ok := w.spawn(func(ctx context.Context) {
		for {
			host, poll, more := g.rushes()
			if !more {
				return
			}
			if ctx.Err() != nil {
				g.rushed()
				return
			}
			if _, err := w.exchange(ctx, host, []*group{g}, poll); err != nil && ctx.Err() == nil {
				w.blame(host, err)
				pause(ctx, w.clock(), retryPause)
			}
		}
	})
	if !ok {
		g.rushed()
	}
}

func (g *group) hurry() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relay.hurry = g.clock.Now().Add(hurryPeriod)
}

// rushes returns the observer to hurry and what to ask it, and whether to. If
// not, the rush is over.
func (g *group) rushes() (host string, poll *watchpb.Poll, more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.awaited() {
		g.relay.rushing = false
		return "", nil, false
	}
	poll = &watchpb.Poll{
		Epoch:     g.relay.epoch,
		Sequence:  g.relay.sequence,
		Groups:    []string{g.settings.Name()},
		WaitNanos: int64(rushWait),
	}
	if p, ok := g.next(); ok {
		poll.Until = encodePosition(p)
	}
	poll.Hurry = poll.Until == nil || g.clock.Now().Before(g.relay.hurry)
	return g.relay.host, poll, true
}

// next returns the position that the callers wait for next: the lowest of the
// newest term, because those of an older one may never be held. The lock is held.
func (g *group) next() (p coltsfootloft.Position, ok bool) {
	for w := range g.waiters {
		c := w.position.Term().Compare(p.Term())
		if !ok || c > 0 || c == 0 && w.position.Offset() < p.Offset() {
			p, ok = w.position, true
		}
	}
	return p, ok
}

func (g *group) rushed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relay.rushing = false
}

// awaited reports whether callers wait for news that another host has. The lock
// is held.
func (g *group) awaited() bool {
	if g.relay.host == "" {
		return false
	}
	return len(g.waiters) > 0 || g.clock.Now().Before(g.relay.hurry)
}

// fetch gets the barriers that wait: from the probes, or from the observer. All
// that are asked for while one request is under way share the next.
func (w *Watcher) fetch(g *group) {
	g.mu.Lock()
	asked := len(g.barriers) > 0
	own := g.relay.host == ""
	start := asked && !own && !g.relay.fetching
	g.relay.fetching = g.relay.fetching || start
	g.mu.Unlock()
	if asked && own {
		g.ring()
	}
	if !start {
		return
	}
	ok := w.spawn(func(ctx context.Context) {
		for {
			host, asked, more := g.fetches()
			if !more {
				return
			}
			if ctx.Err() != nil {
				g.fetched()
				return
			}
			p, err := w.ask(ctx, host, g)
			if err != nil {
				pause(ctx, w.clock(), retryPause)
				continue
			}
			g.mu.Lock()
			g.serve(p, asked)
			g.mu.Unlock()
		}
	})
	if !ok {
		g.fetched()
	}
}

// fetches returns the observer to ask, the last barrier that this serves, and
// whether to. If not, the fetching is over.
func (g *group) fetches() (host string, asked uint64, more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.relay.host == "" || len(g.barriers) == 0 {
		g.relay.fetching = false
		if len(g.barriers) > 0 {
			g.ring()
		}
		return "", 0, false
	}
	return g.relay.host, g.barred, true
}

func (g *group) fetched() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relay.fetching = false
}
