package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/keyval"
	"coltsfootloft/stand/linedb"
	"coltsfootloft/stand/opset"
)

// TestRestoredStoreKeepsEvacuation guards against a domain that is used again because the store came back
// from a backup without the operators' key, and against one that stays closed after they cancel it.
func TestRestoredStoreKeepsEvacuation(t *testing.T) {
	f := startEvacuating(t, 3, nil)
	b := f.startBurst()
	backup := f.store.Backup()
	f.evacuateDomain(1)
	f.awaitPrimary(evacuateBound, "db-2", "db-3")
	f.restore(backup, nil)
	time.Sleep(evacuateBound)
	f.awaitPrimary(8*time.Second, "db-2", "db-3")
	f.checkLate()
	f.addHost(4) // has never seen the key
	f.await("the new host", 8*time.Second, f.hosts[3].edge.isReady)
	time.Sleep(time.Second)
	c, _ := connect(t, f.hosts[3], "board", "key-siparia")
	for range 20 {
		c.do("READ news")
	}
	f.checkLate()
	f.evacuateDomain(1)
	time.Sleep(500 * time.Millisecond)
	f.cancelEvacuation(1)
	f.await("the end on every host", 3*time.Second, func() bool {
		for _, h := range f.hosts {
			if len(h.edge.mirror.EvacuatedDomains()) > 0 {
				return false
			}
		}
		return true
	})
	b.end()
}

// TestHostStartsDuringEvacuation guards against a host that uses an evacuated domain because it has not
// seen the evacuation begin, and against one that forgets it over a restart.
func TestHostStartsDuringEvacuation(t *testing.T) {
	f := startEvacuating(t, 3, nil)
	f.evacuateDomain(1)
	f.awaitPrimary(evacuateBound, "db-2", "db-3")
	time.Sleep(evacuateBound)
	f.restart(0)
	f.addHost(4)
	f.await("the new host", 5*time.Second, f.hosts[3].edge.isReady)
	b := f.startBurst()
	time.Sleep(time.Second)
	b.end()
	f.checkLate()
}

// TestHostsRejectedByTheStoreLearnOfEvacuation guards against a host that goes on using an evacuated
// domain while the store rejects it and other hosts know better. If the steward is rejected, the primary may
// not be replaced before the domain is closed (docs/OPERATIONS.md); its writes are refused until the
// evacuation ends.
func TestHostsRejectedByTheStoreLearnOfEvacuation(t *testing.T) {
	for name, rejectSteward := range map[string]bool{"steward": true, "another host": false} {
		t.Run(name, func(t *testing.T) {
			f := startEvacuating(t, 4, nil) // two hosts in the first domain
			b := f.startBurst()
			steward, _ := f.hosts[0].edge.failover.Duty.Holder()
			holder, _ := f.hosts[0].edge.quota.First().Duty.Holder()
			rejected := map[string]bool{}
			for i, h := range f.hosts {
				isSteward := h.settings.Name == steward
				if isSteward == rejectSteward && (isSteward || h.settings.Name != holder) && len(rejected) == 0 {
					rejected[hostIP(i)] = true
				}
			}
			f.store.SetFaults(keyval.Faults{RefusedHosts: rejected})
			f.evacuateDomain(1)
			time.Sleep(evacuateBound + time.Second)
			f.checkLate()
			f.store.SetFaults(keyval.Faults{})
			if rejectSteward {
				f.cancelEvacuation(1)
				f.awaitPrimary(8*time.Second, "db-1", "db-2", "db-3")
			} else {
				f.awaitPrimary(8*time.Second, "db-2", "db-3")
			}
			f.checkLate()
			b.end()
		})
	}
}

// TestEvacuationRenewed removes and writes the key several times in a row, and lets it be overwritten with
// what is no object. It guards against a renewed evacuation that counts its time from a moment at which
// the domain was evacuated, or that a late removal ends.
func TestEvacuationRenewed(t *testing.T) {
	f := startEvacuating(t, 3, nil)
	b := f.startBurst()
	for range 4 {
		f.evacuateDomain(1)
		time.Sleep(300 * time.Millisecond)
		f.cancelEvacuation(1)
		time.Sleep(100 * time.Millisecond)
	}
	f.evacuateDomain(1)
	f.awaitPrimary(evacuateBound, "db-2", "db-3")
	time.Sleep(evacuateBound / 2)
	f.store.Put(opset.EvacuationKey("domain-1"), []byte("[1"))
	time.Sleep(evacuateBound)
	f.checkLate()
	f.cancelEvacuation(1)
	f.await("the end on every host", 3*time.Second, func() bool {
		for _, h := range f.hosts {
			if len(h.edge.mirror.EvacuatedDomains()) > 0 {
				return false
			}
		}
		return true
	})
	b.end()
}

// TestUnusableEvacuationsChangeNothing guards against domains that are evacuated by entries which are none,
// and by hosts whose settings do not call for evacuations.
func TestUnusableEvacuationsChangeNothing(t *testing.T) {
	for name, bound := range map[string]time.Duration{"enabled": evacuateBound, "disabled": 0} {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, 3, func(f *fleet) { f.evacuate = bound })
			for _, value := range opset.OddValues[:6] {
				f.store.Put(opset.EvacuationKey("domain-1"), []byte(value))
			}
			f.store.Put(opset.EvacuationKey(""), struct{}{})
			f.store.Put(opset.EvacuationKey("domain-9"), struct{}{})
			if bound == 0 {
				f.store.Put(opset.EvacuationKey("domain-1"), struct{}{})
			}
			time.Sleep(evacuateBound)
			f.awaitPrimary(time.Second, "db-1")
			c, _ := connect(t, f.hosts[1], "file", "key-arima")
			c.must("WRITE a 1")
			assert.Equal(t, len(f.hosts[1].edge.mirror.EvacuatedDomains()), 0)
			assert.Equal(t, len(f.group.Promotions()), 0)
		})
	}
}

// TestEvacuationMovesSeveralGroups guards against primaries that are replaced one after the other, and
// against a group that keeps another one from being served: one that has no other database, whose writes
// are refused at once from the bound on.
func TestEvacuationMovesSeveralGroups(t *testing.T) {
	groups := make(map[string]*linedb.Group)
	f := startEvacuating(t, 3, func(f *fleet) {
		for name, domains := range map[string][]int{"one": {1, 2}, "two": {1, 3}, "three": {1, 2, 3}, "four": {1, 3}, "alone": {1}} {
			groups[name] = f.addGroupIn(name, domains...)
		}
		f.store.Promote = func(group, database, _ string, fence uint64) int {
			if g := groups[group]; g != nil {
				return g.Promote(database, fence)
			}
			return f.group.Promote(database, fence)
		}
	})
	clients := make(map[string]*client)
	for name := range groups {
		f.await("service of "+name, 5*time.Second, func() bool {
			c, code := connect(t, f.hosts[1], name, "key-arima")
			clients[name] = c
			return code == "" && c.do("WRITE first 1").code == ""
		})
	}
	f.evacuateDomain(1)
	for name, g := range groups {
		g.Close(name+"-1", time.Now().Add(evacuateBound))
	}
	f.await("primaries elsewhere", evacuateBound-500*time.Millisecond, func() bool {
		for name, g := range groups {
			if name != "alone" && g.Primary() == name+"-1" {
				return false
			}
		}
		return f.group.Primary() != "db-1"
	})
	clients["alone"].must("WRITE early 1")
	time.Sleep(evacuateBound)
	for name, c := range clients {
		want := ""
		if name == "alone" {
			want = "BUSY"
		}
		asked := time.Now()
		assert.Equal(t, c.do("WRITE late 1").code, want, name)
		assert.Assert(t, want == "" || time.Since(asked) < targetMS*time.Millisecond/5, "refused after %s", time.Since(asked))
		assert.Equal(t, len(groups[name].Late()), 0, "%v", groups[name].Late())
	}
	f.checkLate()
	partial, refused := uint64(0), uint64(0)
	for _, h := range f.hosts {
		partial += h.edge.metrics.GetOrCreateCounter("coltsfootloft_evacuations_partial_total").Get()
		refused += h.edge.metrics.GetOrCreateCounter("coltsfootloft_evacuation_refused_total").Get()
	}
	assert.Equal(t, partial, uint64(1))
	assert.Equal(t, refused, uint64(1))
}

// TestEvacuationOfDomainThatIsCutOff evacuates a domain whose database only its own host reaches, which
// reaches neither the store nor other hosts. It guards against a primary that stays because it can't be
// asked, and against the host using the database once it is in contact again.
func TestEvacuationOfDomainThatIsCutOff(t *testing.T) {
	f := startEvacuating(t, 3, func(f *fleet) {
		f.evacuate = 5 * time.Second // as deployments have; the lease of a host that is cut off takes 2 s of it
		f.addLinks(t.Context())
		f.hasHostLinks = true
	})
	b := f.startBurst()
	time.Sleep(200 * time.Millisecond)
	cut := func(on bool) {
		f.links[""].From(hostIP(0)).Cut(on)
		for i := 1; i < 3; i++ {
			f.links["db-1"].From(hostIP(i)).Cut(on)
			f.links[f.databases[i].ID()].From(hostIP(0)).Cut(on)
			f.hostLinks.Between(hostName(0), hostName(i)).Cut(on)
		}
	}
	cut(true)
	f.evacuateDomain(1)
	f.await("another primary", f.evacuate+2*time.Second, func() bool { return f.group.Primary() != "db-1" })
	time.Sleep(f.evacuate)
	f.checkLate()
	cut(false)
	f.awaitPrimary(8*time.Second, "db-2", "db-3")
	time.Sleep(500 * time.Millisecond)
	f.checkLate()
	b.halt() // the group has no synchronous replicas: a cut off primary may take its latest commits with it
}
