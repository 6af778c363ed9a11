package linedb

import (
	"fmt"
	"time"
)

// Close declares that nothing may arrive at a database from a time on, until Reopen. What does is
// listed by [Group.Late].
func (g *Group) Close(id string, from time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.databases[id].closedFrom = from
}

// Reopen declares that anything may arrive at a database again.
func (g *Group) Reopen(id string) { g.Close(id, time.Time{}) }

// Connections returns how many connections to a database are open.
func (g *Group) Connections(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.databases[id].conns)
}

// Late returns what has arrived at databases while nothing might: connections, sessions and requests.
func (g *Group) Late() []Violation {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Violation(nil), g.late...)
}

func (b *Database) arrived(line string) {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.noteArrival("request", line)
}

// noteArrival notes what arrives at a database while nothing may. The caller holds the lock.
func (b *Database) noteArrival(what, line string) {
	now := time.Now()
	if b.closedFrom.IsZero() || now.Before(b.closedFrom) {
		return
	}
	const most = 80 // bytes of the line
	b.group.late = append(b.group.late, Violation{
		At:   now,
		Text: fmt.Sprintf("%s: %s %.*q, %s after it was closed", b.id, what, most, line, now.Sub(b.closedFrom)),
	})
}
