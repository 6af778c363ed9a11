package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCommitOnAnEndedConnectionIsAborted guards against a COMMIT whose outcome is reported as unknown, although the database
// had closed the connection before it was sent.
func TestCommitOnAnEndedConnectionIsAborted(t *testing.T) {
	f := startFleet(t, 1, nil)
	c, code := connect(t, f.hosts[0], "file", "key-arima")
	assert.Equal(t, code, "")
	c.must("BEGIN")
	c.must("WRITE hall 1")
	f.group.SetDown(f.group.Primary(), true)
	time.Sleep(100 * time.Millisecond) // for the end of the connection to arrive
	assert.Equal(t, c.do("COMMIT").code, "ABORTED")
}
