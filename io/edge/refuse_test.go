package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefusedSoonWithoutAPrimary asks for a write during a change of primary that
// takes seconds. A caller that waits for what can't come loses the time in which
// another try would help: it is refused within a quarter of the target latency, as
// not run.
func TestRefusedSoonWithoutAPrimary(t *testing.T) {
	f := start(t, 3, func(f *fleet) { f.group.PromoteTime = 2 * time.Second })
	h := f.hosts[0]
	c, _ := connect(t, h, "file", "key-arima")
	c.must("WRITE x 1")
	f.group.Crash(f.group.Primary(), true)
	f.await("the record closing", 5*time.Second, func() bool {
		return h.edge.mirror.View().Groups["notices"].Closing
	})
	const slack = 30 * time.Millisecond // of the way, and of one pause
	began := time.Now()
	a := c.do("WRITE x 2")
	took := time.Since(began)
	assert.Equal(t, a.code, "BUSY")
	assert.Assert(t, took <= targetMS*time.Millisecond/4+slack, "refused after %s", took)
}
