package dbpool

// isClosed reports whether nothing may be sent to a database.
func (p *Pools) isClosed(t Target) bool { return p.IsClosed != nil && p.IsClosed(t) }

// CloseClosed closes the idle connections to databases to which nothing may be sent, without
// sending anything, and ends the waits for others with ErrClosed. It returns how many connections
// are still open to such databases, because they are in use.
func (p *Pools) CloseClosed() (open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.pools {
		if n.open == 0 && len(n.waiters) == 0 {
			continue
		}
		n.failWaiters(func(w *connWaiter) bool { return p.isClosed(w.target) }, ErrClosed)
		idle := n.idle[:0:0]
		for _, c := range n.idle {
			if p.isClosed(c.target) {
				p.closeConn(n, c)
			} else {
				idle = append(idle, c)
			}
		}
		n.idle = idle
		if p.isClosed(n.target) {
			open += n.open
		}
	}
	return open
}
