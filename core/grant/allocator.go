// Package grant divides the rate of each client account among the hosts.
//
// One host, the allocator, keeps an [Allocator] of the grants. It is the quota keeper
// of package quota. Every host reports to it the demand of its callers for each
// account and gets back a rate that it may serve until an expiry time. The rates
// granted never sum to more than the rate of the account: a grant counts until it
// has expired or until the host has reported a newer one in its place. A new
// allocator starts from the grants that the hosts report to hold.
//
// Rates cover the average demand. The rest of rate and burst fills the
// allocator's own bucket, from which it lends single operations to hosts whose
// callers arrived in a burst: small demands arrive too irregularly to be served
// by rates alone. If an account asks for more than its rate on many hosts, the
// allocator grants no rates and only lends, so that no part of the rate is lost
// in buckets that are full.
package grant

import (
	"math"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/bucket"
)

const (
	// Validity is how long a grant may be used. It is longer than the time to detect
	// a lost allocator and choose another (a lease of 2 s), so that service
	// continues.
	Validity = 3 * time.Second
	// usableShare is the part of the rate of an account that is given out. The
	// rest allows for clock drift: host clocks are within 100 ppm, which is a
	// twentieth of it.
	usableShare = 0.998
	// rateShare is the greatest part of the rate of an account that is granted as
	// rates. Operations that are lent go to whichever host needs them at the
	// moment.
	rateShare = 0.6
	// hostBurstShare is the part of the burst of an account that is in the
	// buckets of the hosts, divided equally among the hosts that use the account.
	// If that is less than one operation for each host, the hosts with the
	// greatest demand get one each, and the others borrow.
	hostBurstShare = 0.5
	// shallowDepth is the bucket depth, in operations, below which a bucket often
	// overflows although its callers ask for more than it gets. With random
	// arrivals at twice the rate, a depth of one loses a third of the tokens, a
	// depth of four a few percent.
	shallowDepth = 4
	// initialShare is the part of the rate, or of the burst if that is less, that
	// a new allocator may lend at once. Its predecessor may have lent the whole
	// burst just before. A window of five seconds contains at most two new
	// allocators, so this adds at most a tenth of the limit.
	initialShare = 0.25
)

// Line is the report of a host for one account, or the grant in reply.
type Line struct {
	// Account is the client account.
	Account string
	// Demand is the demand of the callers, in operations per second.
	Demand float64
	// Held is the rate that the host may serve now, in operations per second.
	Held float64
	// HeldFor is the longest time for which the host may serve Held.
	HeldFor time.Duration
	// Want is the number of operations that wait to be lent.
	Want float64
	// Rate is the granted rate, in operations per second.
	Rate float64
	// Burst is the depth of the host's bucket, in operations.
	Burst float64
	// Lent is the number of operations lent from the bucket of the allocator.
	Lent float64
}

// Allocator is the state of the allocator. Its exported fields are set before use. It
// is not safe for concurrent use.
type Allocator struct {
	// Started is when this host became the allocator.
	Started time.Duration

	accounts map[string]*account
	reported map[string]bool
}

type account struct {
	hosts map[string]*allocation
	pool  bucket.Bucket
	rate  float64
	burst float64
}

// allocation is the part of one host.
type allocation struct {
	demand       float64
	at           time.Duration
	rate         float64 // granted last
	previousRate float64 // the most that the host may still serve under an earlier grant
	until        time.Duration
}

// Report processes the report of a host and returns its grants. hosts are the
// hosts with a lease. Until all of them have reported to a new allocator, or
// until the grants of its predecessor have expired, each host that has not
// reported counts as holding an equal part of what may be granted as rates.
func (al *Allocator) Report(now time.Duration, host string, lines []Line, hosts []string, limits map[string]coltsfootloft.Account) []Line {
	if al.accounts == nil {
		al.accounts = make(map[string]*account)
		al.reported = make(map[string]bool)
	}
	al.reported[host] = true
	for _, l := range lines {
		al.recordReport(now, host, l)
	}
	unreported := al.unreportedShare(now, hosts)
	grants := make([]Line, 0, len(lines))
	for _, l := range lines {
		limit, ok := limits[l.Account]
		if !ok {
			continue
		}
		grants = append(grants, al.grant(now, host, l, limit, unreported))
	}
	return grants
}

func (al *Allocator) recordReport(now time.Duration, host string, l Line) {
	a := al.accounts[l.Account]
	if a == nil {
		a = &account{hosts: make(map[string]*allocation)}
		al.accounts[l.Account] = a
	}
	h := a.hosts[host]
	if h == nil {
		h = &allocation{}
		a.hosts[host] = h
	}
	h.demand = l.Demand
	h.at = now
	h.previousRate = l.Held
	h.until = now + l.HeldFor
	h.rate = 0
}

// unreportedShare returns the fraction of hosts whose grants are not yet known,
// between 0 and 1.
func (al *Allocator) unreportedShare(now time.Duration, hosts []string) float64 {
	if now-al.Started >= Validity || len(hosts) == 0 {
		return 0
	}
	n := 0
	for _, h := range hosts {
		if !al.reported[h] {
			n++
		}
	}
	return float64(n) / float64(len(hosts))
}

func (al *Allocator) grant(now time.Duration, host string, l Line, limit coltsfootloft.Account, unreported float64) Line {
	a := al.accounts[l.Account]
	a.setLimit(now, limit)
	h := a.hosts[host]
	g := Line{Account: l.Account}
	others, demand := a.others(now, host)
	others += limit.Rate() * rateShare * unreported
	oversubscribed := len(a.hosts) > 1 && h.demand+demand > limit.Rate()*usableShare
	if depth, ok := a.bucketDepth(host, limit.Burst()*hostBurstShare); ok && (depth >= shallowDepth || !oversubscribed) {
		g.Burst = depth
		g.Rate = min(share(limit.Rate()*rateShare, h.demand, demand), max(limit.Rate()*usableShare-others, 0))
	}
	h.rate = g.Rate
	h.until = max(h.until, now+Validity)
	a.resizePool(now, max(g.Rate, h.previousRate)+others)
	if l.Want > 0 {
		g.Lent = a.pool.Debit(bucket.At(now), math.Floor(min(l.Want, a.pool.Available(bucket.At(now)))))
	}
	return g
}

// bucketDepth returns the depth of the bucket of a host, in operations; false if
// the host has no bucket.
func (a *account) bucketDepth(host string, burst float64) (float64, bool) {
	if depth := burst / float64(len(a.hosts)); depth >= 1 {
		return depth, true
	}
	mine := a.hosts[host].demand
	ahead := 0
	for name, h := range a.hosts {
		if h.demand > mine || h.demand == mine && name < host {
			ahead++
		}
	}
	return 1, float64(ahead+1) <= burst
}

// resizePool makes the bucket of the allocator fill at the part of the rate that
// is not granted.
func (a *account) resizePool(now time.Duration, held float64) {
	a.pool.Resize(bucket.At(now), max(a.rate*usableShare-held, 0), a.burst*(1-hostBurstShare))
}

// others sums what the other hosts may serve and what they ask for, and drops
// hosts whose grants have expired.
func (a *account) others(now time.Duration, host string) (held, demand float64) {
	for name, h := range a.hosts {
		if name == host {
			continue
		}
		if now >= h.until {
			delete(a.hosts, name)
			continue
		}
		held += max(h.rate, h.previousRate)
		demand += h.demand
	}
	return held, demand
}

// share returns the part of a rate for one host: its demand if the rate covers
// all demands, otherwise a part in proportion to its demand.
func share(rate, mine, others float64) float64 {
	all := mine + others
	if all <= rate {
		return mine
	}
	return rate * mine / all
}

func (a *account) setLimit(now time.Duration, limit coltsfootloft.Account) {
	if a.rate == limit.Rate() && a.burst == limit.Burst() {
		return
	}
	if a.rate == 0 {
		a.pool = bucket.New(0, a.burst, bucket.At(now))
		a.pool.Resize(bucket.At(now), 0, limit.Burst())
		a.pool.Credit(bucket.At(now), initialShare*min(limit.Rate(), limit.Burst()))
	}
	a.rate = limit.Rate()
	a.burst = limit.Burst()
}
