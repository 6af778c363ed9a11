package failov

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/evac"
	"coltsfootloft/core/leader"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
)

const (
	// changeTimeout bounds one attempt at a change; the next attempt continues from the
	// record.
	changeTimeout = 12 * time.Second
	// pollPeriod is how often databases and hosts are asked during a change.
	pollPeriod = 25 * time.Millisecond
	// unreachableDemoteTimeout bounds the attempt to demote a primary that most hosts
	// fail to reach. The confirmations of the hosts, which are collected meanwhile, take
	// about as long.
	unreachableDemoteTimeout = 150 * time.Millisecond
	// catchUpTimeout is how long a change of a primary that still answers waits for a
	// replica to receive all that the old primary has.
	catchUpTimeout = 1500 * time.Millisecond
)

// errNotHolder ends a change on a host that no longer holds the duty.
var errNotHolder = errors.New("duty lost")

// errNoSuccessor ends a change that has not begun, as no database can take over.
var errNoSuccessor = errors.New("no database can take over")

// readStatuses asks all databases of a group for their status, except the unreachable
// ones.
func (c *Controller) readStatuses(ctx context.Context, name string, unreachable ...string) []leader.Status {
	v := c.Mirror.View()
	members := v.Members(name)
	record := v.Groups[name].Record
	primary := v.Upstreams[record.Primary].Upstream
	statuses := make([]leader.Status, len(members))
	var wg sync.WaitGroup
	now := c.Clock.Elapsed()
	for i, u := range members {
		state := v.Evacuations.State(u.Upstream.Domain(), now)
		statuses[i] = leader.Status{
			ID:         u.Upstream.Name(),
			Leaving:    u.Leaving || u.Removed,
			Gone:       u.Removed && now-u.Since > removedGrace,
			Evacuated:  state != evac.None,
			SameDomain: u.Upstream.Domain() == primary.Domain(),
			Cold:       c.IsCold != nil && c.IsCold(u.Upstream.Name()),
			Started:    u.Started,
		}
		if slices.Contains(unreachable, statuses[i].ID) || state == evac.Closed {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			h, err := c.status(ctx, u.Target())
			statuses[i].Answered = err == nil
			statuses[i].Health = h
		}()
	}
	wg.Wait()
	return slices.Concat(statuses, forgottenMembers(v, record))
}

// forgottenMembers returns the members of a record whose entries this host does not know any more.
func forgottenMembers(v *mirror.View, r leader.Record) []leader.Status {
	var gone []leader.Status
	for _, id := range slices.Sorted(maps.Keys(r.Members)) {
		if _, ok := v.Upstreams[id]; !ok {
			gone = append(gone, leader.Status{
				ID:      id,
				Gone:    true,
				Started: r.Members[id],
			})
		}
	}
	return gone
}

// writeRecord replaces the record of a group, provided that this host still holds the
// duty and the record still has the given version. It returns the new version.
func (c *Controller) writeRecord(ctx context.Context, name string, r leader.Record, version uint64) (uint64, error) {
	fence, ok := c.Duty.Holds()
	if !ok {
		return 0, errNotHolder
	}
	r.Era = coltsfootloft.EraOf(fence)
	revision, err := c.Store.Apply(ctx, []coltsfootloft.Change{
		coltsfootloft.Put(mirror.GroupKey(name), r.Encode(), version),
		coltsfootloft.Require(mirror.DutyKey(c.Duty.Name), fence),
	})
	if err != nil {
		return 0, errors.Wrap(err, "write the record")
	}
	return revision, errors.Wrap(c.Mirror.Await(ctx, revision), "wait for the record in the view")
}

// changePrimary replaces the primary of a group. On any failure it gives up, and the next
// check continues from the record.
func (c *Controller) changePrimary(ctx context.Context, name, cause string) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	started := c.Clock.Elapsed()
	g := c.Mirror.View().Groups[name]
	c.Log.Info("change of primary begins", "group", name, "primary", g.Primary, "epoch", g.Epoch, "why", cause, "closing", g.Closing)
	var unreachable []string
	if cause == lostPrimary || cause == closedPrimary {
		unreachable = []string{g.Primary}
	}
	if cause == leavingPrimary || cause == evacuatedPrimary {
		if err := c.awaitSuccessor(ctx, name, g, cause == evacuatedPrimary); err != nil {
			c.Log.Info("change of primary put off", "group", name, "why", cause, "reason", err.Error())
			if cause == evacuatedPrimary {
				c.notePartial(name, err.Error())
			}
			pause.For(ctx, 4*pollPeriod)
			return
		}
	}
	primary, err := c.replacePrimary(ctx, name, g, unreachable)
	took := c.Clock.Elapsed() - started
	if err != nil {
		if cause == evacuatedPrimary && errors.Is(err, errNoSuccessor) {
			c.notePartial(name, err.Error())
		}
		c.Log.Info("change of primary not done", "group", name, "why", cause, "reason", err.Error(), "took_ms", took.Milliseconds())
		c.Metrics.GetOrCreateCounter(`coltsfootloft_primary_changes_total{outcome="failed"}`).Inc()
		pause.For(ctx, 4*pollPeriod)
		return
	}
	c.mu.Lock()
	c.stateOf(name).lastChange = c.Clock.Elapsed()
	c.mu.Unlock()
	c.Log.Info("change of primary done", "group", name, "primary", primary, "took_ms", took.Milliseconds())
	c.Metrics.GetOrCreateCounter(`coltsfootloft_primary_changes_total{outcome="done"}`).Inc()
}

func (c *Controller) replacePrimary(ctx context.Context, name string, g mirror.Group, unreachable []string) (string, error) {
	r := g.Record
	version := g.Revision
	called := c.Clock.Elapsed()
	if !r.Closing {
		called = g.FirstSeen
		if _, ok := r.Successor(c.readStatuses(ctx, name, unreachable...), c.syncReplicas(name)); !ok {
			return "", errNoSuccessor
		}
		r = r.Closed(c.hasSettled(name, g))
		v, err := c.writeRecord(ctx, name, r, version)
		if err != nil {
			return "", err
		}
		version = v
	}
	demoted := c.demoteUnreachable(ctx, r, unreachable)
	if err := c.awaitConfirmations(ctx, version); err != nil {
		return "", err
	}
	if <-demoted {
		unreachable = nil
	}
	p := &promotion{
		Controller:  c,
		group:       name,
		record:      r,
		version:     version,
		unreachable: unreachable,
		failed:      make(map[string]bool),
		ordered:     make(map[string]time.Duration),
		since:       called,
	}
	primary, err := p.run(ctx)
	if err != nil {
		return "", err
	}
	_, err = c.writeRecord(ctx, name, p.record.Opened(primary), p.version)
	return primary.ID, err
}

// demoteUnreachable tries to demote a primary that most hosts fail to reach, while the
// hosts confirm the closing record. If the primary does answer, it acknowledges nothing
// from then on, and a replica can be awaited that has received all that it has. If it
// does not, it must not delay the change. The channel receives whether it was demoted.
func (c *Controller) demoteUnreachable(ctx context.Context, r leader.Record, unreachable []string) <-chan bool {
	done := make(chan bool, 1)
	old, ok := c.Mirror.View().Upstreams[r.Primary]
	if !ok || !slices.Contains(unreachable, r.Primary) {
		done <- false
		return done
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, unreachableDemoteTimeout)
		defer cancel()
		_, err := c.Prober.Demote(ctx, old.Target(), r.Term+1)
		if err != nil {
			c.Log.Info("unreachable primary not demoted", "database", r.Primary, "reason", err.Error())
		}
		done <- err == nil
	}()
	return done
}

// syncReplicas returns how many replicas have received a commit of the group before it is
// acknowledged.
func (c *Controller) syncReplicas(name string) int {
	s := c.Mirror.View().Settings
	if s == nil {
		return 0
	}
	return s.SyncReplicas[name]
}

// awaitSuccessor waits until a replica that stays has received all that the primary had
// at first, so that a primary which leaves is not given up for one that would lose commits
// or that leaves as well. A group without synchronous replicas waits only if the primary's domain is
// evacuated, as the primary then works until a replica can take over without a loss.
func (c *Controller) awaitSuccessor(ctx context.Context, name string, g mirror.Group, evacuated bool) error {
	if c.syncReplicas(name) == 0 && !evacuated || g.Closing {
		return nil
	}
	primary, known := c.Mirror.View().Upstreams[g.Primary]
	if !known {
		return nil
	}
	h, err := c.status(ctx, primary.Target())
	if err != nil {
		return nil //nolint:nilerr // nothing can be awaited from a primary that does not answer
	}
	deadline := c.Clock.Elapsed() + catchUpTimeout
	for {
		statuses := c.readStatuses(ctx, name)
		candidate, ok := g.Successor(statuses, 0)
		if ok && candidate.Health.Received.Compare(h.Received) >= 0 && !g.HasWarmer(statuses, candidate) {
			return nil
		}
		if ctx.Err() != nil || c.Clock.Elapsed() > deadline {
			if ok && candidate.Health.Received.Compare(h.Received) >= 0 {
				return nil // it is cold, and no warm one has caught up
			}
			return errors.Errorf("no replica that stays has what the primary has, received %d of %d", candidate.Health.Received.Offset(), h.Received.Offset())
		}
		pause.For(ctx, pollPeriod)
	}
}
