package watch

import (
	"context"
	"time"

	"coltsfootloft"
	"coltsfootloft/io/watch/watchpb"
)

const (
	// dutyName identifies the messages of this package on the links between
	// hosts.
	dutyName = "watch"
	// pollWait is how long an observer may hold a poll if nothing changes.
	pollWait = 350 * time.Millisecond
	// urgentWait is how long an observer may hold an urgent poll or a barrier.
	urgentWait = 250 * time.Millisecond
	// answerSlack is the time allowed for the network on top of these.
	answerSlack = 300 * time.Millisecond
	// batchPeriod is how long an observer collects changes before it answers a
	// poll that no caller waits for.
	batchPeriod = 100 * time.Millisecond
	// quietLimit is how recently a database must have been asked for its group
	// to be left out of an update. It is above the longest poll of a healthy
	// database.
	quietLimit = time.Second
	// urgentPeriod is how long polls stay urgent after a call of Expedite.
	urgentPeriod = 100 * time.Millisecond
)

// observer is the state of a group with regard to the host that observes it.
type observer struct {
	// host is empty while this host observes the group itself.
	host        string
	epoch       uint64
	sequence    uint64
	requested   time.Time
	urgentUntil time.Time
	polling     bool
	fetching    bool
}

// follow sets the host that observes the group. The position in the changes of
// a previous observer is discarded.
func (g *group) follow(host string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.observer.host == host {
		return
	}
	g.observer.host = host
	g.observer.epoch = 0
	g.observer.sequence = 0
}

// markRequested records that another host asks for the group. It reports
// whether this host has yet to start observing it.
func (g *group) markRequested() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observer.requested = g.clock.Now()
	return g.observer.host != ""
}

func (g *group) recentlyRequested() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.observer.requested
	return !t.IsZero() && g.clock.Since(t) < requestPeriod
}

// pollUrgently polls the observer urgently for as long as callers wait.
func (w *Watcher) pollUrgently(g *group) {
	g.mu.Lock()
	start := !g.observer.polling && g.hasWaiters()
	g.observer.polling = g.observer.polling || start
	g.mu.Unlock()
	if !start {
		return
	}
	ok := w.spawn(func(ctx context.Context) {
		for {
			host, poll, more := g.nextUrgentPoll()
			if !more {
				return
			}
			if ctx.Err() != nil {
				g.stopUrgentPolls()
				return
			}
			if _, err := w.pollHost(ctx, host, []*group{g}, poll); err != nil && ctx.Err() == nil {
				w.avoid(host, err)
				pause(ctx, w.clock(), retryDelay)
			}
		}
	})
	if !ok {
		g.stopUrgentPolls()
	}
}

func (g *group) expedite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observer.urgentUntil = g.clock.Now().Add(urgentPeriod)
}

// nextUrgentPoll returns the observer and the poll to send to it. If more is
// false, no caller waits and the urgent polls have ended.
func (g *group) nextUrgentPoll() (host string, poll *watchpb.Poll, more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.hasWaiters() {
		g.observer.polling = false
		return "", nil, false
	}
	poll = &watchpb.Poll{
		Epoch:     g.observer.epoch,
		Sequence:  g.observer.sequence,
		Groups:    []string{g.settings.Name()},
		WaitNanos: int64(urgentWait),
	}
	if p, ok := g.nextAwaited(); ok {
		poll.Until = encodePosition(p)
	}
	poll.Hurry = poll.Until == nil || g.clock.Now().Before(g.observer.urgentUntil)
	return g.observer.host, poll, true
}

// nextAwaited returns the position that callers wait for next: the lowest of
// the newest term, because positions of older terms may never be held by a
// majority. The lock must be held.
func (g *group) nextAwaited() (p coltsfootloft.Position, ok bool) {
	for w := range g.waiters {
		c := w.position.Term().Compare(p.Term())
		if !ok || c > 0 || c == 0 && w.position.Offset() < p.Offset() {
			p, ok = w.position, true
		}
	}
	return p, ok
}

func (g *group) stopUrgentPolls() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observer.polling = false
}

// hasWaiters reports whether callers wait for changes that another host
// observes. The lock must be held.
func (g *group) hasWaiters() bool {
	if g.observer.host == "" {
		return false
	}
	return len(g.waiters) > 0 || g.clock.Now().Before(g.observer.urgentUntil)
}

// fetchBarriers completes the waiting barriers with the probes of this host or
// through the observer. All barriers requested while one request to the
// observer is in flight share the next.
func (w *Watcher) fetchBarriers(g *group) {
	g.mu.Lock()
	waiting := len(g.barriers) > 0
	observing := g.observer.host == ""
	start := waiting && !observing && !g.observer.fetching
	g.observer.fetching = g.observer.fetching || start
	g.mu.Unlock()
	if waiting && observing {
		g.wakeProbes()
	}
	if !start {
		return
	}
	ok := w.spawn(func(ctx context.Context) {
		for {
			host, last, more := g.nextFetch()
			if !more {
				return
			}
			if ctx.Err() != nil {
				g.stopFetching()
				return
			}
			p, err := w.requestBarrier(ctx, host, g)
			if err != nil {
				pause(ctx, w.clock(), retryDelay)
				continue
			}
			g.mu.Lock()
			g.completeBarriers(p, last)
			g.mu.Unlock()
		}
	})
	if !ok {
		g.stopFetching()
	}
}

// nextFetch returns the observer to ask and the number of the last barrier that
// its answer serves. If more is false, fetching has ended.
func (g *group) nextFetch() (host string, last uint64, more bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.observer.host == "" || len(g.barriers) == 0 {
		g.observer.fetching = false
		if len(g.barriers) > 0 {
			g.wakeProbes()
		}
		return "", 0, false
	}
	return g.observer.host, g.lastBarrier, true
}

func (g *group) stopFetching() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observer.fetching = false
}
