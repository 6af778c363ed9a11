package rank

import (
	"math"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLossMovesOnlyKeysOfTheLostHost(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	for _, key := range []string{"observe/g1", "observe/g2", "relay", "home/acct"} {
		all := Order(key, hosts)
		for _, gone := range hosts {
			rest := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == gone })
			want := slices.DeleteFunc(slices.Clone(all), func(h string) bool { return h == gone })
			assert.DeepEqual(t, Order(key, rest), want)
		}
	}
}

func TestSizedPrefersTheLargeAndMovesLittle(t *testing.T) {
	sizes := map[string]float64{"a": 1, "b": 1, "c": 2, "d": 4}
	hosts := []string{"a", "b", "c", "d"}
	size := func(h string) float64 { return sizes[h] }
	first := make(map[string]int)
	const keys = 8000
	for i := range keys {
		key := strconv.Itoa(i)
		all := Weighted(key, hosts, size)
		first[all[0]]++
		want := slices.DeleteFunc(slices.Clone(all), func(h string) bool { return h == "d" })
		assert.DeepEqual(t, Weighted(key, hosts[:3], size), want)
	}
	for h, n := range first {
		share := float64(n) / keys
		// Five standard deviations of a share of 8,000 draws.
		assert.Assert(t, math.Abs(share-sizes[h]/8) < 0.03, "%s %.3f", h, share)
	}
}

func TestSizedIsOrderAmongEquals(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	equal := func(string) float64 { return 0.272 }
	for _, key := range []string{"lane/db-1/arima", "watch/domain-1", "duty/steward"} {
		assert.DeepEqual(t, Weighted(key, hosts, equal), Order(key, hosts))
	}
}
