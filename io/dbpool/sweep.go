package dbpool

import (
	"context"
	"time"

	"coltsfootloft/io/ask"
)

// Run closes connections that have been idle for too long until ctx ends, and then all
// idle ones.
func (p *Pools) Run(ctx context.Context) {
	ask.Expose(p.Metrics)
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(0)
			return
		case <-t.C:
			p.sweep(idleLimit)
		}
	}
}

func (p *Pools) sweep(limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Elapsed()
	for id, n := range p.pools {
		for len(n.idle) > 0 && now-n.idle[0].idleSince >= limit {
			c := n.idle[0]
			n.idle = n.idle[1:]
			p.closeConn(n, c)
		}
		if n.open == 0 && len(n.waiters) == 0 && !n.isDown && n.gate.Running() == 0 && n.gate.Waiting() == 0 {
			delete(p.pools, id)
		}
	}
}
