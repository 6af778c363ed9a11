package grant

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestNewAllocatorReservesForSilentDeputies guards against a new allocator that grants what a deputy of a domain
// that is cut off still lends: its host may not be registered any more.
func TestNewAllocatorReservesForSilentDeputies(t *testing.T) {
	const rate = 100.0
	al := &Allocator{
		Started:  10 * second,
		Deputies: []string{"a", "cut"},
	}
	l := limits(rate, 40)
	line := Line{
		Account: name,
		Demand:  500,
	}
	g := al.Report(10*second, "a", []Line{line}, []string{"a"}, l)
	assert.Assert(t, g[0].Rate <= rate*(usableShare-deputyShare), "%v", g[0].Rate)
	g = al.Report(10*second+Validity, "a", []Line{line}, []string{"a"}, l)
	assert.Equal(t, g[0].Rate, rate*deputyShare)
	al = &Allocator{
		Started:  20 * second,
		Deputies: []string{"a", "cut"},
	}
	al.Report(20*second, "cut", []Line{{Account: name}}, []string{"a"}, l)
	g = al.Report(20*second, "a", []Line{line}, []string{"a"}, l)
	assert.Equal(t, g[0].Rate, rate*deputyShare, "both have reported")
}
