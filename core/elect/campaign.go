// Package elect decides when a database group needs another primary and carries
// one election through.
//
// # Assessment
//
// [Assess] tells from a [View] of a group what it needs: nothing, a replica that
// must follow, a planned hand-over, or an election because the primary is silent,
// makes no progress or doesn't exist. It has no memory; [Suspicion] adds how long
// a need must last before a host acts on it, longer for hosts of lower rank.
//
// # Campaign
//
// A [Campaign] is one election by one proposer. It surveys the group, raises a
// term of its own on a majority, and only then knows what that majority holds:
// the greatest position among the readings taken after fencing has every
// acknowledged write. It promotes that database and makes the others follow.
// Campaigns of several proposers may overlap and may die at any step; the term
// that each database keeps decides between them.
//
// Everything here is pure: answers and deadlines come in, [Action] values go out.
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
	// drainPeriod is waited between two reads of a replica that catches up.
	drainPeriod = 2 * time.Millisecond
	// settlePeriod is waited between a replica's catching up and its fencing.
	settlePeriod = 10 * time.Millisecond
)

const reasonOutbid = "another proposer raised a higher term"

// Campaign is one election. The fields are set before Start.
type Campaign struct {
	// Databases are the names of the whole group.
	Databases []string
	// Proposer is unique to one run of one host, and Floor is the highest term it
	// has used in this group, so that no term is ever raised for two elections.
	Proposer string
	Floor    coltsfootloft.Term
	// Silent are databases that aren't waited for.
	Silent map[string]bool
	// Avoid are databases that are promoted only if no other choice is safe.
	Avoid map[string]bool
	// Suspect is a primary that ends the campaign by answering the survey.
	Suspect string
	// Drain is a primary that is fenced first, so that its replicas can take over
	// everything it committed.
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

// Start begins the survey.
func (c *Campaign) Start() []Action {
	c.survey = make(map[string]coltsfootloft.Reading, len(c.Databases))
	c.fenced = make(map[string]coltsfootloft.Reading, len(c.Databases))
	return c.enter(Survey, Read, c.Databases)
}

// Phase is where the campaign stands.
func (c *Campaign) Phase() Phase { return c.phase }

// Limit is how long the current phase may take before Expire is to be called; 0
// once the campaign is over.
func (c *Campaign) Limit() time.Duration { return limits[c.phase] }

// Term is the term that the campaign raises, zero during the survey.
func (c *Campaign) Term() coltsfootloft.Term { return c.term }

// Chosen names the database that is promoted, empty before the choice.
func (c *Campaign) Chosen() string { return c.chosen }

// Reason says why the campaign ended, or why it made its choice.
func (c *Campaign) Reason() string { return c.reason }

// Outbid reports whether the campaign failed because another proposer is at work.
func (c *Campaign) Outbid() bool { return c.phase == Failed && c.reason == reasonOutbid }

// Positions returns what the fenced databases held, by name.
func (c *Campaign) Positions() map[string]coltsfootloft.Position {
	m := make(map[string]coltsfootloft.Position, len(c.fenced))
	for n, r := range c.fenced {
		m[n] = r.Received()
	}
	return m
}

// Answer takes the answer to an action. Answers to actions of earlier phases are
// ignored.
func (c *Campaign) Answer(a Answer) []Action {
	if a.Action.phase != c.phase || a.Action.term != c.term {
		return nil
	}
	switch c.phase {
	case Survey:
		return c.surveyed(a)
	case Draining:
		return c.drained(a)
	case Fencing:
		return c.raised(a)
	case Promoting:
		return c.promoted(a)
	case Following:
		return c.followed(a)
	case Done, Failed:
	}
	return nil
}

// Expire ends the current phase because its limit has passed.
func (c *Campaign) Expire() []Action {
	switch c.phase {
	case Survey:
		return c.proceed()
	case Draining:
		if !c.successor() {
			c.Avoid = nil
		}
		return c.settle()
	case Fencing:
		return c.choose()
	case Promoting:
		return c.fail("the chosen database did not answer its promotion")
	case Following:
		return c.finish()
	case Done, Failed:
	}
	return nil
}

func (c *Campaign) surveyed(a Answer) []Action {
	c.answered[a.Action.database] = true
	if a.Err == nil {
		c.survey[a.Action.database] = a.Reading
	}
	if c.Suspect != "" && !c.answered[c.Suspect] || !c.heardEnough(c.survey) {
		return nil
	}
	return c.proceed()
}

// proceed leaves the survey, if a majority can be reached and the suspicion
// stands.
func (c *Campaign) proceed() []Action {
	if len(c.survey) < c.size().Majority() {
		return c.fail("no majority answered the survey")
	}
	highest, kept := c.Floor, 0
	for _, r := range c.survey {
		if quorum.HasState(r) {
			kept++
		}
		if r.Fence().Compare(highest) > 0 {
			highest = r.Fence()
		}
	}
	if kept > 0 && kept < c.size().Majority() {
		return c.fail("too many databases have lost their state")
	}
	if r, ok := c.survey[c.Suspect]; ok && quorum.Reigns(r) && r.Fence() == highest {
		return c.fail("the primary answers")
	}
	c.term = highest.Next(c.Proposer)
	if c.Drain != "" {
		return c.enter(Draining, Fence, []string{c.Drain})
	}
	return c.enter(Fencing, Fence, c.Databases)
}

func (c *Campaign) drained(a Answer) []Action {
	if a.Action.kind == Fence {
		if a.Err != nil {
			return c.refused(a.Err)
		}
		c.fenced[c.Drain] = a.Reading
		c.target = a.Reading.Received()
		return c.actions(Read, c.unfenced(), 0)
	}
	if a.Err != nil || !a.Reading.Received().Covers(c.target) {
		return c.actions(Read, []string{a.Action.database}, drainPeriod)
	}
	c.answered[a.Action.database] = true
	if len(c.answered) < c.size().Majority() {
		return nil
	}
	return c.settle()
}

// settle leaves the draining phase. The hosts get time to see what the replicas
// hold in the old term, so that writes under way are acknowledged.
func (c *Campaign) settle() []Action {
	as := c.enter(Fencing, Fence, c.unfenced())
	for i := range as {
		as[i].after = settlePeriod
	}
	return as
}

// successor reports whether a database that may take over has caught up.
func (c *Campaign) successor() bool {
	for d := range c.answered {
		if !c.Avoid[d] {
			return true
		}
	}
	return false
}

// raised takes the answer to a fence. A refusal doesn't end the campaign while a
// majority is possible: the database may have lost its state, and if another
// proposer is at work, the databases keep to the higher term.
func (c *Campaign) raised(a Answer) []Action {
	c.answered[a.Action.database] = true
	if a.Err == nil {
		c.fenced[a.Action.database] = a.Reading
	}
	if outbid(a.Err) {
		c.refusals++
	}
	if c.refusals > len(c.Databases)-c.size().Majority() {
		return c.refused(a.Err)
	}
	if !c.heardEnough(c.fenced) {
		return nil
	}
	return c.choose()
}

// choose promotes the database that holds every acknowledged write.
func (c *Campaign) choose() []Action {
	if len(c.fenced) < c.size().Majority() {
		return c.fail("no majority could be fenced")
	}
	c.chosen, c.reason = best(c.size(), c.fenced, c.Avoid)
	return c.enter(Promoting, Promote, []string{c.chosen})
}

func (c *Campaign) promoted(a Answer) []Action {
	if a.Err != nil {
		return c.refused(a.Err)
	}
	rest := make([]string, 0, len(c.Databases)-1)
	for _, d := range c.Databases {
		if d != c.chosen {
			rest = append(rest, d)
		}
	}
	return c.enter(Following, Follow, rest)
}

func (c *Campaign) followed(a Answer) []Action {
	c.answered[a.Action.database] = true
	if !c.heardAll() {
		return nil
	}
	return c.finish()
}

func (c *Campaign) finish() []Action {
	c.phase = Done
	return nil
}

func (c *Campaign) refused(err error) []Action {
	if outbid(err) {
		return c.fail(reasonOutbid)
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

// heardAll reports whether every database that is waited for has answered in
// this phase.
func (c *Campaign) heardAll() bool {
	for _, d := range c.Databases {
		_, fenced := c.fenced[d]
		skip := c.Silent[d] || (c.phase == Fencing && fenced) || (c.phase == Following && d == c.chosen)
		if !skip && !c.answered[d] {
			return false
		}
	}
	return true
}

// heardEnough reports whether the phase can end before its limit: everyone has
// answered, or a majority and all that aren't silent have.
func (c *Campaign) heardEnough(good map[string]coltsfootloft.Reading) bool {
	if len(c.answered) == len(c.Databases) {
		return true
	}
	return len(good) >= c.size().Majority() && c.heardAll()
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
