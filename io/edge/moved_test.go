package edge

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
