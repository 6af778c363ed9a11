package front

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestOddCodeOfADatabase guards against a process that ends because a database's error code, which
// becomes the label of a metric, holds a quote.
func TestOddCodeOfADatabase(t *testing.T) {
	s := newTestServer(t)
	s.upstream.refuseRecord = "4\"}\n2"
	replies := s.runSession(query("SET coltsfootloft.request_id = 'x'"), query("INSERT 1"))
	assert.DeepEqual(t, replies, []string{"SET", "Z I", "ERROR 4\"}\n2 not run", "Z I"})
	s.awaitCleanup()
}
