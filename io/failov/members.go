package failov

import (
	"context"
	"time"

	"coltsfootloft"
	"coltsfootloft/io/mirror"
)

// membersPeriod is the minimum time between two reads of the statuses of a group whose members have changed.
const membersPeriod = time.Second

// keepMembers keeps the list of the members in the record of a group whose commits are acknowledged once
// replicas have received them. The record needs it because hosts forget databases whose entries are gone, and a
// host that starts has never known them. received is a position that the primary has just had.
func (c *Controller) keepMembers(ctx context.Context, name string, g mirror.Group, received coltsfootloft.Position) {
	sync := c.syncReplicas(name)
	if sync == 0 || g.HasMembers(c.announced(name)) || !c.mayReadMembers(name) {
		return
	}
	r := g.Record
	r.Members = g.UpdatedMembers(c.readStatuses(ctx, name), received, sync)
	if g.HasMembers(r.Members) {
		return
	}
	c.Log.Info("members of a group", "group", name, "epoch", r.Epoch, "members", r.Members)
	if _, err := c.writeRecord(ctx, name, r, g.Revision); err != nil {
		c.Log.Info("members not recorded", "group", name, "reason", err.Error())
	}
}

// announced returns the databases of a group that are announced, with their starts.
func (c *Controller) announced(group string) map[string]int64 {
	started := make(map[string]int64)
	for _, u := range c.Mirror.View().Members(group) {
		if !u.Removed {
			started[u.Upstream.Name()] = u.Started
		}
	}
	return started
}

func (c *Controller) mayReadMembers(group string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stateOf(group)
	now := c.Clock.Elapsed()
	if s.membersRead > 0 && now-s.membersRead < membersPeriod {
		return false
	}
	s.membersRead = now
	return true
}
