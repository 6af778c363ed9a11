package edge

import (
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/lease"
	"coltsfootloft/stand/keyval"
)

// TestRefusedSoonWithoutAPrimary sends a write during a change of primary that takes
// seconds. A caller that waits in vain loses the time in which another try might succeed,
// so the write must be refused within a quarter of the target latency, as not run.
func TestRefusedSoonWithoutAPrimary(t *testing.T) {
	f := startFleet(t, 3, func(f *fleet) { f.group.PromoteTime = 2 * time.Second })
	h := f.hosts[0]
	c, _ := connect(t, h, "file", "key-arima")
	c.must("WRITE x 1")
	f.group.SetDown(f.group.Primary(), true)
	f.await("the record closing", 5*time.Second, func() bool {
		return h.edge.mirror.View().Groups["notices"].Closing
	})
	const slack = 30 * time.Millisecond // for the network and one pause between tries
	began := time.Now()
	a := c.do("WRITE x 2")
	took := time.Since(began)
	assert.Equal(t, a.code, "BUSY")
	assert.Assert(t, took <= targetMS*time.Millisecond/4+slack, "refused after %s", took)
}

// TestPrimaryUnderPressureWastesNothing sends far more reads to a primary than it can
// run, with replicas that lag too far behind to be used. The database must only work for
// callers that still wait: few reads may be retried while the first try still runs, and
// the database must refuse few of them, because they queue on the hosts.
func TestPrimaryUnderPressureWastesNothing(t *testing.T) {
	const (
		work    = 20 * time.Millisecond
		callers = 60
	)
	f := startFleet(t, 3, func(f *fleet) { f.group.Lag = time.Minute })
	var mu sync.Mutex
	f.group.SetHook(f.group.Primary(), func() {
		mu.Lock() // one statement at a time
		defer mu.Unlock()
		time.Sleep(work)
	})
	before := len(f.group.Runs())
	var served atomic.Int64
	var wait sync.WaitGroup
	stop := time.Now().Add(2 * time.Second)
	for i := range callers {
		c, _ := connect(t, f.hosts[i%3], "file", "key-arima")
		wait.Add(1)
		go func() {
			defer wait.Done()
			for time.Now().Before(stop) {
				if a := c.do("READ x"); a.code == "" && !a.lost {
					served.Add(1)
				}
			}
		}()
	}
	wait.Wait()
	ran := len(f.group.Runs()) - before
	t.Logf("ran %d, served %d", ran, served.Load())
	// Allows for twice the retry budget, and for statements in flight when the callers stop.
	assert.Assert(t, float64(served.Load()) >= 0.9*float64(ran)-10)
}

// TestFewRequestsAreRepeatedToo loses the answers to two reads in a row, for an account
// that has sent hardly any requests. Both must be retried.
func TestFewRequestsAreRepeatedToo(t *testing.T) {
	f := startFleet(t, 3, nil)
	c, _ := connect(t, f.hosts[0], "file", "key-arima")
	for range 2 {
		f.group.LoseAnswers(f.group.Primary(), 1)
		c.must("READ x")
	}
}

// TestFailingReplicaIsAvoided lets one replica fail every read although it looks healthy. No
// caller may see a failure, and after the first few reads hardly any may be sent there.
func TestFailingReplicaIsAvoided(t *testing.T) {
	f := startFleet(t, 3, nil)
	failing := f.databases[1].ID()
	f.group.FailReads(failing, true)
	c, _ := connect(t, f.hosts[1], "board", "key-arima") // the host in the replica's failure domain
	const reads = 200
	for range reads {
		c.must("READ news")
		time.Sleep(2 * time.Millisecond)
	}
	tried := 0
	for _, r := range f.group.Runs() {
		if r.Database == failing {
			tried++
		}
	}
	t.Logf("%d of %d reads were tried there", tried, reads)
	assert.Assert(t, tried >= 1, "the replica was never chosen, so that the test shows nothing")
	assert.Assert(t, tried <= reads/20)
}

// TestCutOffHostSendsItsSessionsElsewhere lets the store refuse one host only. That host
// soon can't use primaries, so its callers are better served by another one: it must close
// their idle sessions.
func TestCutOffHostSendsItsSessionsElsewhere(t *testing.T) {
	f := startFleet(t, 3, func(f *fleet) { f.withdrawalLimit = 5 * time.Second })
	f.assertSendsSessionsAway(1)
}

// TestCutOffKeeperSendsItsSessionsElsewhere guards against the same if the host is the quota keeper, whose
// answers tell the others whether it reaches the store: it has none but its own.
func TestCutOffKeeperSendsItsSessionsElsewhere(t *testing.T) {
	f := startFleet(t, 3, func(f *fleet) { f.withdrawalLimit = 5 * time.Second })
	keeper := -1
	f.await("a quota keeper", 5*time.Second, func() bool {
		name, ok := f.hosts[0].edge.quota.First().Duty.Holder()
		keeper = slices.IndexFunc(f.hosts, func(h *testHost) bool { return h.settings.Name == name })
		return ok && keeper >= 0
	})
	f.assertSendsSessionsAway(keeper)
}

// assertSendsSessionsAway cuts host i off from the store.
func (f *fleet) assertSendsSessionsAway(i int) {
	t := f.t
	t.Helper()
	there, _ := connect(t, f.hosts[i], "file", "key-arima")
	here, _ := connect(t, f.hosts[(i+1)%len(f.hosts)], "file", "key-arima")
	there.must("READ x")
	here.must("READ x")
	f.store.SetFaults(keyval.Faults{RefusedHosts: map[string]bool{hostIP(i): true}})
	// The lease of the host lasts for at most 2 s.
	assert.NilError(t, there.conn.SetReadDeadline(time.Now().Add(lease.TTL+500*time.Millisecond)))
	err := there.r.Await()
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	here.must("READ x")
}
