package edge

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/keyval"
	"coltsfootloft/stand/linedb"
	"coltsfootloft/stand/opset"
)

// evacuateBound is the time within which evacuations of tests must be in effect.
const evacuateBound = 3 * time.Second

// startEvacuating starts a fleet whose operators may evacuate domains.
func startEvacuating(t *testing.T, n int, change func(*fleet)) *fleet {
	t.Helper()
	return startFleet(t, n, func(f *fleet) {
		f.evacuate = evacuateBound
		if change != nil {
			change(f)
		}
	})
}

// evacuateDomain evacuates domain n. From the bound on, nothing may arrive at its database.
func (f *fleet) evacuateDomain(n int) {
	f.store.Put(opset.EvacuationKey(fmt.Sprintf("domain-%d", n)), struct{}{})
	f.group.Close(f.databases[n-1].ID(), time.Now().Add(evacuateBound))
}

// cancelEvacuation ends the evacuation of domain n.
func (f *fleet) cancelEvacuation(n int) {
	f.group.Reopen(f.databases[n-1].ID())
	f.store.Remove(opset.EvacuationKey(fmt.Sprintf("domain-%d", n)))
}

// checkLate fails the test if something arrived at a database of an evacuated domain.
func (f *fleet) checkLate() {
	f.t.Helper()
	late := f.group.Late()
	for _, v := range late[:min(len(late), 5)] {
		f.t.Errorf("%d late, %s", len(late), v.Text)
	}
}

// burst is callers that read, write and open transactions at all hosts.
type burst struct {
	f     *fleet
	halt  func() // stops the callers
	stop  chan struct{}
	wait  sync.WaitGroup
	mu    sync.Mutex
	acked map[linedb.Write]bool
}

// startBurst starts several callers at each host that runs.
func (f *fleet) startBurst() *burst {
	b := &burst{
		f:     f,
		stop:  make(chan struct{}),
		acked: make(map[linedb.Write]bool),
	}
	b.halt = sync.OnceFunc(func() {
		close(b.stop)
		b.wait.Wait()
	})
	f.t.Cleanup(b.halt)
	for i, h := range f.hosts {
		for j := range 4 {
			b.wait.Go(func() { b.call(h, fmt.Sprintf("i%d-%d", i, j), j) })
		}
	}
	return b
}

func (b *burst) call(h *testHost, name string, kind int) {
	database := []string{"file", "board", "minutes", "file"}[kind]
	var c *client
	for n := 0; ; n++ {
		select {
		case <-b.stop:
			return
		case <-time.After(3 * time.Millisecond):
		}
		if c == nil {
			if c, _ = connect(b.f.t, h, database, "key-arima"); c == nil {
				continue
			}
		}
		item, data := fmt.Sprintf("%s-%d", name, n), fmt.Sprint(n)
		c.do("READ " + item)
		var a answer
		if kind == 3 {
			c.do("BEGIN")
			c.do("WRITE " + item + " " + data)
			time.Sleep(5 * time.Millisecond)
			a = c.do("COMMIT")
		} else {
			a = c.do("WRITE " + item + " " + data)
		}
		if a.lost {
			c = nil
		}
		if a.code == "" && !a.lost {
			b.mu.Lock()
			b.acked[linedb.Write{
				Item: item,
				Data: data,
			}] = true
			b.mu.Unlock()
		}
	}
}

// end stops the callers and checks that each acknowledged write is in the log of the primary once.
func (b *burst) end() {
	b.f.t.Helper()
	b.halt()
	log := b.f.group.Log()
	lost := 0
	for w := range b.acked {
		if log[w] != 1 {
			lost++
			if lost <= 5 {
				b.f.t.Errorf("write %v is %d times in the log", w, log[w])
			}
		}
	}
	b.f.t.Logf("%d writes acknowledged, %d lost, primary %s", len(b.acked), lost, b.f.group.Primary())
	assert.Assert(b.f.t, len(b.acked) > 0)
}

// awaitPrimary waits until all hosts use a primary that allowed accepts.
func (f *fleet) awaitPrimary(limit time.Duration, allowed ...string) {
	f.t.Helper()
	f.await(fmt.Sprintf("primary of %v", allowed), limit, func() bool {
		for _, h := range f.hosts {
			p, ok := h.edge.groups.Primary("notices")
			found := false
			for _, id := range allowed {
				found = found || p.Target.ID == id
			}
			if !ok || !found {
				return false
			}
		}
		return true
	})
}

// TestEvacuatedDomainGetsNothing evacuates the domain of the primary while callers read, write and open
// transactions, under different faults of the store, and cancels that again. It guards against statements,
// connections and probes that reach the domain after the bound, and against writes that are lost with the
// change of primary.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		before, after keyval.Faults // before and after the evacuation begins
		compact       bool
		stays         bool // the primary can't be replaced, as hosts don't see its record
		sync          int
	}{
		"calm": {},
		"sync": {sync: 1},
		"slow": {before: keyval.Faults{Delay: 150 * time.Millisecond}, after: keyval.Faults{Delay: 150 * time.Millisecond}},
		"compacted": {
			before:  keyval.Faults{StallWatches: true},
			after:   keyval.Faults{StallWatches: true},
			compact: true,
		},
		"blind": {
			before: keyval.Faults{BlindHosts: map[string]bool{"127.0.62.1": true, "127.0.62.2": true, "127.0.62.3": true}},
			after:  keyval.Faults{BlindHosts: map[string]bool{"127.0.62.1": true, "127.0.62.2": true, "127.0.62.3": true}},
			stays:  true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := startEvacuating(t, 3, func(f *fleet) { f.config.Services[0].SyncReplicas = c.sync })
			b := f.startBurst()
			time.Sleep(300 * time.Millisecond)
			f.store.SetFaults(c.before)
			f.evacuateDomain(1)
			if c.compact {
				f.store.Compact()
			}
			f.store.SetFaults(c.after)
			if !c.stays {
				f.awaitPrimary(evacuateBound, "db-2", "db-3")
			}
			time.Sleep(evacuateBound + 500*time.Millisecond)
			f.checkLate()
			f.store.SetFaults(keyval.Faults{})
			before := len(f.group.Runs())
			f.cancelEvacuation(1)
			f.await("reads at the database that is back", 8*time.Second, func() bool {
				for _, r := range f.group.Runs()[before:] {
					if r.Database == "db-1" {
						return true
					}
				}
				return false
			})
			b.end()
			assert.Assert(t, c.stays || len(f.group.Promotions()) == 1, "%v", f.group.Promotions())
		})
	}
}

// TestEvacuationOfSeveralDomains evacuates two domains at once, so that only one database may become
// the primary.
func TestEvacuationOfSeveralDomains(t *testing.T) {
	f := startEvacuating(t, 3, nil)
	b := f.startBurst()
	f.evacuateDomain(1)
	f.evacuateDomain(2)
	f.awaitPrimary(evacuateBound, "db-3")
	time.Sleep(evacuateBound)
	f.checkLate()
	b.end()
}

// TestEvacuationOfAllDomains guards against a primary that is given up for one in another evacuated
// domain, and against writes that wait, or reach a database, after the bound.
func TestEvacuationOfAllDomains(t *testing.T) {
	f := startEvacuating(t, 3, nil)
	b := f.startBurst()
	for n := range 3 {
		f.evacuateDomain(n + 1)
	}
	c, _ := connect(t, f.hosts[2], "file", "key-arima")
	time.Sleep(evacuateBound / 2)
	c.must("WRITE early 1")
	time.Sleep(evacuateBound/2 + 200*time.Millisecond)
	for range 3 {
		asked := time.Now()
		assert.Equal(t, c.do("WRITE late 1").code, "BUSY")
		assert.Assert(t, time.Since(asked) < targetMS*time.Millisecond/5, "refused after %s", time.Since(asked))
	}
	time.Sleep(500 * time.Millisecond)
	f.checkLate()
	for n := range 3 {
		f.cancelEvacuation(n + 1)
	}
	f.await("service", 3*time.Second, func() bool { return c.do("WRITE again 1").code == "" })
	b.end()
	assert.Equal(t, len(f.group.Promotions()), 0)
}

// TestTransactionEndsWithEvacuation guards against a COMMIT or ROLLBACK that reaches a closed database,
// and a transaction that stays open there.
func TestTransactionEndsWithEvacuation(t *testing.T) {
	f := startEvacuating(t, 3, func(f *fleet) { f.config.Limits["TxIdleMs"] = 20000 })
	var open []*client
	for _, h := range f.hosts {
		c, _ := connect(t, h, "file", "key-arima")
		c.must("BEGIN")
		c.must("WRITE held-" + h.settings.Name + " 1")
		open = append(open, c)
	}
	for n := range 3 {
		f.evacuateDomain(n + 1)
	}
	time.Sleep(evacuateBound + 100*time.Millisecond)
	assert.Equal(t, open[0].do("COMMIT").code, "ABORTED")
	assert.Equal(t, open[1].do("WRITE more 1").code, "ABORTED")
	open[2].do("ROLLBACK")
	time.Sleep(300 * time.Millisecond)
	f.checkLate()
	assert.Equal(t, len(f.group.Log()), 0)
}

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
// domain while the store rejects it and other hosts know better.
func TestHostsRejectedByTheStoreLearnOfEvacuation(t *testing.T) {
	f := startEvacuating(t, 4, nil) // two hosts in the first domain
	b := f.startBurst()
	holder, _ := f.hosts[0].edge.quota.First().Duty.Holder()
	rejected := map[string]bool{}
	for i, h := range f.hosts {
		if h.settings.Name != holder && len(rejected) == 0 {
			rejected[hostIP(i)] = true
		}
	}
	f.store.SetFaults(keyval.Faults{RefusedHosts: rejected})
	f.evacuateDomain(1)
	time.Sleep(evacuateBound + time.Second)
	f.checkLate()
	f.store.SetFaults(keyval.Faults{})
	f.awaitPrimary(8*time.Second, "db-2", "db-3")
	f.checkLate()
	b.end()
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
