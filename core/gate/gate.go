// Package gate bounds what one host has outstanding at one database.
//
// A database runs a few statements at a time and refuses what its queue can't hold.
// A statement that is refused is asked again, and one that waits long there is
// given up while it still runs: both take from the work of a database that has
// none to spare. So statements wait on the host, where they can be ordered and
// given up at no cost: the urgent before the others, and at each level the client
// accounts in turn.
package gate

import "coltsfootloft/core/fair"

const (
	// levels is how many priorities are told apart; lower ones are one.
	levels = 4
	// relief is how often the lowest level that waits is served before the
	// others, so that the urgent can't keep it out for good: each time in four.
	relief = 4
	// calm is how many answers in a row without a refusal allow one more
	// statement again: a queue of the usual length, once through.
	calm = 16
)

// Gate is that of one database. It is not safe for concurrent use.
type Gate[T any] struct {
	// Limit is the most statements that may be outstanding; one may always be.
	Limit int

	queues  [levels]fair.Queue[T]
	running int
	closed  int // places that refusals have closed
	quiet   int // answers since the last refusal
	served  int
}

// Ticket is a place among those that wait.
type Ticket[T any] struct {
	level  int
	ticket *fair.Ticket[T]
}

// Enter takes a place if one is free and nobody waits.
func (g *Gate[T]) Enter() bool {
	if g.running >= g.open() || g.Waiting() > 0 {
		return false
	}
	g.running++
	return true
}

// Force takes a place whether one is free or not, for statements that end what
// others wait for.
func (g *Gate[T]) Force() { g.running++ }

// Enqueue queues an item by the priority of its statement, 0 for the most urgent; false
// if the queue is full.
func (g *Gate[T]) Enqueue(priority int, account string, item T) (Ticket[T], bool) {
	level := min(max(priority, 0), levels-1)
	t, ok := g.queues[level].Push(account, 1, item)
	return Ticket[T]{
		level:  level,
		ticket: t,
	}, ok
}

// GiveUp takes an item out of the queue; false if it was let in before.
func (g *Gate[T]) GiveUp(t Ticket[T]) bool { return g.queues[t.level].Remove(t.ticket) }

// Release gives a place back; refused tells that the database had no room for the
// statement.
func (g *Gate[T]) Release(refused bool) {
	g.running--
	if refused {
		g.quiet = 0
		g.closed = max(min(g.closed+1, g.Limit-1), 0)
		return
	}
	g.quiet++
	if g.quiet >= calm && g.closed > 0 {
		g.quiet = 0
		g.closed--
	}
}

// Dequeue lets the next item in, if there is a place and somebody waits.
func (g *Gate[T]) Dequeue() (item T, ok bool) {
	if g.running >= g.open() {
		return item, false
	}
	g.served++
	for i := range levels {
		level := i
		if g.served%relief == 0 {
			level = levels - 1 - i
		}
		if item, _, ok = g.queues[level].Pop(); ok {
			g.running++
			return item, true
		}
	}
	return item, false
}

// Waiting counts those that wait.
func (g *Gate[T]) Waiting() int {
	n := 0
	for i := range g.queues {
		n += g.queues[i].Len()
	}
	return n
}

// Running counts the places that are taken.
func (g *Gate[T]) Running() int { return g.running }

// open is how many may be outstanding now.
func (g *Gate[T]) open() int { return max(g.Limit-g.closed, 1) }
