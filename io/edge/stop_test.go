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
