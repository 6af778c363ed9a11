package linedb

import (
	"fmt"
	"net"
	"time"
)

// Arrival is what has arrived at a database while nothing might.
type Arrival struct {
	// At is when it arrived, From since when nothing might.
	At, From time.Time
	// Origin is the IP that it came from.
	Origin string
	// Text names the database and what arrived.
	Text string
}

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
func (g *Group) Late() []Arrival {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Arrival(nil), g.late...)
}

func (b *Database) arrived(conn net.Conn, line string) {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.noteArrival(conn, "request", line)
}

// noteArrival notes what arrives at a database while nothing may. The caller holds the lock.
func (b *Database) noteArrival(conn net.Conn, what, line string) {
	now := time.Now()
	if b.closedFrom.IsZero() || now.Before(b.closedFrom) {
		return
	}
	const most = 80 // bytes of the line
	origin, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	b.group.late = append(b.group.late, Arrival{
		At:     now,
		From:   b.closedFrom,
		Origin: origin,
		Text:   fmt.Sprintf("%s: %s %.*q, %s after it was closed", b.id, what, most, line, now.Sub(b.closedFrom)),
	})
}
