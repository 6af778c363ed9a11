package edge

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/conf"
)

// twoRegions puts domain 3 into a region of its own, with a host in each domain.
func twoRegions(f *fleet) {
	f.change = func(s *conf.EntrySettings) {
		s.Regions = map[string]string{
			"domain-1": "north",
			"domain-2": "north",
			"domain-3": "south",
		}
	}
}

func (f *fleet) setRegions(name string, regions any) {
	f.changeSettings(func(c *config) {
		c.Routes = append([]route(nil), c.Routes...)
		for i := range c.Routes {
			if c.Routes[i].Host == name {
				c.Routes[i].AllowedRegions = regions
			}
		}
	})
	f.awaitVersion()
}

// awaitVersion waits until all hosts have the latest settings.
func (f *fleet) awaitVersion() {
	f.await("hosts with the settings", 5*time.Second, func() bool {
		for _, h := range f.hosts {
			s := h.edge.mirror.View().Settings
			if s == nil || s.Version != uint64(f.config.ConfigVersion) || !h.edge.mirror.IsConfirmed() {
				return false
			}
		}
		return true
	})
}

// databasesOf returns the databases that ran statements whose text contains mark.
func (f *fleet) databasesOf(mark string) map[string]int {
	counts := make(map[string]int)
	for _, r := range f.group.Runs() {
		if strings.Contains(r.Text, mark) {
			counts[r.Database]++
		}
	}
	return counts
}

// TestStatementsStayInTheirRegions guards against a statement that reaches a database outside the
// regions that its route and account allow, and against one that waits although none is allowed.
func TestStatementsStayInTheirRegions(t *testing.T) {
	f := startFleet(t, 3, twoRegions) // the primary is in the north
	f.setRegions("board", []string{"south"})
	f.setRegions("file", []string{"south"})
	for _, h := range f.hosts {
		board, _ := connect(t, h, "board", "key-arima")
		for range 20 {
			board.must("READ south")
		}
		board.must("BEGIN READ")
		board.must("READ south")
		board.must("COMMIT")
		started := time.Now()
		file, _ := connect(t, h, "file", "key-arima")
		assert.Equal(t, file.do("WRITE south x").code, "BUSY")
		assert.Equal(t, file.do("READ south").code, "BUSY")
		assert.Equal(t, board.do("WRITE south x").code, "BUSY")
		assert.Assert(t, time.Since(started) < targetMS*time.Millisecond, "refused only after %s", time.Since(started))
		minutes, _ := connect(t, h, "minutes", "key-arima")
		minutes.must("WRITE free x")
	}
	assert.DeepEqual(t, f.databasesOf("south"), map[string]int{"db-3": 63})
	f.changeSettings(func(c *config) {
		c.Tenants = append([]tenant(nil), c.Tenants...)
		c.Tenants[1].AllowedRegions = []string{"north"}
	})
	f.awaitVersion()
	for _, h := range f.hosts {
		c, _ := connect(t, h, "board", "key-siparia") // the route allows the south, the account the north
		assert.Equal(t, c.do("READ both").code, "BUSY")
		c, _ = connect(t, h, "minutes", "key-siparia")
		for range 10 {
			c.must("READ north")
		}
	}
	assert.Equal(t, len(f.databasesOf("both")), 0)
	assert.Equal(t, f.databasesOf("north")["db-3"], 0)
	assert.Equal(t, f.databasesOf("north")["db-1"]+f.databasesOf("north")["db-2"], 30)
}

// TestTransactionLeavesARegionNotAllowedAnyMore guards against a transaction that goes on, or commits,
// at a database in a region that the settings allow no more.
func TestTransactionLeavesARegionNotAllowedAnyMore(t *testing.T) {
	f := startFleet(t, 3, twoRegions)
	c, _ := connect(t, f.hosts[2], "file", "key-arima")
	c.must("BEGIN")
	c.must("WRITE late x")
	f.setRegions("file", []string{"south"})
	assert.Equal(t, c.do("COMMIT").code, "ABORTED")
	assert.Equal(t, f.databasesOf("COMMIT")["db-1"], 0)
}

// TestNoRegionsNoRestriction guards against a deployment without regions in its process settings that
// refuses statements, and against unusable values that make the rest of the settings unusable.
func TestNoRegionsNoRestriction(t *testing.T) {
	f := startFleet(t, 2, nil)
	f.setRegions("file", []string{"south"})
	f.setRegions("board", "south")
	for _, h := range f.hosts {
		for _, route := range []string{"file", "board"} {
			c, _ := connect(t, h, route, "key-arima")
			c.must("WRITE free x")
			c.must("READ free")
		}
	}
}

// TestStatementsAreNotHandedToOtherRegions guards against a statement that is handed to a host in a
// region that is neither allowed nor that of the caller's host. No host is in the domain of the
// allowed database, so that without regions either host may own its connections.
func TestStatementsAreNotHandedToOtherRegions(t *testing.T) {
	f := startFleet(t, 2, func(f *fleet) {
		f.change = func(s *conf.EntrySettings) {
			s.Regions = map[string]string{
				"domain-1": "north",
				"domain-2": "east",
				"domain-3": "south",
			}
		}
	})
	f.setRegions("board", []string{"south"})
	opened := func(h *testHost) uint64 {
		return h.edge.metrics.GetOrCreateCounter(`coltsfootloft_database_connections_total{event="opened"}`).Get()
	}
	for i, h := range f.hosts {
		other := f.hosts[1-i]
		before := opened(other)
		for _, account := range []string{"arima", "siparia"} {
			c, _ := connect(t, h, "board", "key-"+account)
			c.must("READ own")
			c.must("READ own")
		}
		assert.Equal(t, opened(other), before, "connections of %s", other.settings.Name)
	}
	assert.DeepEqual(t, f.databasesOf("own"), map[string]int{"db-3": 8})
}
