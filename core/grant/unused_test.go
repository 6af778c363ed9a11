package grant

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnusedLoansAreCredited guards against an account that has lost its burst because its operations
// were lent to hosts whose databases were down, and against a pool that is credited for them although it
// has filled since: then the account has more than its burst at a time.
func TestUnusedLoansAreCredited(t *testing.T) {
	var al Allocator
	ask := func(now time.Duration, want, unused float64) float64 {
		grants := al.Report(now, "a", []Line{{
			Account: name,
			Want:    want,
			Unused:  unused,
		}}, []string{"a"}, limits(100, 100))
		assert.Equal(t, len(grants), 1)
		return grants[0].Lent
	}
	ask(0, 0, 0)
	assert.Equal(t, ask(10*second, 1000, 0), 100.0)
	// The pool has filled by 30, and 100 may still be in use.
	assert.Equal(t, ask(10*second+300*time.Millisecond, 1000, 100), 29.0)
	// It has filled by 30 again, and 29 may still be in use.
	assert.Equal(t, ask(10*second+600*time.Millisecond, 1000, 100), 71.0)
	assert.Equal(t, ask(20*second, 0, 1000), 0.0)
	assert.Equal(t, ask(20*second, 1000, 1000), 100.0, "no more than the depth of the pool")
}
