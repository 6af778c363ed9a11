package gate

import (
	"math"
	"time"
)

const (
	// serviceWeight is the weight of a new observation in the mean service time: the mean
	// follows a change within some 20 statements.
	serviceWeight = 0.1
	// maxOutlier bounds what one observation counts, in times of the mean: a single statement
	// that waited for a lock must not make the gate refuse others.
	maxOutlier = 4
	// turnWeight is the weight of one turn in the shares of the levels: they follow a change
	// within some 20 turns too.
	turnWeight = 0.05
	// maxShare bounds what more urgent levels are expected to take: the least urgent level
	// keeps one turn in reverseEvery.
	maxShare = 1 - 1.0/reverseEvery
	// minRetry and maxRetry bound how much later a refused statement should return. Above
	// 2 s, callers would wait longer than most overloads last.
	minRetry = 10 * time.Millisecond
	maxRetry = 2 * time.Second
	// maxRetryQueues bounds it too, in times that the queue takes to empty. A statement may
	// be refused at several databases and return to one of them only, so a gate must not
	// keep its turns for all that it refused.
	maxRetryQueues = 4
)

// Observe records for how long a statement had its permit. Refusals by the database are
// not recorded: they take no turn.
func (g *Gate[T]) Observe(took time.Duration) {
	if g.service == 0 {
		g.service = took
		return
	}
	took = min(took, maxOutlier*g.service)
	g.service += time.Duration(serviceWeight * float64(took-g.service))
}

// Service returns the mean time for which a statement has its permit; 0 if unknown. It
// includes what statements wait in the database itself. Capacity of them run at a time,
// so the gate gives a turn in each Service / Capacity.
func (g *Gate[T]) Service() time.Duration { return g.service }

// Capacity returns how many statements may be outstanding now.
func (g *Gate[T]) Capacity() int { return g.capacity() }

// Wait estimates how long a statement waits that is queued now and may wait until a given
// time. It is 0 if a permit is free, or if the service time is unknown.
func (g *Gate[T]) Wait(priority int, account string, until time.Duration) time.Duration {
	if g.isFree() {
		return 0
	}
	level := levelOf(priority)
	return g.turns(level, g.queues[level].Ahead(account, int64(until)))
}

// WaitOfLevel estimates how long a statement waits that is queued now behind all others of
// its level.
func (g *Gate[T]) WaitOfLevel(level int) time.Duration {
	if g.isFree() {
		return 0
	}
	return g.turns(level, g.queues[level].Len())
}

func (g *Gate[T]) isFree() bool { return g.running < g.capacity() && g.Waiting() == 0 }

// turns returns the time until a statement begins that has the given number of others of
// its level ahead. While they are served, more urgent statements arrive and are served
// first, in the share of the turns that they took recently. The next permit becomes free
// within a turn.
func (g *Gate[T]) turns(level, own int) time.Duration {
	above, below := 0, 0
	for i := range g.queues {
		switch {
		case i < level:
			above += g.queues[i].Len()
		case i > level:
			below += g.queues[i].Len()
		}
	}
	ahead := float64(above) + float64(own+1)/(1-math.Min(g.above[level], maxShare))
	if below > 0 {
		ahead += math.Min(float64(below), ahead/(reverseEvery-1))
	} else {
		ahead = math.Min(ahead, float64(reverseEvery*(own+1)))
	}
	return time.Duration(ahead * float64(g.turn()))
}

// countTurn records that a queued item of a level got a turn.
func (g *Gate[T]) countTurn(level int) {
	for i := range g.above {
		urgent := 0.0
		if level < i {
			urgent = 1
		}
		g.above[i] += turnWeight * (urgent - g.above[i])
	}
}

// turn returns the mean time between two statements that begin while others wait.
func (g *Gate[T]) turn() time.Duration { return g.service / time.Duration(g.capacity()) }

// RetryAfter returns how much later a statement should return that is refused at now,
// because it would wait for wait and has less time left. Statements of a level that are
// refused one after the other get times that are a turn apart, so that they don't return
// faster than the database serves them; less urgent levels return after them. jitter, from
// 0 to 1, spreads the time by half of it to either side.
func (g *Gate[T]) RetryAfter(now time.Duration, priority int, wait, left time.Duration, jitter float64) time.Duration {
	level := levelOf(priority)
	at := max(now+wait-left, g.returns[level]+g.turn())
	at = min(max(at, now+minRetry), now+min(max(maxRetryQueues*wait, minRetry), maxRetry))
	for i := level; i < Levels; i++ {
		g.returns[i] = max(g.returns[i], at)
	}
	return time.Duration(float64(at-now) * (0.5 + jitter))
}
