package grant_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/bucket"
)

const (
	second       = time.Second
	partDomains  = 3
	partHosts    = 136
	partShards   = 5
	partAccounts = 66
	partSeeds    = 2
	partStep     = time.Millisecond
	partStart    = 100 * second
	partFault    = partStart + 9*second // demand is averaged over 3 s
	partEnd      = partFault + 12*second
	// partWatch is how long refusals are counted after the fault.
	partWatch = 2500 * time.Millisecond
	// maxWait is how long an operation waits for the rate, and askPause the time between two
	// questions to the keeper.
	maxWait  = 50 * time.Millisecond
	askPause = 25 * time.Millisecond
	// wrongful is the project's target for operations within the limits that are refused.
	wrongful = 0.005
	// election is how long a duty is free after the lease of its holder has ended.
	election = 200 * time.Millisecond
)

// trouble is a failure of the fleet of TestLimitsHoldInParts.
type trouble struct {
	name string
	// cut is the domain that is cut off from partFault for cutFor; -1 for none.
	cut    int
	cutFor time.Duration
	// keepers are the shards whose keeper is lost: its duty ends with its lease, after 2 s.
	keepers []int
	// crash ends these keepers at once; otherwise they answer until the lease ends.
	crash bool
	// move has the callers of all accounts go from domain 0 to domain 1.
	move bool
	// lower divides the limits by 4.
	lower bool
	// deputies has the deputies of domain 2 end, allDeputies all of them.
	deputies, allDeputies bool
	// hasNoTarget leaves out how many operations may be refused, as the limits do not let most of
	// them through: what was granted where it is not used any more counts until it expires.
	hasNoTarget bool
}

var troubles = []trouble{
	{name: "calm", cut: -1},
	{name: "domain cut off for 2.5 s", cut: 0, cutFor: 2500 * time.Millisecond},
	{name: "domain cut off for 8 s", cut: 0, cutFor: 8 * time.Second},
	{name: "domain of no keeper cut off", cut: 2, cutFor: 2500 * time.Millisecond},
	{name: "third of the hosts without the store", cut: -1, keepers: []int{0, 3}},
	{name: "a keeper ends", cut: -1, keepers: []int{1}, crash: true},
	{name: "all keepers end", cut: -1, keepers: []int{0, 1, 2, 3, 4}, crash: true},
	{name: "callers move", cut: -1, move: true},
	{name: "callers move, domain cut off", cut: 0, cutFor: 4 * time.Second, move: true, hasNoTarget: true},
	{name: "limits lowered", cut: -1, lower: true, hasNoTarget: true},
	{name: "limits lowered, all keepers end", cut: -1, lower: true, hasNoTarget: true, keepers: []int{0, 1, 2, 3, 4}, crash: true},
	{name: "deputies of a domain end", cut: -1, deputies: true},
	{name: "all deputies end", cut: -1, allDeputies: true, hasNoTarget: true},
	{name: "deputies of a domain and all keepers end", hasNoTarget: true, cut: -1, deputies: true, keepers: []int{0, 1, 2, 3, 4}, crash: true},
}

// partAccount is an account of the simulated fleet.
type partAccount struct {
	name        string
	shard       int
	rate, burst float64
	single      bucket.Bucket // one bucket for the whole fleet
	taken       []time.Duration
	total       int // operations within partWatch of the fault
	refused     int // of these refused
	within      int // of these admitted by the single bucket
}

// waiting is an operation that waits for the rate.
type waiting struct {
	account *partAccount
	host    int
	until   time.Duration
	within  bool
	counted bool
}

// TestLimitsHoldInParts guards against limits that are exceeded, and against operations within them that
// are refused, when parts of a large fleet are cut off from each other or lose the keepers of their
// limits. Callers of 66 accounts ask 136 hosts for 1/1.6 of each limit. At most a tenth
// may be refused within the limits of what is refused so without deputies, or the project's target. In any 5 s an account's operations may be at most
// (rate x 5 + burst) x 1.1 + 20.
func TestLimitsHoldInParts(t *testing.T) {
	t.Parallel()
	for _, c := range troubles {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			before, after, total := 0, 0, 0
			for seed := range uint64(partSeeds) {
				_, n := checkParts(t, c, seed, false)
				before += n
				of, n := checkParts(t, c, seed, true)
				after += n
				total += of
			}
			t.Logf("of %d operations refused within the limits: %d before, %d after", total, before, after)
			most := max(float64(before)/10, wrongful*float64(total))
			assert.Assert(t, c.hasNoTarget || float64(after) <= most, "%d operations within the limits refused, %d without deputies", after, before)
		})
	}
}

// checkParts runs the fleet, asserts the bound in each window and returns how many operations
// there were, and how many of them were refused within the limits.
func checkParts(t *testing.T, c trouble, seed uint64, hasDeputies bool) (total, within int) {
	t.Helper()
	f := newParts(c, seed, hasDeputies)
	f.run()
	refused, accounts, worst := 0, 0, math.Inf(-1)
	for _, a := range f.accounts {
		total += a.total
		refused += a.refused
		within += a.within
		if a.within > 0 {
			accounts++
		}
		worst = max(worst, a.excess(c.lower))
	}
	t.Logf("seed %d, deputies %t: of %d operations %d refused, %d within the limits of %d accounts; nearest to the bound %.1f; "+
		"messages in 1 s of calm: %.0f to keepers, %.0f to deputies", seed, hasDeputies, total, refused, within, accounts, worst,
		float64(f.toKeepers)/calmFor.Seconds(), float64(f.toDeputies)/(partFault-partStart).Seconds())
	assert.Assert(t, worst <= 0, "%.1f operations over the bound", worst)
	return total, within
}

// excess returns by how much the operations in some 5 s exceed the bound, at most; negative if they
// do not. A lowered limit is in force 5 s after it was set.
func (a *partAccount) excess(lowered bool) float64 {
	worst := math.Inf(-1)
	limit := func(rate, burst float64) float64 { return (rate*5+burst)*1.1 + 20 }
	j := 0
	for i, at := range a.taken {
		for at-a.taken[j] >= 5*second {
			j++
		}
		bound := limit(a.rate, a.burst)
		if lowered && at < partFault+10*second { // the window begins before it is in force
			bound = limit(4*a.rate, 4*a.burst)
		}
		worst = max(worst, float64(i-j+1)-bound)
	}
	return worst
}

func newPartAccounts(random *rand.Rand) ([]*partAccount, map[string]coltsfootloft.Account) {
	var accounts []*partAccount
	limits := make(map[string]coltsfootloft.Account)
	for i := range partAccounts {
		a := &partAccount{
			name:  fmt.Sprintf("account%d", i),
			shard: i % partShards,
			rate:  math.Round(5 * math.Pow(60, random.Float64())),
		}
		a.burst = math.Round(a.rate * (0.5 + random.Float64()))
		a.single = bucket.New(a.rate, a.burst, bucket.At(partStart))
		accounts = append(accounts, a)
		limits[a.name] = coltsfootloft.NewAccount(a.name, a.rate, a.burst)
	}
	return accounts, limits
}
