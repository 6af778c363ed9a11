package relay

import "coltsfootloft/io/dbpool"

// isClosed reports whether nothing may be sent to a database.
func (r *Relay) isClosed(t dbpool.Target) bool { return r.Pools.IsClosed != nil && r.Pools.IsClosed(t) }

// EndClosed ends the transactions of other hosts at databases to which nothing may be sent, as their
// connections are closed. It returns how many those were.
func (r *Relay) EndClosed() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for handle, h := range r.held {
		if !r.isClosed(h.conn.Target()) {
			continue
		}
		delete(r.held, handle)
		h.timer.Stop()
		r.Pools.Release(h.conn, false)
		count++
	}
	return count
}
