package rank

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLossMovesOnlyItsOwnDuties(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	for _, duty := range []string{"observe/g1", "observe/g2", "relay", "home/acct"} {
		all := Order(duty, hosts)
		for _, gone := range hosts {
			rest := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == gone })
			want := slices.DeleteFunc(slices.Clone(all), func(h string) bool { return h == gone })
			assert.DeepEqual(t, Order(duty, rest), want)
		}
	}
}
