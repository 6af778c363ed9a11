// Package pick chooses the database that a statement is sent to.
//
// Each database has an expected cost in milliseconds, from what this host has seen
// of it: its usual time, what is outstanding there, and what it refused of late. A
// database of another failure domain costs the way there and back, and the bytes
// that cross. The cheapest is tried first.
package pick

import (
	"math"
	"time"

	"coltsfootloft"
)

const (
	// far is the cost of another failure domain, in ms: a round trip of about
	// 2 ms at the users' places, doubled for the price of the bytes.
	far = 5.0
	// primaryCost keeps reads off a primary, which has the writes, in ms: about
	// half of a read's usual work.
	primaryCost = 8.0
	// busyCost and laggingCost count against a database that has refused a
	// statement of late, in ms: a few times a usual read, so that it is the
	// last choice but still one.
	busyCost    = 60.0
	laggingCost = 90.0
	// silentCost counts against a database that did not answer of late, in ms:
	// more than any refusal, since an answer that does not come costs most.
	silentCost = 150.0
	silentFor  = 500 * time.Millisecond
	// failedCost counts against a database that fails all statements, and in
	// proportion against one that fails some, in ms: more than any wait elsewhere.
	failedCost = 200.0
	// failedWeight is the share of a new observation in the part that fails, and
	// failedFade the time in which that part halves where nothing new is seen: it
	// takes some seconds until a failing database is tried again.
	failedWeight = 0.2
	failedFade   = 1500 * time.Millisecond
	// busyFor and laggingFor are how long a refusal is remembered.
	busyFor    = 150 * time.Millisecond
	laggingFor = 400 * time.Millisecond
	// lacksFor is how long a replica that lacked a position is not asked for that
	// or a later one: half as long again as it takes the users' replicas to apply
	// what they receive.
	lacksFor = 100 * time.Millisecond
	// downFor is how long a database that could not be reached is passed over.
	downFor = 300 * time.Millisecond
	// usual is the time that is expected of a database of which nothing is
	// known, in ms.
	usual = 15.0
	// weight is the share of a new observation in the usual time.
	weight = 0.1
	// fade is how fast a usual time of which nothing new is seen goes back to
	// what is usual of any, so that a slow database is tried again.
	fade = 2 * time.Second
	// slots is how many statements a database is expected to run at a time.
	slots = 2.0
)

// Candidate is what this host has seen of one database. The zero value has seen
// nothing. It is not safe for concurrent use.
type Candidate struct {
	outstanding int
	time        float64 // in ms
	at          time.Duration
	busyUntil   time.Duration
	lagUntil    time.Duration
	downUntil   time.Duration
	silentUntil time.Duration
	applied     coltsfootloft.Position // when it last lagged
	appliedAt   time.Duration
	failing     float64 // part of the statements that fail, at failedAt
	failedAt    time.Duration
}

// Start counts a statement that is sent.
func (c *Candidate) Start() { c.outstanding++ }

// End counts the end of a statement that was sent.
func (c *Candidate) End() { c.outstanding-- }

// Took records how long an answered statement took.
func (c *Candidate) Took(now, took time.Duration) {
	c.time = c.expected(now) + weight*(float64(took)/float64(time.Millisecond)-c.expected(now))
	c.at = now
	c.downUntil = 0
	c.outcome(now, 0)
}

// Failed records a statement that the database ran and failed.
func (c *Candidate) Failed(now time.Duration) { c.outcome(now, 1) }

func (c *Candidate) outcome(now time.Duration, failed float64) {
	part := c.failingNow(now)
	c.failing = part + failedWeight*(failed-part)
	c.failedAt = now
}

// failingNow is the part of the statements that are expected to fail.
func (c *Candidate) failingNow(now time.Duration) float64 {
	return c.failing * math.Exp2(-float64(now-c.failedAt)/float64(failedFade))
}

// Busy records a refusal for want of capacity.
func (c *Candidate) Busy(now time.Duration) { c.busyUntil = now + busyFor }

// Lagged records that the database had not applied what a read asks for, but only up
// to a position.
func (c *Candidate) Lagged(now time.Duration, applied coltsfootloft.Position) {
	c.lagUntil = now + laggingFor
	c.applied = applied
	c.appliedAt = now
}

// Lacks reports whether the database surely lacks a position: it lagged behind it a
// moment ago.
func (c *Candidate) Lacks(now time.Duration, p coltsfootloft.Position) bool {
	return c.appliedAt > 0 && now-c.appliedAt < lacksFor && p.Compare(c.applied) > 0
}

// Down records that the database could not be reached.
func (c *Candidate) Down(now time.Duration) { c.downUntil = now + downFor }

// TimedOut records that an answer did not come in time.
func (c *Candidate) TimedOut(now time.Duration) { c.silentUntil = now + silentFor }

// IsDown reports whether the database is passed over.
func (c *Candidate) IsDown(now time.Duration) bool { return now < c.downUntil }

// Cost is the expected cost of a read, in ms.
func (c *Candidate) Cost(now time.Duration, near, primary bool) float64 {
	cost := c.expected(now) * (1 + float64(c.outstanding)/slots)
	if !near {
		cost += far
	}
	if primary {
		cost += primaryCost
	}
	cost += failedCost * c.failingNow(now)
	if now < c.busyUntil {
		cost += busyCost
	}
	if now < c.lagUntil && !primary {
		cost += laggingCost
	}
	if now < c.silentUntil {
		cost += silentCost
	}
	return cost
}

func (c *Candidate) expected(now time.Duration) float64 {
	if c.at == 0 {
		return usual
	}
	idle := float64(now-c.at) / float64(fade)
	if idle >= 1 {
		return usual
	}
	return c.time + (usual-c.time)*idle
}
