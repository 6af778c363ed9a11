package memdb

import (
	"context"
	"time"

	"coltsfootloft"
)

// Open returns the database that a host sees as the named member. Cuts between the
// host and the member apply to its calls.
func (g *Group) Open(host, name string) coltsfootloft.Database {
	return &database{
		group: g,
		host:  host,
		name:  name,
	}
}

// Cut blocks messages in one direction between two hosts or members.
func (g *Group) Cut(from, to string) { g.fault(func() { g.cuts[link{from: from, to: to}] = true }) }

// Partition partitions hosts and members: it cuts both directions between every name on
// one side and every name on the other.
func (g *Group) Partition(one, other []string) {
	for _, a := range one {
		for _, b := range other {
			g.Cut(a, b)
			g.Cut(b, a)
		}
	}
}

// Heal removes all cuts.
func (g *Group) Heal() { g.fault(func() { clear(g.cuts) }) }

// Freeze makes calls to the member wait until Thaw. A frozen member takes no
// commits and replicates nothing.
func (g *Group) Freeze(name string) { g.fault(func() { g.members[name].frozen = true }) }

// Thaw ends a Freeze.
func (g *Group) Thaw(name string) { g.fault(func() { g.members[name].frozen = false }) }

// Stop takes the member down: calls fail with [ErrStopped]. It keeps its log.
func (g *Group) Stop(name string) { g.fault(func() { g.members[name].stopped = true }) }

// Restart starts a stopped member again.
func (g *Group) Restart(name string) {
	g.fault(func() {
		g.members[name].stopped = false
		g.bump(g.members[name])
	})
}

// LoseState erases the state of the member, which from then on refuses every change.
func (g *Group) LoseState(name string) {
	g.fault(func() {
		m := g.members[name]
		*m = member{
			version:   m.version,
			stateLost: true,
		}
		g.bump(m)
	})
}

// Calls returns the number of messages between hosts and members: requests and
// answers, counted again for each time that a blocked one is retried.
func (g *Group) Calls() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls
}

// Reaches reports whether a call from a host or member to a member would be answered
// now.
func (g *Group) Reaches(from, to string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	cut := g.cuts[link{from: from, to: to}] || g.cuts[link{from: to, to: from}]
	return !cut && !g.members[to].down()
}

// fault changes the faults and wakes all calls that wait for a change.
func (g *Group) fault(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
	close(g.changed)
	g.changed = make(chan struct{})
}

// database carries the calls of one host to one member.
type database struct {
	group *Group
	host  string
	name  string
}

var _ coltsfootloft.Database = (*database)(nil)

// Status returns the present state of the member.
func (d *database) Status(ctx context.Context) (coltsfootloft.Reading, error) {
	return d.call(ctx, func() (coltsfootloft.Reading, error) { return d.group.Reading(d.name), nil })
}

// Await waits until the version of the member differs from the given one, but no
// longer than three quarters of the time until the deadline of ctx. It returns the
// state at that time.
func (d *database) Await(ctx context.Context, version uint64) (coltsfootloft.Reading, error) {
	last, err := d.Status(ctx)
	var beforeDeadline <-chan time.Time
	if end, ok := ctx.Deadline(); ok {
		t := time.NewTimer(time.Until(end) * 3 / 4)
		defer t.Stop()
		beforeDeadline = t.C
	}
	for err == nil && last.Version() == version {
		changed := d.group.changes()
		r := d.group.Reading(d.name)
		if r.Version() != version {
			return d.Status(ctx)
		}
		select {
		case <-ctx.Done():
			return last, ctx.Err()
		case <-beforeDeadline:
			return d.Status(ctx)
		case <-changed:
		}
	}
	if err != nil {
		return last, err
	}
	return d.Status(ctx)
}

// Fence raises the fence term of the member.
func (d *database) Fence(ctx context.Context, term coltsfootloft.Term) (coltsfootloft.Reading, error) {
	return d.call(ctx, func() (coltsfootloft.Reading, error) { return d.group.Fence(d.name, term) })
}

// Promote makes the member the primary of term.
func (d *database) Promote(ctx context.Context, term coltsfootloft.Term) (coltsfootloft.Reading, error) {
	return d.call(ctx, func() (coltsfootloft.Reading, error) { return d.group.Promote(d.name, term) })
}

// Follow makes the member a replica of primary.
func (d *database) Follow(ctx context.Context, term coltsfootloft.Term, primary string) (coltsfootloft.Reading, error) {
	return d.call(ctx, func() (coltsfootloft.Reading, error) { return d.group.Follow(d.name, term, primary) })
}

// call carries a request to the member and its answer back. If ctx ends while the
// request is blocked, f does not run; if it ends while the answer is blocked, f has
// run and its result is lost.
func (d *database) call(ctx context.Context, f func() (coltsfootloft.Reading, error)) (coltsfootloft.Reading, error) {
	if err := ctx.Err(); err != nil {
		return coltsfootloft.Reading{}, err
	}
	if err := d.group.awaitMember(ctx, d.host, d.name, d.name); err != nil {
		return coltsfootloft.Reading{}, err
	}
	r, err := f()
	if lost := d.group.awaitMember(ctx, d.name, d.host, d.name); lost != nil {
		return coltsfootloft.Reading{}, lost
	}
	return r, err
}

// awaitMember waits until a message can go from one side to the other and the member
// is not frozen. It returns [ErrStopped] if the member is stopped.
func (g *Group) awaitMember(ctx context.Context, from, to, member string) error {
	for {
		g.mu.Lock()
		changed := g.changed
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
		case <-changed:
		}
	}
}

// changes returns a channel that is closed at the next change of the group.
func (g *Group) changes() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}
