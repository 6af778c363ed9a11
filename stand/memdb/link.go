package memdb

import (
	"context"
	"time"

	"coltsfootloft"
)

// Open returns the connection of a host to a member.
func (g *Group) Open(host, name string) coltsfootloft.Database {
	return &database{
		group: g,
		host:  host,
		name:  name,
	}
}

// Cut drops everything sent from one side to the other, by names of hosts or
// members.
func (g *Group) Cut(from, to string) { g.fault(func() { g.cuts[link{from: from, to: to}] = true }) }

// Part cuts both directions between every name on one side and every name on the
// other.
func (g *Group) Part(one, other []string) {
	for _, a := range one {
		for _, b := range other {
			g.Cut(a, b)
			g.Cut(b, a)
		}
	}
}

// Heal undoes every cut.
func (g *Group) Heal() { g.fault(func() { clear(g.cuts) }) }

// Freeze holds the member still until it is thawed.
func (g *Group) Freeze(name string) { g.fault(func() { g.members[name].frozen = true }) }

// Thaw undoes Freeze.
func (g *Group) Thaw(name string) { g.fault(func() { g.members[name].frozen = false }) }

// Stop takes the member down; it keeps its log.
func (g *Group) Stop(name string) { g.fault(func() { g.members[name].stopped = true }) }

// Restart brings the member back.
func (g *Group) Restart(name string) {
	g.fault(func() {
		g.members[name].stopped = false
		g.bump(g.members[name])
	})
}

// Lose takes the member's state away. From then on it refuses every change.
func (g *Group) Lose(name string) {
	g.fault(func() {
		m := g.members[name]
		*m = member{
			version: m.version,
			lost:    true,
		}
		g.bump(m)
	})
}

// Calls returns how many platform operations have been made on the group.
func (g *Group) Calls() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls
}

// Reaches reports whether a call from one side to the other would be answered at
// this moment.
func (g *Group) Reaches(from, to string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	cut := g.cuts[link{from: from, to: to}] || g.cuts[link{from: to, to: from}]
	return !cut && !g.members[to].down()
}

func (g *Group) fault(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
	close(g.moved)
	g.moved = make(chan struct{})
}

// database is the view that a host has of a member.
type database struct {
	group *Group
	host  string
	name  string
}

var _ coltsfootloft.Database = (*database)(nil)

// Status reads the member now.
func (d *database) Status(ctx context.Context) (coltsfootloft.Reading, error) {
	return d.call(ctx, func() (coltsfootloft.Reading, error) { return d.group.Reading(d.name), nil })
}

// Await waits for a version other than seen, or for three quarters of the time
// until the deadline.
func (d *database) Await(ctx context.Context, seen uint64) (coltsfootloft.Reading, error) {
	last, err := d.Status(ctx)
	var early <-chan time.Time
	if end, ok := ctx.Deadline(); ok {
		t := time.NewTimer(time.Until(end) * 3 / 4)
		defer t.Stop()
		early = t.C
	}
	for err == nil && last.Version() == seen {
		moved := d.group.movement()
		r := d.group.Reading(d.name)
		if r.Version() != seen {
			return d.Status(ctx)
		}
		select {
		case <-ctx.Done():
			return last, ctx.Err()
		case <-early:
			return d.Status(ctx)
		case <-moved:
		}
	}
	if err != nil {
		return last, err
	}
	return d.Status(ctx)
}

// Fence raises the fence term.
func (d *database) Fence(ctx context.Context, term coltsfootloft.Term) (coltsfootloft.Reading, error) {
	return d.call(ctx, func() (coltsfootloft.Reading, error) { return d.group.Fence(d.name, term) })
}

// Promote makes the member primary of term.
func (d *database) Promote(ctx context.Context, term coltsfootloft.Term) (coltsfootloft.Reading, error) {
	return d.call(ctx, func() (coltsfootloft.Reading, error) { return d.group.Promote(d.name, term) })
}

// Follow makes the member a replica of primary.
func (d *database) Follow(ctx context.Context, term coltsfootloft.Term, primary string) (coltsfootloft.Reading, error) {
	return d.call(ctx, func() (coltsfootloft.Reading, error) { return d.group.Follow(d.name, term, primary) })
}

// call carries a request to the member and its answer back. A request that is cut
// off is never run, an answer that is cut off is lost after the change.
func (d *database) call(ctx context.Context, f func() (coltsfootloft.Reading, error)) (coltsfootloft.Reading, error) {
	if err := ctx.Err(); err != nil {
		return coltsfootloft.Reading{}, err
	}
	if err := d.group.cross(ctx, d.host, d.name, d.name); err != nil {
		return coltsfootloft.Reading{}, err
	}
	r, err := f()
	if lost := d.group.cross(ctx, d.name, d.host, d.name); lost != nil {
		return coltsfootloft.Reading{}, lost
	}
	return r, err
}

// cross waits until a message can pass and the member runs.
func (g *Group) cross(ctx context.Context, from, to, member string) error {
	for {
		g.mu.Lock()
		moved := g.moved
		m := g.members[member]
		g.calls++
		stopped, blocked := m.stopped, m.frozen || g.cuts[link{from: from, to: to}]
		g.mu.Unlock()
		if stopped {
			return ErrStopped
		}
		if !blocked {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-moved:
		}
	}
}

func (g *Group) movement() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.moved
}
