package grant

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestMadeUpNamesAreNotKept guards against an allocator that keeps each name of a host or an
// account, and each run, that anybody reports.
func TestMadeUpNamesAreNotKept(t *testing.T) {
	al := &Allocator{}
	for i := range 2 * maxHosts {
		al.Accept(fmt.Sprint("host", i), 1, 1)
		al.Accept("host0", uint64(i+1), 1)
		al.Report(second, fmt.Sprint("host", i), []Line{{Account: fmt.Sprint("account", i)}}, nil, limits(10, 10))
	}
	assert.Assert(t, len(al.latest) <= maxHosts && len(al.reported) <= maxHosts, "%d hosts", len(al.latest))
	assert.Assert(t, len(al.past["host0"]) <= maxRuns, "%d runs", len(al.past["host0"]))
	assert.Assert(t, len(al.accounts) <= maxOtherAccounts+1, "%d accounts", len(al.accounts))
	assert.Assert(t, al.Accept("host1", 1, 2), "a host that is known")
	got := al.Report(second, "host1", []Line{{
		Account: name,
		Want:    1,
	}}, nil, limits(10, 10))
	assert.Equal(t, len(got), 1)
}
