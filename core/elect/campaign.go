// Package elect decides when a database group needs another primary and runs one
// election.
//
// # Assessment
//
// [Assess] derives from a [View] of a group what it needs: nothing, a replica
// that must follow, a planned switchover, or an election because the primary is
// silent, makes no progress or does not exist. It keeps no state. [Suspicion]
// adds how long a need must last before a host acts on it; hosts of lower rank
// wait longer.
//
// # Campaign
//
// A [Campaign] is one election by one proposer. It surveys the group, raises a
// new term on a majority, and only then knows what that majority holds: the
// greatest position among the readings taken after fencing covers every
// acknowledged write. It promotes the database with that position and makes the
// others follow. Campaigns of several proposers may overlap, and proposers may
// crash at any step; the fence term that each database stores decides between
// them.
//
// Everything in this package is a pure state machine: answers and timeouts come
// in, [Action] values go out.
package elect

import (
	"time"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
)

// Limits of the phases of a campaign.
const (
	surveyLimit  = 100 * time.Millisecond
	drainLimit   = 200 * time.Millisecond
	fenceLimit   = 150 * time.Millisecond
	promoteLimit = 1500 * time.Millisecond
	followLimit  = 500 * time.Millisecond
	// drainPollDelay is the delay between two reads of a replica that is catching
	// up.
	drainPollDelay = 2 * time.Millisecond
	// settleDelay is the delay between the moment a replica has caught up and its
	// fencing.
	settleDelay = 10 * time.Millisecond
)

const reasonHigherTerm = "another proposer raised a higher term"

// Campaign is one election. Its exported fields are set before Start.
type Campaign struct {
	// Databases are the names of the whole group.
	Databases []string
	// Proposer is unique to one run of one host. Floor is the highest term that
	// the proposer has used in this group; starting above it ensures that no term
	// is raised for two elections.
	Proposer string
	Floor    coltsfootloft.Term
	// Silent are the databases whose answers are not waited for.
	Silent map[string]bool
	// Avoid are the databases that are promoted only if no other choice is safe.
	Avoid map[string]bool
	// Suspect is the primary that is suspected to have failed. The campaign ends
	// if it answers the survey.
	Suspect string
	// Drain is a primary that is fenced first, so that its replicas can receive
	// everything that it committed before one of them takes over.
	Drain string

	phase    Phase
	term     coltsfootloft.Term
	answered map[string]bool
	survey   map[string]coltsfootloft.Reading
	fenced   map[string]coltsfootloft.Reading
	target   coltsfootloft.Position
	refusals int
	chosen   string
	reason   string
}

// Start begins the survey and returns its actions.
func (c *Campaign) Start() []Action {
	c.survey = make(map[string]coltsfootloft.Reading, len(c.Databases))
	c.fenced = make(map[string]coltsfootloft.Reading, len(c.Databases))
	return c.enter(Survey, Read, c.Databases)
}

// Phase is the current phase.
func (c *Campaign) Phase() Phase { return c.phase }

// Limit is how long the current phase may take before the caller must call
// Expire; 0 once the campaign is over.
func (c *Campaign) Limit() time.Duration { return limits[c.phase] }

// Term is the term that the campaign raises, zero during the survey.
func (c *Campaign) Term() coltsfootloft.Term { return c.term }

// Chosen is the name of the database to promote, empty before the choice.
func (c *Campaign) Chosen() string { return c.chosen }

// Reason is why the campaign failed or, if it did not, why it chose its database.
func (c *Campaign) Reason() string { return c.reason }

// Preempted reports whether the campaign failed because another proposer has raised
// a higher term.
func (c *Campaign) Preempted() bool { return c.phase == Failed && c.reason == reasonHigherTerm }

// Positions returns, by name, the received positions of the databases at the time
// they were fenced.
func (c *Campaign) Positions() map[string]coltsfootloft.Position {
	m := make(map[string]coltsfootloft.Position, len(c.fenced))
	for n, r := range c.fenced {
		m[n] = r.Received()
	}
	return m
}

// Answer processes the answer to an action and returns the next actions. Answers
// to actions of earlier phases are ignored.
func (c *Campaign) Answer(a Answer) []Action {
	if a.Action.phase != c.phase || a.Action.term != c.term {
		return nil
	}
	if a.Err == nil {
		a.Err = a.check()
	}
	switch c.phase {
	case Survey:
		return c.handleSurvey(a)
	case Draining:
		return c.handleDrain(a)
	case Fencing:
		return c.handleFence(a)
	case Promoting:
		return c.handlePromote(a)
	case Following:
		return c.handleFollow(a)
	case Done, Failed:
	}
	return nil
}

// Expire ends the current phase because its limit has passed, and returns the
// next actions.
func (c *Campaign) Expire() []Action {
	switch c.phase {
	case Survey:
		return c.endSurvey()
	case Draining:
		if !c.hasSuccessor() {
			c.Avoid = nil
		}
		return c.endDraining()
	case Fencing:
		return c.promoteBest()
	case Promoting:
		return c.fail("the chosen database did not answer its promotion")
	case Following:
		return c.finish()
	case Done, Failed:
	}
	return nil
}

func (c *Campaign) handleSurvey(a Answer) []Action {
	c.answered[a.Action.database] = true
	if a.Err == nil {
		c.survey[a.Action.database] = a.Reading
	}
	if c.Suspect != "" && !c.answered[c.Suspect] || !c.canEndPhase(c.survey) {
		return nil
	}
	return c.endSurvey()
}

// endSurvey leaves the survey phase. The campaign fails if no majority has
// answered, if too few databases have kept their state, or if the suspected
// primary has answered as primary of the highest term.
func (c *Campaign) endSurvey() []Action {
	if len(c.survey) < c.size().Majority() {
		return c.fail("no majority answered the survey")
	}
	highest, withState := c.Floor, 0
	for _, r := range c.survey {
		if quorum.HasState(r) {
			withState++
		}
		if r.Fence().Compare(highest) > 0 {
			highest = r.Fence()
		}
	}
	if withState > 0 && withState < c.size().Majority() {
		return c.fail("too many databases have lost their state")
	}
	if r, ok := c.survey[c.Suspect]; ok && quorum.IsActivePrimary(r) && r.Fence() == highest {
		return c.fail("the primary answers")
	}
	c.term = highest.Next(c.Proposer)
	if c.Drain != "" {
		return c.enter(Draining, Fence, []string{c.Drain})
	}
	return c.enter(Fencing, Fence, c.Databases)
}

func (c *Campaign) handleDrain(a Answer) []Action {
	if a.Action.kind == Fence {
		if a.Err != nil {
			return c.failWith(a.Err)
		}
		c.fenced[c.Drain] = a.Reading
		c.target = a.Reading.Received()
		return c.actions(Read, c.unfenced(), 0)
	}
	if a.Err != nil || !a.Reading.Received().Covers(c.target) {
		return c.actions(Read, []string{a.Action.database}, drainPollDelay)
	}
	c.answered[a.Action.database] = true
	if len(c.answered) < c.size().Majority() {
		return nil
	}
	return c.endDraining()
}

// endDraining starts fencing, after a delay in which the hosts can read what the
// replicas hold in the old term, so that writes in flight are acknowledged.
func (c *Campaign) endDraining() []Action {
	as := c.enter(Fencing, Fence, c.unfenced())
	for i := range as {
		as[i].after = settleDelay
	}
	return as
}

// hasSuccessor reports whether a database that may take over has caught up.
func (c *Campaign) hasSuccessor() bool {
	for d := range c.answered {
		if !c.Avoid[d] {
			return true
		}
	}
	return false
}

// handleFence processes the answer to a fence. A refusal does not end the
// campaign while a majority is still possible: the database may have lost its
// state, and if another proposer is active the databases enforce the higher term.
func (c *Campaign) handleFence(a Answer) []Action {
	c.answered[a.Action.database] = true
	if a.Err == nil {
		c.fenced[a.Action.database] = a.Reading
	}
	if isFenced(a.Err) {
		c.refusals++
	}
	if c.refusals > len(c.Databases)-c.size().Majority() {
		return c.failWith(a.Err)
	}
	if !c.canEndPhase(c.fenced) {
		return nil
	}
	return c.promoteBest()
}

// promoteBest promotes the database that holds every acknowledged write.
func (c *Campaign) promoteBest() []Action {
	if len(c.fenced) < c.size().Majority() {
		return c.fail("no majority could be fenced")
	}
	c.chosen, c.reason = best(c.size(), c.fenced, c.Avoid)
	return c.enter(Promoting, Promote, []string{c.chosen})
}

func (c *Campaign) handlePromote(a Answer) []Action {
	if a.Err != nil {
		return c.failWith(a.Err)
	}
	rest := make([]string, 0, len(c.Databases)-1)
	for _, d := range c.Databases {
		if d != c.chosen {
			rest = append(rest, d)
		}
	}
	return c.enter(Following, Follow, rest)
}

func (c *Campaign) handleFollow(a Answer) []Action {
	c.answered[a.Action.database] = true
	if !c.allAnswered() {
		return nil
	}
	return c.finish()
}

func (c *Campaign) finish() []Action {
	c.phase = Done
	return nil
}

func (c *Campaign) failWith(err error) []Action {
	if isFenced(err) {
		return c.fail(reasonHigherTerm)
	}
	return c.fail(err.Error())
}

func (c *Campaign) fail(reason string) []Action {
	c.phase = Failed
	c.reason = reason
	return nil
}

func (c *Campaign) enter(p Phase, k ActionKind, databases []string) []Action {
	c.phase = p
	c.answered = make(map[string]bool, len(c.Databases))
	return c.actions(k, databases, 0)
}

func (c *Campaign) actions(k ActionKind, databases []string, after time.Duration) []Action {
	as := make([]Action, 0, len(databases))
	for _, d := range databases {
		as = append(as, Action{
			kind:     k,
			phase:    c.phase,
			database: d,
			term:     c.term,
			primary:  c.chosen,
			after:    after,
		})
	}
	return as
}

// allAnswered reports whether every database whose answer is waited for has
// answered in this phase.
func (c *Campaign) allAnswered() bool {
	for _, d := range c.Databases {
		_, fenced := c.fenced[d]
		skip := c.Silent[d] || (c.phase == Fencing && fenced) || (c.phase == Following && d == c.chosen)
		if !skip && !c.answered[d] {
			return false
		}
	}
	return true
}

// canEndPhase reports whether the phase can end before its limit: either all
// databases have answered, or valid holds readings of a majority and all
// databases that are not silent have answered.
func (c *Campaign) canEndPhase(valid map[string]coltsfootloft.Reading) bool {
	if len(c.answered) == len(c.Databases) {
		return true
	}
	return len(valid) >= c.size().Majority() && c.allAnswered()
}

func (c *Campaign) unfenced() []string {
	var names []string
	for _, d := range c.Databases {
		if _, ok := c.fenced[d]; !ok {
			names = append(names, d)
		}
	}
	return names
}

func (c *Campaign) size() quorum.Size { return quorum.Size(len(c.Databases)) }
