package linedb

import "time"

// Rejoin takes a database up again, as platforms do after a crash: if another database was
// promoted meanwhile, it is a replica with the log of that one.
func (g *Group) Rejoin(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.databases[id]
	b.down = false
	b.follow()
}

// follow makes a database that is not the primary of the newest term a replica of that one,
// with its log. The caller holds the lock.
func (b *Database) follow() {
	p := b.group.databases[b.group.primary]
	if p == b {
		return
	}
	b.role = roleReplica
	b.term = p.term
	b.log = append([]commit(nil), p.log...)
}

// Write is one item as a commit has left it.
type Write struct{ Item, Data string }

// Log returns how often each write is in the log of the primary of the newest term.
func (g *Group) Log() map[Write]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	writes := make(map[Write]int)
	for _, c := range g.databases[g.primary].log {
		for item, data := range c.items {
			writes[Write{item, data}]++
		}
	}
	return writes
}

// promotion is the time at which a database became the primary.
type promotion struct {
	id string
	at time.Time
}

// WasPrimary reports whether a database was the primary of the newest term at a time.
func (g *Group) WasPrimary(id string, at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	primary := g.first
	for _, p := range g.history {
		if !at.Before(p.at) {
			primary = p.id
		}
	}
	return primary == id
}
