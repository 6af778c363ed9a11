package edge

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/mirror"
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

// TestTransactionEndsWhenItsKeyMoves guards against a transaction that goes on for the account that its
// key belonged to when it began, although the operators have moved the key to another account.
func TestTransactionEndsWhenItsKeyMoves(t *testing.T) {
	for _, last := range []string{"WRITE hall late", "COMMIT"} {
		f := startFleet(t, 3, nil)
		c, _ := connect(t, f.hosts[0], "file", "key-arima")
		c.must("BEGIN")
		c.must("WRITE hall early")
		f.changeSettings(func(c *config) {
			c.Tenants[0].ApiKeys = []string{"key-other"}
			c.Tenants[1].ApiKeys = append(c.Tenants[1].ApiKeys, "key-arima")
		})
		f.await("moved key", 3*time.Second, func() bool {
			return f.hosts[0].edge.mirror.View().Settings.Keys["key-arima"] == "siparia"
		})
		assert.Equal(t, c.do(last).code, "ABORTED")
		c.do("ROLLBACK")
		c.must("WRITE board now")
		for _, r := range f.group.Runs() {
			assert.Assert(t, !r.Committed || strings.Contains(r.Text, "board") && r.Account == "siparia", "%+v", r)
		}
	}
}

// TestOutdatedHostServesNoPublicRoute guards against a host that serves a route which the operators have
// removed for as long as its watch is behind: the settings are not confirmed for routes without a key.
func TestOutdatedHostServesNoPublicRoute(t *testing.T) {
	f := startFleet(t, 3, nil)
	f.changeSettings(func(c *config) { c.Routes[0].Public = true })
	h := f.hosts[0]
	f.await("a public route", 3*time.Second, func() bool {
		return h.edge.mirror.View().Settings.Version == uint64(f.config.ConfigVersion)
	})
	c, code := connect(t, h, f.config.Routes[0].Host, "no-key")
	assert.Equal(t, code, "")
	c.must("READ page")
	held := h.edge.mirror.View().Settings
	h.edge.mirror.ObserveReport(mirror.Freshness{
		SettingsRevision: held.Revision + 1,
		SettingsVersion:  held.Version + 1,
	})
	c.must("READ page")
	f.await("refusal", 3*time.Second, func() bool { return c.do("READ page").code == "BUSY" })
	f.changeSettings(nil)
	f.await("the later settings", 3*time.Second, func() bool { return c.do("READ page").code == "" })
}
