package grant

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/bucket"
)

const (
	reportPeriod = 800 * time.Millisecond
	lentLifetime = 500 * time.Millisecond
	borrowAhead  = 300 * time.Millisecond
)

// caller is the limiter of one host as package quota runs it, with calls that take no
// time: it averages the demand and borrows for an operation that finds no token.
type caller struct {
	host
	operations float64
	lent       float64
	lentUntil  time.Duration
}

func (c *caller) admit(al *Allocator, now time.Duration, self string, hosts []string, rate, burst float64) bool {
	c.operations++
	if now >= c.lentUntil {
		c.lent = 0
	}
	if c.lent >= 1 {
		c.lent--
		return true
	}
	if now < c.until && c.bucket.Take(bucket.At(now), 1) {
		return true
	}
	want := 1 + math.Floor(c.demand*borrowAhead.Seconds())
	c.lent += c.report(al, now, self, hosts, limits(rate, burst), want)
	c.lentUntil = now + lentLifetime
	if c.lent < 1 {
		return false
	}
	c.lent--
	return true
}

func (c *caller) average() {
	c.demand += 0.25 * (c.operations/reportPeriod.Seconds() - c.demand)
	c.operations = 0
}

// TestOperationsWithinTheRateAreAdmitted has callers of one account arrive at random at
// many hosts, some of which see it once in ten seconds. Tokens that lie in buckets of
// hosts which do not need them are missing elsewhere, so that operations within the rate
// are refused. At most 0.1% of the operations may be refused beyond those that a single
// bucket for the whole fleet refuses.
func TestOperationsWithinTheRateAreAdmitted(t *testing.T) {
	for _, c := range []struct {
		hosts        int
		rate, demand float64 // operations per second
	}{
		{15, 25, 16},
		{21, 80, 50},
		{21, 140, 126},
		{107, 12, 7.5},
		{140, 60, 50},
		{195, 7, 4.4},
		{195, 10, 6},
		{195, 40, 36},
		{195, 200, 125},
		{730, 5, 3},
		{730, 500, 310},
	} {
		t.Run(fmt.Sprintf("%d hosts, %v of %v", c.hosts, c.demand, c.rate), func(t *testing.T) {
			const measured = 200 * second
			random := rand.New(rand.NewPCG(uint64(c.hosts), uint64(c.rate)))
			names := make([]string, c.hosts)
			callers := make([]caller, c.hosts)
			for i := range names {
				names[i] = fmt.Sprintf("h%d", i)
			}
			al := &Allocator{}
			start := 100 * second
			// Reports of the start, so that no part is reserved for silent hosts.
			for i := range callers {
				callers[i].report(al, start, names[i], names, limits(c.rate, c.rate), 0)
			}
			warm := start + 2*Validity
			single := bucket.New(c.rate, c.rate, bucket.At(warm))
			total, refused, due := 0, 0, 0
			next := start
			reports := 0
			for next < warm+measured {
				next += time.Duration(random.ExpFloat64() / c.demand * float64(second))
				for ; reports < int((next-start)/reportPeriod)*c.hosts; reports++ {
					i := reports % c.hosts
					callers[i].average()
					if callers[i].demand > 0.01 || callers[i].rate > 0 {
						callers[i].report(al, start+reportPeriod*time.Duration(1+reports/c.hosts), names[i], names, limits(c.rate, c.rate), 0)
					}
				}
				i := random.IntN(c.hosts)
				ok := callers[i].admit(al, next, names[i], names, c.rate, c.rate)
				if next < warm {
					continue
				}
				total++
				if !ok {
					refused++
				}
				if !single.Take(bucket.At(next), 1) {
					due++
				}
			}
			t.Logf("refused %d of %d, by a single bucket %d", refused, total, due)
			assert.Assert(t, float64(refused-due) <= 0.001*float64(total))
		})
	}
}
