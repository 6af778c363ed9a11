package failov

import (
	"context"
	"time"

	"coltsfootloft/core/evac"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
)

// checkEvacuated replaces a primary whose domain is evacuated. While it may be asked, it is also
// replaced if it is lost. Once its domain is closed, it can be neither asked nor demoted, and only
// a replica that has all acknowledged commits may take its place, which it can't show in a group
// without synchronous replicas.
func (c *Controller) checkEvacuated(ctx context.Context, name string, u mirror.Upstream) {
	if c.evacuationState(u) == evac.Closed {
		switch _, ok := c.successorOfClosed(ctx, name); {
		case ok:
			c.changePrimary(ctx, name, closedPrimary)
		default:
			c.notePartial(name, "the domain is closed, and no other database is known to have all commits")
			pause.For(ctx, checkPeriod)
		}
		return
	}
	_, err := c.status(ctx, u.Target())
	switch {
	case err == nil && c.syncReplicas(name) == 0 && c.evacuationLeft(u) < minEvacuationLeft:
		c.notePartial(name, "too little time is left to see that another database has all commits")
		pause.For(ctx, checkPeriod)
	case err == nil:
		c.changePrimary(ctx, name, evacuatedPrimary)
	case c.evacuationState(u) != evac.Closed:
		c.checkPrimary(ctx, name, u.Target())
	}
}

// minEvacuationLeft is how much time must be left to begin the change of a primary without synchronous
// replicas. It is demoted after a write to the store and the confirmations of the hosts; once its
// domain is closed, nothing shows any more what it has acknowledged.
const minEvacuationLeft = time.Second

// evacuationLeft returns how much time is left until the domain of a database is closed.
func (c *Controller) evacuationLeft(u mirror.Upstream) time.Duration {
	e, _ := c.Mirror.View().Evacuations.Get(u.Upstream.Domain())
	return e.Deadline - c.Clock.Elapsed()
}

// closedPrimary is the cause for replacing a primary to which nothing may be sent any more.
const closedPrimary = "the primary's domain is closed by an evacuation"

func (c *Controller) evacuationState(u mirror.Upstream) evac.State {
	return c.Mirror.View().Evacuations.State(u.Upstream.Domain(), c.Clock.Elapsed())
}

// successorOfClosed returns the database that can take over from a primary that can't be asked,
// because it has all acknowledged commits.
func (c *Controller) successorOfClosed(ctx context.Context, name string) (id string, ok bool) {
	sync := c.syncReplicas(name)
	if sync == 0 {
		return "", false
	}
	s, ok := c.Mirror.View().Groups[name].Successor(c.readStatuses(ctx, name), sync)
	return s.ID, ok
}

// notePartial logs and counts, once for each evacuation and group, that the primary of the group
// can't be replaced: it is used until its domain is closed, and its writes are refused from then on.
func (c *Controller) notePartial(name, reason string) {
	v := c.Mirror.View()
	u, ok := v.Upstreams[v.Groups[name].Primary]
	e, evacuated := v.Evacuations.Get(u.Upstream.Domain())
	c.mu.Lock()
	s := c.stateOf(name)
	known := s.partial == e.Revision
	s.partial = e.Revision
	c.mu.Unlock()
	if !ok || !evacuated || known {
		return
	}
	c.Log.Info("evacuation can't be carried out in full", "group", name, "primary", u.Upstream.Name(), "domain", u.Upstream.Domain(),
		"closed_in_ms", max(e.Deadline-c.Clock.Elapsed(), time.Duration(0)).Milliseconds(), "reason", reason)
	c.Metrics.GetOrCreateCounter("coltsfootloft_evacuations_partial_total").Inc()
}
