package pool

// takeIdle removes and returns the connection that was used last, or nil if there is none. It closes
// those that were closed by the database or have unread input. The lock is held.
func (p *Pool) takeIdle() *Conn {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if p.isFit(c) {
			return c
		}
		p.open--
		go p.closeAndReplace(c)
	}
	return nil
}

// isFit reports whether a connection may serve another session.
func (p *Pool) isFit(c *Conn) bool {
	if c.broken.Load() {
		return false
	}
	if !c.isQuiet() {
		p.Log.Info("upstream connection not reused", "upstream", p.Upstream.Name(), "reason", "unread input or end of stream")
		return false
	}
	return true
}
