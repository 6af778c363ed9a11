// Package lender holds the decisions of the second level of rate limits: which host of a failure
// domain is the deputy for a shard of the accounts, to whom operations are attributed, and
// what a deputy lends.
//
// A deputy is granted rates by the quota keeper like any host (package grant), and lends
// single operations of them to the hosts of its domain that use an account sparsely. It goes
// on while the keeper is out of reach, until its grants expire. Hosts need not agree on
// who is deputy, as a deputy lends only what it was granted.
package lender

import (
	"math"

	"coltsfootloft/core/grant"
	"coltsfootloft/core/rank"
)

const (
	// MinHosts is the least number of hosts of a failure domain with deputies. In smaller
	// domains an account is used often enough on each host for a bucket of its own.
	MinHosts = 8
	// sizeExponent sets how strongly large hosts are preferred, as for quota keepers.
	sizeExponent = 3
	// smoothing is the weight of the latest period in the moving averages, which so cover
	// about three seconds if it is 0.8 s.
	smoothing = 0.25
	// sparseOperations is the demand, in operations within the validity of a grant, from which a
	// host is granted a bucket of its own. It is three times what the keeper asks for, so that a
	// host does not get one because its callers came together by chance.
	sparseOperations = 3 * grant.MinOperations
	// minDemand is the least demand that a host reports as its own, in operations per second. Less
	// comes of single operations that were not attributed to the deputy in time.
	minDemand = 0.2
)

// Deputy returns the deputy for a shard among the hosts of one failure domain; empty if they are too
// few.
func Deputy(shard string, hosts []string, size func(host string) float64) string {
	if len(hosts) < MinHosts {
		return ""
	}
	return rank.Weighted("deputy/"+shard, hosts, func(host string) float64 {
		return math.Pow(size(host), sizeExponent)
	})[0]
}

// Usage counts the operations of one account on one host. Each is attributed once: to the host if
// its own bucket served it, to the deputy if the host asks that, and to both as their
// demand at the keeper. The zero value is ready for use.
type Usage struct {
	all, own float64 // since the last period
	pending  float64 // not attributed yet

	demand, ownDemand float64
}

// Add counts an operation; fromBucket is set if the host's own bucket served it.
func (u *Usage) Add(fromBucket bool) {
	u.all++
	if fromBucket {
		u.own++
		return
	}
	u.pending++
}

// AddOf counts operations that other hosts attribute to this one, their deputy.
func (u *Usage) AddOf(operations float64) {
	u.all += operations
	u.own += operations
}

// Demand returns the demand of the callers, in operations per second.
func (u *Usage) Demand() float64 { return u.demand }

// IsSparse reports whether the account is used here too seldom for a bucket of its own.
func (u *Usage) IsSparse() bool { return u.demand*grant.Validity.Seconds() < sparseOperations }

// Attribute returns the operations that are attributed to the deputy from now on, as it answered:
// those that were not attributed yet, if the use is sparse.
func (u *Usage) Attribute() float64 {
	if !u.IsSparse() {
		return 0
	}
	n := u.pending
	u.pending = 0
	return n
}

// Restore takes back what was attributed to a deputy that did not answer.
func (u *Usage) Restore(operations float64) { u.pending += operations }

// Average ends a period of the moving averages, in seconds. What no deputy has taken over is
// the host's own.
func (u *Usage) Average(seconds float64) {
	u.own += u.pending
	u.pending = 0
	u.demand += smoothing * (u.all/seconds - u.demand)
	u.ownDemand += smoothing * (u.own/seconds - u.ownDemand)
	if u.ownDemand < minDemand {
		u.ownDemand = 0
	}
	u.all = 0
	u.own = 0
}

// Reported returns the demand that the host reports to the keeper: all of it, less what is
// attributed to the deputy.
func (u *Usage) Reported() float64 { return u.ownDemand }

// Lend returns how many operations a deputy lends to a host that asks for want, of those that are
// available in its bucket. Its own waiting callers come first.
func Lend(want, available, waiting float64) float64 {
	return max(math.Floor(min(want, available-waiting)), 0)
}
