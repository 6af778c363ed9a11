// Package gate limits the statements that one host has outstanding at one
// database.
//
// A database runs a few statements at a time and refuses those that do not fit
// into its queue. A refused statement is sent again, and a statement that waits
// too long in the database is abandoned while it still runs. Both waste the work
// of an overloaded database. Statements therefore wait on the host, where they
// can be reordered and cancelled at no cost: by priority, and within one priority
// in turn by client account.
//
// A gate also estimates how long a statement would wait, from the statements ahead of it
// and the time for which statements have their permits. A statement that could not begin
// in time is better refused at once.
package gate

import (
	"time"

	"coltsfootloft/core/fair"
)

const (
	// Levels is the number of distinct priorities; lower ones share the last
	// level.
	Levels = 4
	// reverseEvery is how often the lowest level that has waiters is served
	// first, so that higher levels cannot starve it: one time in four.
	reverseEvery = 4
	// restoreAfter is the number of answers without a refusal after which the
	// limit rises by one again: about one pass through a queue of the usual
	// length.
	restoreAfter = 16
)

// Gate limits the statements at one database. It is not safe for concurrent use.
type Gate[T any] struct {
	// Limit is the greatest number of outstanding statements; one is always
	// allowed.
	Limit int

	queues    [Levels]fair.Queue[T]
	running   int
	reduction int // by how much refusals have lowered Limit
	accepted  int // answers since the last refusal or rise of the limit
	served    int

	service time.Duration         // mean time for which a statement has its permit
	above   [Levels]float64       // recent share of the queue's turns taken by more urgent levels
	returns [Levels]time.Duration // when the last statement refused at each level is to return
}

// Ticket identifies a queued item.
type Ticket[T any] struct {
	level  int
	ticket *fair.Ticket[T]
}

// TryAcquire takes a permit if one is free and no item waits, and reports whether it
// did.
func (g *Gate[T]) TryAcquire() bool {
	if g.running >= g.capacity() || g.Waiting() > 0 {
		return false
	}
	g.running++
	return true
}

// ForceAcquire takes a permit even if none is free. It is for statements that end what
// others wait for.
func (g *Gate[T]) ForceAcquire() { g.running++ }

// Enqueue queues an item by the priority of its statement, 0 for the most urgent. It
// reports false if the queue is full.
func (g *Gate[T]) Enqueue(priority int, account string, item T) (Ticket[T], bool) {
	level := levelOf(priority)
	t, ok := g.queues[level].Push(account, 1, item)
	return Ticket[T]{
		level:  level,
		ticket: t,
	}, ok
}

// EnqueueUntil is like Enqueue for an item that waits until a given time at most. Among the
// items of its account and level, the one with the least time left is served first. All
// items of a gate are queued by the same one of the two methods.
func (g *Gate[T]) EnqueueUntil(priority int, account string, until time.Duration, item T) (Ticket[T], bool) {
	level := levelOf(priority)
	t, ok := g.queues[level].PushRanked(account, 1, int64(until), item)
	return Ticket[T]{
		level:  level,
		ticket: t,
	}, ok
}

func levelOf(priority int) int { return min(max(priority, 0), Levels-1) }

// Cancel removes a queued item. It reports false if Dequeue has already returned the
// item.
func (g *Gate[T]) Cancel(t Ticket[T]) bool { return g.queues[t.level].Remove(t.ticket) }

// Release returns a permit. refused is set if the database had no room for the
// statement; it lowers the limit by one.
func (g *Gate[T]) Release(refused bool) {
	g.running--
	if refused {
		g.accepted = 0
		g.reduction = max(min(g.reduction+1, g.Limit-1), 0)
		return
	}
	g.accepted++
	if g.accepted >= restoreAfter && g.reduction > 0 {
		g.accepted = 0
		g.reduction--
	}
}

// Dequeue takes a permit for the next queued item and returns the item, if a permit is
// free and an item waits.
func (g *Gate[T]) Dequeue() (item T, ok bool) {
	if g.running >= g.capacity() {
		return item, false
	}
	g.served++
	for i := range Levels {
		level := i
		if g.served%reverseEvery == 0 {
			level = Levels - 1 - i
		}
		if item, _, ok = g.queues[level].Pop(); ok {
			g.running++
			g.countTurn(level)
			return item, true
		}
	}
	return item, false
}

// Waiting returns the number of queued items.
func (g *Gate[T]) Waiting() int {
	n := 0
	for i := range g.queues {
		n += g.queues[i].Len()
	}
	return n
}

// Running returns the number of permits taken.
func (g *Gate[T]) Running() int { return g.running }

// capacity returns how many statements may be outstanding now.
func (g *Gate[T]) capacity() int { return max(g.Limit-g.reduction, 1) }
