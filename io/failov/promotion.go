package failov

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/leader"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
	"coltsfootloft/io/probe"
)

const (
	// promoteTimeout is how long a promoted database is awaited before it is ordered again, or given up if
	// it does not answer either.
	promoteTimeout = 2500 * time.Millisecond
	// minLeaseLeft is the minimum remaining time of the holder's lease for a call to the
	// platform.
	minLeaseLeft = 800 * time.Millisecond
	// settleFactor is how many times as long as the slowest promotion that this host has seen in a group an
	// earlier one may take. No page of the platform bounds it.
	settleFactor = 4
)

// promotion is the part of a change that follows once no host uses the old primary.
type promotion struct {
	*Controller
	group       string
	record      leader.Record // as in the store
	version     uint64        // the store's, of record
	unreachable []string
	// failed are the databases that the platform refuses to promote, or that neither answer nor lead.
	failed map[string]bool
	// demoted is set once the old primary was seen demoted.
	demoted bool
	// ordered is when this host first ordered a database.
	ordered map[string]time.Duration
	// since is when, at the latest, the calls were made that the record names as this begins.
	since time.Duration
}

// run has a database promoted and waits until it leads and no other one can take the lead any more.
func (p *promotion) run(ctx context.Context) (leader.Status, error) {
	p.noteCalls()
	for ctx.Err() == nil {
		if old, ok := p.keepPrimary(ctx); ok {
			p.Log.Info("change of primary taken back, no other database has all commits", "group", p.group, "primary", old.ID)
			return old, nil
		}
		statuses := p.demoteAndCatchUp(ctx)
		step := p.record.Next(statuses, p.syncReplicas(p.group), p.failed, p.isSettled)
		switch step.Action {
		case leader.Open:
			p.Log.Info("database leads", "group", p.group, "database", step.Database.ID, "term", step.Database.Health.Term,
				"candidate", p.record.Candidate, "pending", p.record.Pending, "calls", p.record.Calls, "term_before", p.record.Term)
			return step.Database, nil
		case leader.Order:
			if err := p.order(ctx, step.Database); err != nil {
				return leader.Status{}, err
			}
		case leader.Wait:
			primary, ok := p.record.Leader(statuses)
			if ok {
				p.Log.V(1).Info("earlier promotions awaited", "group", p.group, "leads", primary.ID, "pending", p.record.Pending)
			} else {
				clear(p.failed)
			}
			pause.For(ctx, 4*pollPeriod)
		}
	}
	return leader.Status{}, errors.Wrap(ctx.Err(), "no database leads")
}

// keepPrimary returns the old primary if it leads, and if no replica has caught up with it within
// catchUpTimeout. It is not demoted then: it could not be promoted again.
func (p *promotion) keepPrimary(ctx context.Context) (leader.Status, bool) {
	sync := p.syncReplicas(p.group)
	if sync == 0 {
		return leader.Status{}, false
	}
	deadline := p.Clock.Elapsed() + catchUpTimeout
	for {
		old, ok := p.record.MayKeep(p.readStatuses(ctx, p.group), sync)
		if !ok || ctx.Err() != nil || p.Clock.Elapsed() > deadline {
			return old, ok && ctx.Err() == nil
		}
		pause.For(ctx, pollPeriod)
	}
}

// demoteAndCatchUp demotes the old primary, if it answers, and then waits for a replica
// that has received all that the old primary has.
func (p *promotion) demoteAndCatchUp(ctx context.Context) []leader.Status {
	old, ok := p.Mirror.View().Upstreams[p.record.Primary]
	if !ok || slices.Contains(p.unreachable, p.record.Primary) {
		return p.readStatuses(ctx, p.group, p.unreachable...)
	}
	last, err := p.demote(ctx, old.Target())
	if err != nil {
		p.Log.Info("old primary not demoted", "group", p.group, "database", p.record.Primary, "reason", err.Error())
		return p.readStatuses(ctx, p.group)
	}
	p.demoted = true
	p.Log.Info("old primary demoted", "group", p.group, "database", p.record.Primary, "term", last.Term, "received", last.Received.Offset())
	deadline := p.Clock.Elapsed() + catchUpTimeout
	for {
		statuses := p.readStatuses(ctx, p.group)
		if _, ok := p.record.Leader(statuses); ok {
			return statuses
		}
		candidate, ok := p.record.Successor(statuses, 0)
		if ok && candidate.Health.Received.Compare(last.Received) >= 0 && !p.record.HasWarmer(statuses, candidate) {
			return statuses
		}
		if ctx.Err() != nil || p.Clock.Elapsed() > deadline {
			p.Log.Info("no replica has caught up with the old primary", "group", p.group, "found", ok,
				"received", candidate.Health.Received.Offset(), "of", last.Received.Offset())
			return statuses
		}
		pause.For(ctx, pollPeriod)
	}
}

// demote demotes the old primary, again while it has no room to answer, and with a higher term if it leads a later
// one than the record's.
func (p *promotion) demote(ctx context.Context, old dbpool.Target) (coltsfootloft.Health, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	term := p.record.Term + 1
	for {
		h, err := p.Prober.Demote(ctx, old, term)
		switch {
		case err == nil && h.Role == coltsfootloft.Replica:
			return h, nil
		case err == nil:
			err = errors.Errorf("still primary in term %d", h.Term)
			term = h.Term + 1
		case !errors.Is(err, probe.ErrOverloaded):
			return h, err
		}
		if !pause.For(ctx, pollPeriod) {
			return h, err
		}
	}
}

// order has the platform promote a database, once the record names it, and waits until it leads.
func (p *promotion) order(ctx context.Context, candidate leader.Status) error {
	if p.Lease.Left() < minLeaseLeft {
		pause.For(ctx, 4*pollPeriod)
		return ctx.Err()
	}
	before := p.record
	r := before.Ordered(candidate.ID, p.demoted)
	v, err := p.writeRecord(ctx, p.group, r, p.version)
	if err != nil {
		return err
	}
	p.record = r
	p.version = v
	if _, ok := p.ordered[candidate.ID]; !ok {
		p.ordered[candidate.ID] = p.Clock.Elapsed()
	}
	err = p.callPromote(ctx, p.group, candidate)
	p.noteCall(candidate.ID, !errors.Is(err, coltsfootloft.ErrPromotionRefused))
	switch {
	case errors.Is(err, coltsfootloft.ErrPromotionRefused):
		p.record = before // the call has no effect
		p.failed[candidate.ID] = true
		return nil
	case errors.Is(err, errNotHolder):
		return err
	}
	answered, leads := p.awaitLeader(ctx, candidate.ID)
	if leads {
		p.notePromotion(p.group, p.Clock.Elapsed()-p.ordered[candidate.ID])
		return nil
	}
	p.Log.Info("promoted database does not lead", "group", p.group, "database", candidate.ID, "answers", answered)
	p.failed[candidate.ID] = !answered
	return nil
}

// callPromote makes the platform's call, which must end before the holder's lease does.
func (c *Controller) callPromote(ctx context.Context, name string, candidate leader.Status) error {
	fence, ok := c.Duty.Holds()
	left := c.Lease.Left()
	if !ok {
		return errNotHolder
	}
	if left < minLeaseLeft {
		pause.For(ctx, 4*pollPeriod)
		return errors.New("lease too short for a call")
	}
	callCtx, cancel := context.WithTimeout(ctx, left-pollPeriod)
	defer cancel()
	err := c.Promoter.Promote(callCtx, name, candidate.ID, c.Self, fence)
	c.Log.Info("promotion ordered", "group", name, "database", candidate.ID, "fence", fence, "received", candidate.Health.Received.Offset(),
		"answer", errorText(err))
	return err
}

func errorText(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}

// awaitLeader waits until a database calls itself primary in a later term than that of the record. It also
// reports whether the database has answered.
func (p *promotion) awaitLeader(ctx context.Context, id string) (answered, leads bool) {
	deadline := p.Clock.Elapsed() + promoteTimeout
	for ctx.Err() == nil && p.Clock.Elapsed() < deadline {
		u, ok := p.Mirror.View().Upstreams[id]
		if !ok {
			return answered, false
		}
		h, err := p.status(ctx, u.Target())
		if err == nil && h.Role == coltsfootloft.Primary && h.Term > p.record.Term {
			return true, true
		}
		answered = answered || err == nil || errors.Is(err, probe.ErrOverloaded)
		pause.For(ctx, pollPeriod)
	}
	return answered, false
}

// promotionSeconds counts the time that promotions took which this host has ordered.
func (c *Controller) promotionSeconds() *metrics.FloatCounter {
	return c.Metrics.GetOrCreateFloatCounter("coltsfootloft_promotion_seconds_total")
}

// notePromotion notes how long a promotion took.
func (c *Controller) notePromotion(group string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stateOf(group)
	s.slowest = max(s.slowest, took)
	c.promotionSeconds().Add(took.Seconds())
}

// settleTime returns how long after its call a promotion may take effect, as far as this host can tell.
// mu is held.
func (c *Controller) settleTime(group string) time.Duration {
	return max(promoteTimeout, settleFactor*c.stateOf(group).slowest)
}

// hasSettled reports whether all promotions that were ordered before an open record was written have taken
// effect or never will.
func (c *Controller) hasSettled(group string, g mirror.Group) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Elapsed()-g.FirstSeen >= c.settleTime(group)
}

// noteCalls notes the calls that the record names. Of those that this host has made or noted before, it knows the
// times, unless another steward has written the record since.
func (p *promotion) noteCalls() {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateOf(p.group)
	if s.called == nil || s.version != p.version {
		s.called = make(map[string]time.Duration)
	}
	s.version = p.version
	for _, id := range p.record.Pending {
		if _, known := s.called[id]; !known {
			s.called[id] = p.since
		}
	}
}

// noteCall notes that this host has written the record, and made the call that it names if made is set.
func (p *promotion) noteCall(id string, made bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stateOf(p.group)
	s.version = p.version
	if made {
		s.called[id] = p.Clock.Elapsed()
	}
}

// isSettled reports whether a database can't take the lead any more by the calls made for it.
func (p *promotion) isSettled(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	called, ok := p.stateOf(p.group).called[id]
	return ok && p.Clock.Elapsed()-called >= p.settleTime(p.group)
}
