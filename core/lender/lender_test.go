package lender

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSmallDomainsHaveNoDeputy guards against small fleets that wait for another host for what they had in
// buckets of their own.
func TestSmallDomainsHaveNoDeputy(t *testing.T) {
	var hosts []string
	for i := range MinHosts {
		assert.Equal(t, Deputy("quota-0", hosts, func(string) float64 { return 1 }), "")
		hosts = append(hosts, fmt.Sprint("h", i))
	}
	first := Deputy("quota-0", hosts, func(string) float64 { return 1 })
	assert.Assert(t, first != "")
	large := Deputy("quota-0", hosts, func(h string) float64 {
		if h == "h3" {
			return 100
		}
		return 0.1
	})
	assert.Equal(t, large, "h3")
}

// TestOperationsAreAttributedOnce guards against demand that is counted twice or not at all.
func TestOperationsAreAttributedOnce(t *testing.T) {
	var host, deputy Usage
	for range 200 {
		host.Add(false)
		deputy.AddOf(host.Attribute())
		host.Add(true)
		n := host.pending
		host.Restore(0)
		assert.Equal(t, n, 0.0)
		host.Average(1)
		deputy.Average(1)
	}
	assert.Assert(t, host.Demand() > 1.99 && host.Reported() > 0.99 && host.Reported() < 1.01)
	assert.Assert(t, deputy.Reported() > 0.99 && deputy.Reported() < 1.01)
	for range 20 {
		for range sparseOperations {
			host.Add(false)
		}
		deputy.AddOf(host.Attribute())
		host.Average(1)
		deputy.Average(1)
	}
	assert.Assert(t, !host.IsSparse())
	assert.Assert(t, host.Reported() > 0.95*sparseOperations, "a host that uses it often asks for a bucket of its own")
	assert.Assert(t, deputy.Reported() < 1)
}

// TestDeputyLendsWhatItsCallersLeave guards against a deputy that lends what its own callers wait for.
func TestDeputyLendsWhatItsCallersLeave(t *testing.T) {
	assert.Equal(t, Lend(3, 10.5, 0), 3.0)
	assert.Equal(t, Lend(30, 10.5, 0), 10.0)
	assert.Equal(t, Lend(30, 10.5, 8), 2.0)
	assert.Equal(t, Lend(30, 1, 8), 0.0)
	assert.Equal(t, Lend(0.5, 10, 0), 0.0)
}
