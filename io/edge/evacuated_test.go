package edge

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/keyval"
)

// stalledWatch is how long a watch of the store that receives nothing hides a change from a host: the 4 s of
// a watch, and the margin of the call.
const stalledWatch = 4500*time.Millisecond + 500*time.Millisecond

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
				f.await("promotion in time", evacuateBound, func() bool { return f.group.Primary() != "db-1" })
				known := evacuateBound
				if c.before.StallWatches {
					known = stalledWatch // until then, hosts refuse writes, as they know that the primary is being replaced
				}
				f.awaitPrimary(known, "db-2", "db-3")
			}
			time.Sleep(evacuateBound + 500*time.Millisecond)
			f.checkLate()
			assert.Equal(t, f.group.Connections("db-1"), 0)
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

// TestTransactionEndsWithEvacuation guards against a COMMIT, a ROLLBACK or a read of a transaction that
// reaches a closed database, and a transaction that stays open there.
func TestTransactionEndsWithEvacuation(t *testing.T) {
	f := startEvacuating(t, 3, func(f *fleet) { f.config.Limits["TxIdleMs"] = 20000 })
	var open []*client
	for _, h := range f.hosts {
		c, _ := connect(t, h, "file", "key-arima")
		c.must("BEGIN")
		c.must("WRITE held-" + h.settings.Name + " 1")
		open = append(open, c)
	}
	var readers sync.WaitGroup
	for i := range 6 {
		c, _ := connect(t, f.hosts[i%3], "board", "key-arima")
		readers.Go(func() {
			c.do("BEGIN READ")
			for c.do("READ held").code == "" {
			}
		})
	}
	for n := range 3 {
		f.evacuateDomain(n + 1)
	}
	time.Sleep(evacuateBound + 100*time.Millisecond)
	readers.Wait()
	assert.Equal(t, open[0].do("COMMIT").code, "ABORTED")
	assert.Equal(t, open[1].do("WRITE more 1").code, "ABORTED")
	open[2].do("ROLLBACK")
	time.Sleep(300 * time.Millisecond)
	f.checkLate()
	assert.Equal(t, len(f.group.Log()), 0)
}
