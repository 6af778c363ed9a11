package edge

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOwnWritesAreReadAfterTheRouteMovedBack guards against a session that remembers its last write of one
// group only: its route moves to another group, where it writes, and back while replicas receive nothing.
func TestOwnWritesAreReadAfterTheRouteMovedBack(t *testing.T) {
	f := startFleet(t, 3, nil)
	f.addGroup(t.Context(), "other")
	f.changeSettings(func(c *config) {
		c.Services = append(c.Services, service{
			Name:     "other",
			MaxConns: 30,
		})
	})
	h := f.hosts[1]
	f.await("primary of the other group", 5*time.Second, func() bool {
		_, ok := h.edge.groups.Primary("other")
		return ok
	})
	moveTo := func(group string) {
		f.changeSettings(func(c *config) {
			i := slices.IndexFunc(c.Routes, func(r route) bool { return r.Host == "minutes" })
			c.Routes[i].Service = group
		})
		f.await("moved route", 3*time.Second, func() bool {
			return h.edge.mirror.View().Settings.Routes["minutes"].Group == group
		})
	}
	c, _ := connect(t, h, "minutes", "key-arima")
	c.must("WRITE page zero")
	time.Sleep(1600 * time.Millisecond) // until replicas may serve what they have
	primary, _ := connect(t, h, "file", "key-arima")
	primary.must("READ page") // shows the host a position without the next write
	f.group.PauseReplication("db-2", true)
	f.group.PauseReplication("db-3", true)
	c.must("WRITE page one")
	moveTo("other")
	c.must("WRITE page two")
	moveTo("notices")
	for range 5 {
		assert.DeepEqual(t, c.must("READ page").rows, []string{"one"})
	}
}
