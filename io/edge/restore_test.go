package edge

import (
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/lease"
	"coltsfootloft/io/mirror"
	"coltsfootloft/stand/keyval"
)

// addRoute adds a route for a database name.
func addRoute(c *config, name string) {
	c.Routes = append(c.Routes, route{
		Name:            "r-" + name,
		Host:            name,
		RouteType:       "primary",
		Service:         "notices",
		TimeoutMs:       timeoutMS,
		TargetLatencyMs: targetMS,
	})
}

// awaitRoute waits until all hosts have a route.
func (f *fleet) awaitRoute(name string) {
	f.t.Helper()
	f.await("route "+name+" on every host", 3*time.Second, func() bool {
		for _, h := range f.hosts {
			if _, ok := h.edge.mirror.View().Settings.Routes[name]; !ok {
				return false
			}
		}
		return true
	})
}

// restore returns the store to a backup while it refuses all calls. Then write, if not nil,
// changes it before it answers again.
func (f *fleet) restore(b keyval.Backup, write func()) {
	f.store.SetFaults(keyval.Faults{Down: true})
	f.store.Restore(b)
	if write != nil {
		write()
	}
	f.store.SetFaults(keyval.Faults{})
}

// replacePrimary lets the primary leave, and returns the next one once all hosts use it.
func (f *fleet) replacePrimary() string {
	f.t.Helper()
	old := f.group.Primary()
	f.announce(0, "draining")
	f.await("another primary on every host", 8*time.Second, func() bool {
		for _, h := range f.hosts {
			if p, ok := h.edge.groups.Primary("notices"); !ok || p.Target.ID == old {
				return false
			}
		}
		return true
	})
	return f.group.Primary()
}

// TestSettingsAreInForceAfterRestore guards against settings that are not applied because
// their revision was given out before a restore: they count as old, or as confirmed.
func TestSettingsAreInForceAfterRestore(t *testing.T) {
	f := startFleet(t, 3, nil)
	backup := f.store.Backup()
	f.changeSettings(func(c *config) { addRoute(c, "first") })
	f.changeSettings(func(c *config) { addRoute(c, "second") })
	f.awaitRoute("second")
	f.restore(backup, func() {
		f.changeSettings(nil)
		f.changeSettings(func(c *config) { addRoute(c, "third") })
	})
	before := f.store.Calls()["kv-range"] + f.store.Calls()["kv-watch"]
	f.awaitRoute("third")
	time.Sleep(time.Second)
	calls := f.store.Calls()["kv-range"] + f.store.Calls()["kv-watch"] - before
	const most = 10 // calls of each kind that a host may make to get current again
	assert.Assert(t, calls <= 2*most*len(f.hosts), "%d listings and watches", calls)
	f.await("service", 5*time.Second, func() bool {
		c, code := connect(t, f.hosts[0], "third", "key-arima")
		return code == "" && c.do("WRITE a 1").code == ""
	})
}

// TestWithdrawnKeyStaysWithdrawnAfterRestore guards against a key that is valid again because
// the store came back from a backup that still has it, before operators write again. One
// host learns of the restore late, as the store refuses its calls, and one starts after it.
func TestWithdrawnKeyStaysWithdrawnAfterRestore(t *testing.T) {
	f := startFleet(t, 3, nil)
	backup := f.store.Backup()
	f.changeSettings(func(c *config) {
		c.Tenants[1].ApiKeys = []string{"key-new"}
		addRoute(c, "first")
	})
	f.awaitRoute("first")
	f.store.Restore(backup)
	f.store.SetFaults(keyval.Faults{RefusedHosts: map[string]bool{"127.0.62.2": true}})
	f.addHost(4)
	f.await("the new host", time.Second, func() bool {
		conn, err := net.Dial("tcp", f.hosts[3].settings.Listen)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
	deadline := time.Now().Add(2 * withdrawal)
	for time.Now().Before(deadline) {
		if time.Until(deadline) < withdrawal {
			f.store.SetFaults(keyval.Faults{})
		}
		for _, h := range f.hosts {
			_, code := connect(t, h, "board", "key-siparia")
			assert.Assert(t, code == "NOAUTH" || code == "BUSY", "%s: %q", h.settings.Name, code)
			if h == f.hosts[3] {
				continue // it has never had the later settings
			}
			_, ok := h.edge.mirror.View().Settings.Routes["first"]
			assert.Assert(t, ok, "%s went back to older settings", h.settings.Name)
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.changeSettings(func(c *config) { addRoute(c, "second") })
	f.awaitRoute("second")
	f.await("service", 5*time.Second, func() bool {
		for _, h := range f.hosts {
			if _, code := connect(t, h, "board", "key-new"); code != "" {
				return false
			}
		}
		return true
	})
}

// TestRestoredRecordNamesNoPrimary guards against a primary of the past that is used because
// the store came back with the record of before the change. One host is new and has never
// seen the later record.
func TestRestoredRecordNamesNoPrimary(t *testing.T) {
	f := startFleet(t, 3, nil)
	backup := f.store.Backup()
	current := f.replacePrimary()
	f.hosts[2].stop()
	assert.NilError(t, <-f.hosts[2].ended)
	f.hosts = f.hosts[:2]
	f.restore(backup, f.announceAll)
	f.addHost(4)
	used := make(map[*testHost]bool)
	deadline := time.Now().Add(4 * lease.TTL)
	for time.Now().Before(deadline) && len(used) < len(f.hosts) {
		for _, h := range f.hosts {
			if p, ok := h.edge.groups.Primary("notices"); ok {
				assert.Equal(t, p.Target.ID, current, h.settings.Name)
				used[h] = true
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	assert.Equal(t, len(used), len(f.hosts), "all hosts use the primary again")
	f.group.SetDown(current, true)
	f.await("another change of primary", 8*time.Second, func() bool { return f.group.Primary() != current })
	for _, p := range f.group.Promotions() {
		assert.Assert(t, !strings.Contains(p, "stale"), p)
	}
}

// TestLeaseLostByRestoreIsWaitedFor guards against a promotion while a host whose
// registration was lost by a restore may still use the old primary under its lease.
func TestLeaseLostByRestoreIsWaitedFor(t *testing.T) {
	f := startFleet(t, 3, nil)
	backup := f.store.Backup()
	f.restore(backup, f.announceAll)
	restored := time.Now()
	f.group.SetDown(f.group.Primary(), true)
	f.await("a promotion", 10*time.Second, func() bool { return len(f.group.Promotions()) > 0 })
	assert.Assert(t, time.Since(restored) >= lease.TTL, "promoted %s after the restore", time.Since(restored))
}

// TestRightsEndWithTheEra guards against a host that goes on with its lease and its duties of
// before a restore, though the store has lost both and another host can hold them.
func TestRightsEndWithTheEra(t *testing.T) {
	f := startFleet(t, 3, nil)
	leases := make(map[*testHost]string)
	for _, h := range f.hosts {
		leases[h] = h.edge.lease.ID()
	}
	fence := uint64(0)
	for _, h := range f.hosts {
		if n, ok := h.edge.failover.Duty.Holds(); ok {
			fence = n
		}
	}
	f.restore(f.store.Backup(), nil)
	f.await("a new lease on every host", 4*time.Second, func() bool {
		for _, h := range f.hosts {
			if id := h.edge.lease.ID(); id == "" || id == leases[h] {
				return false
			}
		}
		return true
	})
	f.await("a holder of the duty", 4*time.Second, func() bool {
		for _, h := range f.hosts {
			if n, ok := h.edge.failover.Duty.Holds(); ok {
				assert.Assert(t, n > fence, "fencing token %d after %d", n, fence)
				return true
			}
		}
		return false
	})
}

// TestRestoreIsLearnedFromOtherHosts guards against a host that keeps the rights of an earlier era
// because the store refuses its calls, while others have learned of the new one.
func TestRestoreIsLearnedFromOtherHosts(t *testing.T) {
	f := startFleet(t, 3, nil)
	h := f.hosts[1]
	f.store.SetFaults(keyval.Faults{RefusedHosts: map[string]bool{"127.0.62.2": true}})
	f.store.Restore(f.store.Backup())
	f.await("the new era known", 2*lease.TTL, func() bool { return h.edge.mirror.Era() == 2 })
	assert.Assert(t, !h.edge.lease.Valid())
	_, ok := h.edge.groups.Primary("notices")
	assert.Assert(t, !ok)
	f.store.SetFaults(keyval.Faults{})
	f.await("service", 2*lease.TTL+5*time.Second, func() bool {
		_, ok := h.edge.groups.Primary("notices")
		return ok
	})
}

// TestPromotionLostByRestoreIsFound guards against a primary of the past that is used because no host
// remembers the change that the store lost: all of them are new.
func TestPromotionLostByRestoreIsFound(t *testing.T) {
	f := startFleet(t, 3, nil)
	backup := f.store.Backup()
	current := f.replacePrimary()
	f.stopAll()
	f.hosts = nil
	f.restore(backup, f.announceAll)
	promotions := len(f.group.Promotions())
	f.addHost(4)
	f.addHost(5)
	f.await("a primary on all hosts", 4*lease.TTL, func() bool {
		for _, h := range f.hosts {
			p, ok := h.edge.groups.Primary("notices")
			if !ok {
				return false
			}
			assert.Equal(t, p.Target.ID, current, h.settings.Name)
		}
		return true
	})
	assert.Equal(t, len(f.group.Promotions()), promotions, "no change of primary is needed")
}

// TestSettledEraIsNotWaitedFor guards against hosts that wait for rights of the past at every start
// because the store was restored once, long ago.
func TestSettledEraIsNotWaitedFor(t *testing.T) {
	f := startFleet(t, 3, nil)
	f.restore(f.store.Backup(), f.announceAll)
	f.await("the era settled", 2*lease.TTL, func() bool {
		i, ok := f.store.Get("coltsfootloft/" + mirror.SettledKey)
		return ok && string(i.Value) == "2"
	})
	f.stopAll()
	f.hosts = nil
	f.addHost(4)
	f.addHost(5)
	f.await("a holder of the duty and accepted keys", lease.TTL, func() bool {
		for _, h := range f.hosts {
			if _, ok := h.edge.groups.Primary("notices"); !ok || !h.edge.mirror.IsConfirmed() {
				return false
			}
		}
		return true
	})
}

// TestKeyWithdrawnUnseenStaysWithdrawn guards against a withdrawn key that is served again on a host which
// was cut off from the store when the key went, and confirms the settings that a restore brought back.
func TestKeyWithdrawnUnseenStaysWithdrawn(t *testing.T) {
	f := startFleet(t, 3, nil)
	f.awaitDutyHeld(1, time.Second)
	backup := f.store.Backup()
	f.store.SetFaults(keyval.Faults{RefusedHosts: map[string]bool{"127.0.62.1": true}})
	f.changeSettings(func(c *config) { c.Tenants[1].ApiKeys = []string{"key-new"} })
	time.Sleep(withdrawal)
	f.restore(backup, f.announceAll)
	deadline := time.Now().Add(3 * lease.TTL)
	for time.Now().Before(deadline) {
		for _, h := range f.hosts {
			_, code := connect(t, h, "board", "key-siparia")
			assert.Assert(t, code == "NOAUTH" || code == "BUSY" || code == "closed", "%s: %q", h.settings.Name, code)
		}
		time.Sleep(2 * time.Millisecond)
	}
	f.changeSettings(nil)
	f.await("service", 5*time.Second, func() bool {
		for _, h := range f.hosts {
			if _, code := connect(t, h, "board", "key-new"); code != "" {
				return false
			}
		}
		return true
	})
}
