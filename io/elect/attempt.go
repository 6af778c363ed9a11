package elect

import (
	"context"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/elect"
)

// answersKept bounds the answers that wait for the campaign. A campaign has at
// most one operation under way on each database and phase.
const answersKept = 64

// errOutbid says that another proposer's election has overtaken this one.
var errOutbid = errors.New("another proposer raised a higher term")

// attempt is one campaign and the connections it uses.
type attempt struct {
	keeper    *keeper
	campaign  *elect.Campaign
	databases map[string]coltsfootloft.Database
	answers   chan elect.Answer
	wait      sync.WaitGroup
}

// elect carries one election through. Only one runs at a time in this host.
func (k *keeper) elect(ctx context.Context, need elect.Need, view elect.View) error {
	k.electing.Lock()
	defer k.electing.Unlock()
	started := k.duty.clock().Now()
	k.record("election started", "need", need.Kind().String(), "primary", need.Primary(), "term", need.Term().String(),
		"silence", view.Silence[need.Primary()], "stalled", view.Stalled)
	a := &attempt{
		keeper:    k,
		campaign:  k.campaign(need, view),
		databases: make(map[string]coltsfootloft.Database, len(k.names)),
		answers:   make(chan elect.Answer, answersKept),
	}
	a.run(ctx)
	c := a.campaign
	took := k.duty.clock().Since(started)
	k.raise(c.Term())
	k.count(need.Kind(), c.Phase() == elect.Done, took.Seconds())
	if c.Phase() != elect.Done {
		k.record("election failed", "term", c.Term().String(), "reason", c.Reason(), "took", took)
		if c.Outbid() {
			return errOutbid
		}
		return errors.Errorf("election of term %q: %s", c.Term(), c.Reason())
	}
	k.record("election done", "term", c.Term().String(), "primary", c.Chosen(), "took", took)
	if need.Kind() == elect.LeavingPrimary && c.Chosen() == need.Primary() {
		return errors.Errorf("primary %s stays: no replica caught up in time", need.Primary())
	}
	return nil
}

func (k *keeper) campaign(need elect.Need, view elect.View) *elect.Campaign {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := &elect.Campaign{
		Databases: k.names,
		Proposer:  k.duty.Self.Name() + "." + k.duty.Incarnation,
		Floor:     k.floor,
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

// raise remembers a term so that no later campaign uses it.
func (k *keeper) raise(term coltsfootloft.Term) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if term.Compare(k.floor) > 0 {
		k.floor = term
	}
}

// run executes the campaign's actions until it is over.
func (a *attempt) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer a.close()
	defer cancel()
	for _, u := range a.keeper.group.Upstreams() {
		a.databases[u.Name()] = a.keeper.duty.Open(u)
	}
	clock := a.keeper.duty.clock()
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
			a.entered()
			timer.Reset(c.Limit())
		}
		a.launch(ctx, next)
	}
}

// entered records what the campaign has decided.
func (a *attempt) entered() {
	c := a.campaign
	switch c.Phase() {
	case elect.Promoting:
		a.keeper.record("group fenced", "term", c.Term().String(), "positions", positions(c.Positions()),
			"chosen", c.Chosen(), "reason", c.Reason())
	case elect.Following:
		a.keeper.record("primary promoted", "term", c.Term().String(), "primary", c.Chosen())
	default:
	}
}

func (a *attempt) launch(ctx context.Context, actions []elect.Action) {
	limit := a.campaign.Limit()
	for _, action := range actions {
		a.wait.Go(func() {
			clock := a.keeper.duty.clock()
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
		shut(d)
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

// shut ends the connections of a database that has any.
func shut(d coltsfootloft.Database) {
	if c, ok := d.(interface{ Close() }); ok {
		c.Close()
	}
}
