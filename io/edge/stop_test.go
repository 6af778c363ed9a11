package edge

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStopAnswersStatementsOfTransactions guards against a host that passes over transactions which
// serve a statement when the others are aborted, and ends while it serves their next one.
func TestStopAnswersStatementsOfTransactions(t *testing.T) {
	f := startFleet(t, 3, func(f *fleet) { f.grace = 4 })
	h := f.hosts[0]
	for _, d := range f.databases {
		f.group.SetHook(d.ID(), func() { time.Sleep(150 * time.Millisecond) })
	}
	var wait sync.WaitGroup
	answers := make([]answer, 4)
	for i := range answers {
		c, code := connect(t, h, "board", "key-arima")
		assert.Equal(t, code, "")
		c.must("BEGIN READ")
		c.must("READ news")
		wait.Go(func() {
			for answers[i].code == "" && !answers[i].lost {
				answers[i] = c.do("READ news")
			}
			c.do("ROLLBACK")
		})
	}
	h.stop()
	assert.NilError(t, <-h.ended)
	h.ended <- nil // for the end of the fleet
	assert.Equal(t, h.edge.server.Sessions(), 0, "sessions served at the end of the host")
	wait.Wait()
	for _, a := range answers {
		assert.Equal(t, a.code, "ABORTED")
	}
}

// TestStopCutsNoStatementOfOtherHosts guards against a host that ends while it runs statements for other
// hosts, whose callers then get INDOUBT for a write and ABORTED in a transaction.
func TestStopCutsNoStatementOfOtherHosts(t *testing.T) {
	f := startFleet(t, 3, func(f *fleet) { f.grace = 4 })
	owner, near := f.hosts[0], f.hosts[1]
	f.await("host-1 as the owner of the connections", 5*time.Second, func() bool {
		return near.edge.relay.Owners.Of("db-1", "arima")[0] == "host-1"
	})
	f.group.SetHook("db-1", func() { time.Sleep(60 * time.Millisecond) })
	tx, _ := connect(t, near, "file", "key-arima")
	tx.must("BEGIN")
	tx.must("WRITE hall early")
	var wait sync.WaitGroup
	for range 3 {
		c, _ := connect(t, near, "file", "key-arima")
		wait.Go(func() {
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
				if a := c.do("WRITE board x"); a.lost || a.code != "" && a.code != "BUSY" {
					t.Errorf("a write got %+v", a)
				}
			}
		})
	}
	owner.stop()
	stopped := time.Now()
	time.Sleep(time.Duration(f.grace * 0.45 * float64(time.Second)))
	assert.Equal(t, tx.do("COMMIT").code, "", "%s after the stop", time.Since(stopped))
	wait.Wait()
	assert.NilError(t, <-owner.ended)
	owner.ended <- nil // for the end of the fleet
}
