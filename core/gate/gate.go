// Package gate limits the statements that one host has outstanding at one
// database.
//
// A database runs a few statements at a time and refuses those that do not fit
// into its queue. A refused statement is sent again, and a statement that waits
// too long in the database is abandoned while it still runs. Both waste the work
// of an overloaded database. Statements therefore wait on the host, where they
// can be reordered and cancelled at no cost: by priority, and within one priority
// in turn by client account.
package gate

import "coltsfootloft/core/fair"

const (
	// levels is the number of distinct priorities; lower ones share the last
	// level.
	levels = 4
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

	queues    [levels]fair.Queue[T]
	running   int
	reduction int // by how much refusals have lowered Limit
	accepted  int // answers since the last refusal or rise of the limit
	served    int
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
	level := min(max(priority, 0), levels-1)
	t, ok := g.queues[level].Push(account, 1, item)
	return Ticket[T]{
		level:  level,
		ticket: t,
	}, ok
}

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
	for i := range levels {
		level := i
		if g.served%reverseEvery == 0 {
			level = levels - 1 - i
		}
		if item, _, ok = g.queues[level].Pop(); ok {
			g.running++
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
