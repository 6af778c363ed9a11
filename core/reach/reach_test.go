package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOnlyAnswersBetweenTwoCallsCount guards against a host that takes itself for cut off at the start or at
// the end of an outage of the store for all hosts, and against one that does not notice that it is.
func TestOnlyAnswersBetweenTwoCallsCount(t *testing.T) {
	const first, last = 10 * time.Second, 12 * time.Second
	for _, c := range []struct {
		what            string
		reached         []time.Duration
		alone, suspects bool
	}{
		{"nothing known of others", []time.Duration{0}, false, false},
		{"before the outage", []time.Duration{first - time.Millisecond, first}, false, false},
		{"another host first after it", []time.Duration{first, last + time.Millisecond}, false, true},
		{"between the two", []time.Duration{first, first + time.Second}, true, true},
		{"then and later", []time.Duration{first + time.Second, last + time.Second}, true, true},
	} {
		var j Judge
		alone := false
		for _, r := range c.reached {
			alone = j.IsAlone(first, last, r)
		}
		assert.Equal(t, alone, c.alone, c.what)
		assert.Equal(t, j.Suspects(), c.suspects, c.what)
	}
	var j Judge
	assert.Assert(t, j.IsAlone(first, last, first+time.Second))
	assert.Assert(t, !j.IsAlone(last+time.Second, last+2*time.Second, last+time.Second), "answered since")
}
