package dbpool

import (
	"coltsfootloft/core/gate"
	"coltsfootloft/core/load"
)

// Load returns the load of a database as its gate on this host sees it. ok is false if loads are not
// measured, or not known yet.
func (p *Pools) Load(t Target) (r load.Report, ok bool) {
	if p.SlotShare == nil {
		return r, false
	}
	slots, owners := p.SlotShare(t)
	limit := p.Outstanding(t)
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.pool(t.ID)
	n.gate.Limit = limit
	service := n.gate.Service()
	if service == 0 {
		return r, false
	}
	r = load.Report{
		Waiting:  n.gate.Waiting(),
		Running:  n.gate.Running(),
		Capacity: n.gate.Capacity(),
		Service:  service,
	}
	n.meter.Slots = slots
	n.meter.Advance(p.Clock.Elapsed(), r.Waiting)
	r.Work = n.meter.Work(service)
	r.Free = float64(owners) * n.meter.Free(service)
	for level := range gate.Levels {
		r.Waits[level] = n.gate.WaitOfLevel(level)
	}
	return r, true
}
