// Package pick chooses the database that a statement is sent to.
//
// Each database has an expected cost in milliseconds, derived from what this host
// has observed: its usual latency, its outstanding statements and its recent
// refusals. A database in another failure domain also costs the round trip and
// the traffic between domains. Where the load of a database is known, the expected time until
// its answer takes the place of what the host has observed. The database with the lowest cost is tried first.
package pick

import (
	"math"
	"time"

	"coltsfootloft"
)

const (
	// remoteCost is the cost of another failure domain, in ms: a round trip of
	// about 2 ms between the users' sites, doubled for the price of the traffic.
	remoteCost = 5.0
	// TrafficCost is the cost of the traffic between domains, in ms, where the round trip is
	// measured.
	TrafficCost = 5.0
	// primaryCost keeps reads away from a primary, which also serves the writes,
	// in ms: about half the usual work of a read.
	primaryCost = 8.0
	// busyCost and laggingCost penalize a database that has recently refused a
	// statement, in ms: several times a usual read, so that the database is the
	// last choice but still a choice.
	busyCost    = 60.0
	laggingCost = 90.0
	// silentCost penalizes a database that recently did not answer in time, in
	// ms. It is above any refusal, because a missing answer costs the most time.
	silentCost   = 150.0
	silentPeriod = 500 * time.Millisecond
	// failedCost penalizes a database that fails all statements, and in
	// proportion one that fails some, in ms. It is above any wait elsewhere.
	failedCost = 200.0
	// failedWeight is the weight of a new observation in the failure rate.
	// failedHalfLife is the time in which the failure rate halves without new
	// observations: a failing database is tried again after some seconds.
	failedWeight   = 0.2
	failedHalfLife = 1500 * time.Millisecond
	// busyPeriod and laggingPeriod are how long a refusal counts.
	busyPeriod    = 150 * time.Millisecond
	laggingPeriod = 400 * time.Millisecond
	// lackingPeriod is how long a replica that lacked a position is not asked for
	// that position or a later one: 1.5 times as long as the users' replicas take
	// to apply what they receive.
	lackingPeriod = 100 * time.Millisecond
	// downPeriod is how long a database that could not be reached is skipped.
	downPeriod = 300 * time.Millisecond
	// defaultLatency is the expected latency of a database without observations,
	// in ms.
	defaultLatency = 15.0
	// latencyWeight is the weight of a new observation in the expected latency.
	latencyWeight = 0.1
	// latencyDecay is the time in which an expected latency without new
	// observations returns to the default, so that a slow database is tried
	// again.
	latencyDecay = 2 * time.Second
	// assumedSlots is how many statements a database is assumed to run at a time.
	assumedSlots = 2.0
)

// Candidate holds what this host has observed of one database. The zero value has
// no observations. It is not safe for concurrent use.
type Candidate struct {
	outstanding  int
	latency      float64 // in ms
	latencyAt    time.Duration
	busyUntil    time.Duration
	laggingUntil time.Duration
	downUntil    time.Duration
	silentUntil  time.Duration
	applied      coltsfootloft.Position // reported when it last lagged
	appliedAt    time.Duration
	failureRate  float64 // part of the statements that fail, as of failedAt
	failedAt     time.Duration
}

// Start counts a statement that was sent.
func (c *Candidate) Start() { c.outstanding++ }

// End counts the end of a statement that was sent.
func (c *Candidate) End() { c.outstanding-- }

// ObserveLatency records the latency of an answered statement.
func (c *Candidate) ObserveLatency(now, took time.Duration) {
	c.latency = c.expectedLatency(now) + latencyWeight*(float64(took)/float64(time.Millisecond)-c.expectedLatency(now))
	c.latencyAt = now
	c.downUntil = 0
	c.recordOutcome(now, 0)
}

// Failed records a statement that the database ran and answered with a failure.
func (c *Candidate) Failed(now time.Duration) { c.recordOutcome(now, 1) }

func (c *Candidate) recordOutcome(now time.Duration, failed float64) {
	part := c.failureRateAt(now)
	c.failureRate = part + failedWeight*(failed-part)
	c.failedAt = now
}

// failureRateAt returns the fraction of statements that is expected to fail.
func (c *Candidate) failureRateAt(now time.Duration) float64 {
	return c.failureRate * math.Exp2(-float64(now-c.failedAt)/float64(failedHalfLife))
}

// Busy records a refusal for lack of capacity.
func (c *Candidate) Busy(now time.Duration) { c.busyUntil = now + busyPeriod }

// Lagged records a refusal because the database had applied only the given
// position and the read needs a later one.
func (c *Candidate) Lagged(now time.Duration, applied coltsfootloft.Position) {
	c.laggingUntil = now + laggingPeriod
	c.applied = applied
	c.appliedAt = now
}

// Lacks reports whether the database is known to lack a position, because it
// refused a read a moment ago with a lower applied position.
func (c *Candidate) Lacks(now time.Duration, p coltsfootloft.Position) bool {
	return c.appliedAt > 0 && now-c.appliedAt < lackingPeriod && p.Compare(c.applied) > 0
}

// Down records that the database could not be reached.
func (c *Candidate) Down(now time.Duration) { c.downUntil = now + downPeriod }

// TimedOut records that the database did not answer in time.
func (c *Candidate) TimedOut(now time.Duration) { c.silentUntil = now + silentPeriod }

// IsDown reports whether the database is to be skipped.
func (c *Candidate) IsDown(now time.Duration) bool { return now < c.downUntil }

// Cost returns the expected cost of a read, in ms. sameDomain tells whether the
// database is in the failure domain of the host, primary whether it is the
// primary.
func (c *Candidate) Cost(now time.Duration, sameDomain, primary bool) float64 {
	cost := c.expectedLatency(now) * (1 + float64(c.outstanding)/assumedSlots)
	if !sameDomain {
		cost += remoteCost
	}
	return cost + c.penalties(now, primary)
}

// LoadedCost returns the expected cost of a read, in ms, at a database whose load is known: the
// expected time until the answer, which includes the way there, and the cost of the traffic
// between domains. sameDomain and primary are as in Cost.
func (c *Candidate) LoadedCost(now, expected time.Duration, sameDomain, primary bool) float64 {
	cost := float64(expected) / float64(time.Millisecond)
	if !sameDomain {
		cost += TrafficCost
	}
	return cost + c.penalties(now, primary)
}

// penalties returns what a database costs for what it did before, and for being the primary, in ms.
func (c *Candidate) penalties(now time.Duration, primary bool) float64 {
	cost := 0.0
	if primary {
		cost += primaryCost
	}
	cost += failedCost * c.failureRateAt(now)
	if now < c.busyUntil {
		cost += busyCost
	}
	if now < c.laggingUntil && !primary {
		cost += laggingCost
	}
	if now < c.silentUntil {
		cost += silentCost
	}
	return cost
}

func (c *Candidate) expectedLatency(now time.Duration) float64 {
	if c.latencyAt == 0 {
		return defaultLatency
	}
	idle := float64(now-c.latencyAt) / float64(latencyDecay)
	if idle >= 1 {
		return defaultLatency
	}
	return c.latency + (defaultLatency-c.latency)*idle
}
