package elect

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/elect"
)

// answerBuffer is the capacity of the channel of answers. A campaign has at
// most one operation in progress for each database and phase.
const answerBuffer = 64

// errPreempted is returned if the election of another proposer has overtaken
// this one.
var errPreempted = errors.New("another proposer raised a higher term")

// attempt is one campaign with the connections that it uses.
type attempt struct {
	monitor   *monitor
	campaign  *elect.Campaign
	databases map[string]coltsfootloft.Database
	answers   chan elect.Answer
	wait      sync.WaitGroup
}

// elect runs one election. Elections of a group run one at a time on this host.
func (m *monitor) elect(ctx context.Context, need elect.Need, view elect.View) error {
	m.electing.Lock()
	defer m.electing.Unlock()
	started := m.elector.clock().Now()
	m.record("election started", "need", need.Kind().String(), "primary", need.Primary(), "term", need.Term().String(),
		"silence", view.Silence[need.Primary()], "stalled", view.Stalled)
	a := &attempt{
		monitor:   m,
		campaign:  m.newCampaign(need, view),
		databases: make(map[string]coltsfootloft.Database, len(m.names)),
		answers:   make(chan elect.Answer, answerBuffer),
	}
	a.run(ctx)
	c := a.campaign
	took := m.elector.clock().Since(started)
	m.raiseFloor(c.Term())
	m.countElection(need.Kind(), c.Phase() == elect.Done, took.Seconds())
	if c.Phase() != elect.Done {
		m.record("election failed", "term", c.Term().String(), "reason", c.Reason(), "took", took)
		if c.Preempted() {
			return errPreempted
		}
		return errors.Errorf("election of term %q: %s", c.Term(), c.Reason())
	}
	m.record("election done", "term", c.Term().String(), "primary", c.Chosen(), "took", took)
	if need.Kind() == elect.LeavingPrimary && c.Chosen() == need.Primary() {
		return errors.Errorf("primary %s stays: no replica caught up in time", need.Primary())
	}
	return nil
}

func (m *monitor) newCampaign(need elect.Need, view elect.View) *elect.Campaign {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &elect.Campaign{
		Databases: m.names,
		Proposer:  m.elector.Self.Name() + "." + m.elector.Incarnation,
		Floor:     m.floor,
		Silent:    view.Silent(),
		Avoid:     view.Leaving,
	}
	switch need.Kind() {
	case elect.SilentPrimary:
		c.Suspect = need.Primary()
		c.Avoid[need.Primary()] = true
	case elect.StalledPrimary:
		c.Avoid[need.Primary()] = true
	case elect.LeavingPrimary:
		c.Drain = need.Primary()
	default:
	}
	return c
}

// raiseFloor records a term, so that later campaigns use higher terms.
func (m *monitor) raiseFloor(term coltsfootloft.Term) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term.Compare(m.floor) > 0 {
		m.floor = term
	}
}

// run executes the campaign's actions until it ends.
func (a *attempt) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer a.close()
	defer cancel()
	for _, u := range a.monitor.group.Upstreams() {
		a.databases[u.Name()] = a.monitor.elector.Open(u)
	}
	clock := a.monitor.elector.clock()
	c := a.campaign
	a.launch(ctx, c.Start())
	timer := clock.NewTimer(c.Limit())
	defer timer.Stop()
	for c.Limit() > 0 {
		before := c.Phase()
		var next []elect.Action
		select {
		case <-ctx.Done():
			return
		case answer := <-a.answers:
			next = c.Answer(answer)
		case <-timer.Chan():
			next = c.Expire()
		}
		if c.Phase() != before {
			a.recordPhase()
			timer.Reset(c.Limit())
		}
		a.launch(ctx, next)
	}
}

// recordPhase records the decisions that led to the phase just entered.
func (a *attempt) recordPhase() {
	c := a.campaign
	switch c.Phase() {
	case elect.Promoting:
		a.monitor.record("group fenced", "term", c.Term().String(), "positions", formatPositions(c.Positions()),
			"chosen", c.Chosen(), "reason", c.Reason())
	case elect.Following:
		a.monitor.record("primary promoted", "term", c.Term().String(), "primary", c.Chosen())
	default:
	}
}

func (a *attempt) launch(ctx context.Context, actions []elect.Action) {
	limit := a.campaign.Limit()
	for _, action := range actions {
		a.wait.Go(func() {
			clock := a.monitor.elector.clock()
			if action.After() > 0 {
				select {
				case <-ctx.Done():
					return
				case <-clock.After(action.After()):
				}
			}
			ctx, cancel := clockwork.WithTimeout(ctx, clock, limit)
			defer cancel()
			r, err := perform(ctx, a.databases[action.Database()], action)
			answer := elect.Answer{
				Action:  action,
				Reading: r,
				Err:     err,
			}
			select {
			case a.answers <- answer:
			case <-ctx.Done():
			}
		})
	}
}

func (a *attempt) close() {
	a.wait.Wait()
	for _, d := range a.databases {
		closeDatabase(d)
	}
}

func perform(ctx context.Context, d coltsfootloft.Database, a elect.Action) (coltsfootloft.Reading, error) {
	switch a.Kind() {
	case elect.Fence:
		return d.Fence(ctx, a.Term())
	case elect.Promote:
		return d.Promote(ctx, a.Term())
	case elect.Follow:
		return d.Follow(ctx, a.Term(), a.Primary())
	case elect.Read:
	}
	return d.Status(ctx)
}

// closeDatabase closes the connections of a database if it has a method Close.
func closeDatabase(d coltsfootloft.Database) {
	if c, ok := d.(interface{ Close() }); ok {
		c.Close()
	}
}
