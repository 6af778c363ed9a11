// Package grant divides the rate of each client account among the hosts.
//
// One host keeps the book. Every host reports what its callers ask of each account
// and gets back a rate that it may serve until a moment. The rates given out never
// sum to more than the account's: a grant counts as held until it has run out, or
// until the host has reported a newer one in its place. A keeper that takes over
// starts from what the hosts report to hold.
//
// Rates cover what hosts ask for on average. What is left over, rate and burst
// alike, fills the keeper's own bucket, out of which single operations are lent to
// hosts whose callers came in a bunch: small demands arrive too irregularly to be
// served by rates alone. An account that asks for more than its rate on many hosts
// is only lent to, so that nothing of its rate is lost where a bucket is full.
package grant

import (
	"math"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/bucket"
)

const (
	// Valid is how long a grant may be used: longer than it takes to notice a
	// lost keeper and choose another (a lease of 2 s), so that service goes on.
	Valid = 3 * time.Second
	// used is the part of the account's rate that is given out. The rest is for
	// clocks that run unevenly: those of hosts are within 100 ppm, a twentieth of it.
	used = 0.998
	// asRates is the most of the account's rate that is given out as rates; what
	// is lent goes to whoever needs it at the moment.
	asRates = 0.6
	// hostBurst is the part of the account's burst that hosts have in their
	// buckets, divided equally among those that use the account. Where that is
	// less than one operation for each, those of the greatest demand have one,
	// and the others are lent to.
	hostBurst = 0.5
	// shallow is the depth of a bucket, in operations, below which it runs over
	// often though its callers ask for more than it gets: at random arrivals, a
	// depth of one loses a third at twice the demand, one of four some percent.
	shallow = 4
	// startShare is the part of the rate, or of the burst if that is less, that a
	// new keeper may lend at once. The one before it may have lent the burst just
	// now; over a window of five seconds, in which there are at most two new
	// keepers, this is a tenth of the limit.
	startShare = 0.25
)

// Line is a host's report of one account, or a grant.
type Line struct {
	// Account is the client account.
	Account string
	// Demand is what callers ask for, in operations a second.
	Demand float64
	// Held is the rate that the host may serve now.
	Held float64
	// HeldFor is how long it may, at the most.
	HeldFor time.Duration
	// Want is how many operations are waiting for the keeper's part of the burst.
	Want float64
	// Rate is what is granted, in operations a second.
	Rate float64
	// Burst is the depth of the host's bucket, in operations.
	Burst float64
	// Lent are operations out of the keeper's part of the burst.
	Lent float64
}

// Allocator is the keeper's. Its fields are set before use; it is not safe for
// concurrent use.
type Allocator struct {
	// Started is when this host became keeper.
	Started time.Duration

	accounts map[string]*account
	reported map[string]bool
}

type account struct {
	hosts map[string]*holding
	pool  bucket.Bucket
	rate  float64
	burst float64
}

// holding is one host's part.
type holding struct {
	demand float64
	at     time.Duration
	rate   float64 // the newest grant
	older  float64 // the most that the host may still serve by an older grant
	until  time.Duration
}

// Report takes a host's report and returns its grants. Hosts are those with a
// lease. Until all of them have reported to a new keeper, or the time of the old
// keeper's grants has passed, the silent ones count as holding their part of what
// may be given out as rates.
func (b *Allocator) Report(now time.Duration, host string, lines []Line, hosts []string, limits map[string]coltsfootloft.Account) []Line {
	if b.accounts == nil {
		b.accounts = make(map[string]*account)
		b.reported = make(map[string]bool)
	}
	b.reported[host] = true
	for _, l := range lines {
		b.note(now, host, l)
	}
	silent := b.silent(now, hosts)
	grants := make([]Line, 0, len(lines))
	for _, l := range lines {
		limit, ok := limits[l.Account]
		if !ok {
			continue
		}
		grants = append(grants, b.grant(now, host, l, limit, silent))
	}
	return grants
}

func (b *Allocator) note(now time.Duration, host string, l Line) {
	a := b.accounts[l.Account]
	if a == nil {
		a = &account{hosts: make(map[string]*holding)}
		b.accounts[l.Account] = a
	}
	h := a.hosts[host]
	if h == nil {
		h = &holding{}
		a.hosts[host] = h
	}
	h.demand = l.Demand
	h.at = now
	h.older = l.Held
	h.until = now + l.HeldFor
	h.rate = 0
}

// silent is the part of the hosts whose grants are not known.
func (b *Allocator) silent(now time.Duration, hosts []string) float64 {
	if now-b.Started >= Valid || len(hosts) == 0 {
		return 0
	}
	n := 0
	for _, h := range hosts {
		if !b.reported[h] {
			n++
		}
	}
	return float64(n) / float64(len(hosts))
}

func (b *Allocator) grant(now time.Duration, host string, l Line, limit coltsfootloft.Account, silent float64) Line {
	a := b.accounts[l.Account]
	a.resize(now, limit)
	h := a.hosts[host]
	g := Line{Account: l.Account}
	others, demand := a.others(now, host)
	others += limit.Rate() * asRates * silent
	scarce := len(a.hosts) > 1 && h.demand+demand > limit.Rate()*used
	if depth, ok := a.depth(host, limit.Burst()*hostBurst); ok && (depth >= shallow || !scarce) {
		g.Burst = depth
		g.Rate = min(share(limit.Rate()*asRates, h.demand, demand), max(limit.Rate()*used-others, 0))
	}
	h.rate = g.Rate
	h.until = max(h.until, now+Valid)
	a.fill(now, max(g.Rate, h.older)+others)
	if l.Want > 0 {
		g.Lent = a.pool.Debit(bucket.At(now), math.Floor(min(l.Want, a.pool.Available(bucket.At(now)))))
	}
	return g
}

// depth is that of a host's bucket; false if the host has none.
func (a *account) depth(host string, burst float64) (float64, bool) {
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

// fill has the keeper's bucket fill with what the rates leave over.
func (a *account) fill(now time.Duration, held float64) {
	a.pool.Resize(bucket.At(now), max(a.rate*used-held, 0), a.burst*(1-hostBurst))
}

// others sums what the other hosts may serve, and what they ask for.
func (a *account) others(now time.Duration, host string) (held, demand float64) {
	for name, h := range a.hosts {
		if name == host {
			continue
		}
		if now >= h.until {
			delete(a.hosts, name)
			continue
		}
		held += max(h.rate, h.older)
		demand += h.demand
	}
	return held, demand
}

// share is a host's part of a rate: what it asks for while there is enough for
// all, its proportion of the whole when there is not.
func share(rate, mine, others float64) float64 {
	all := mine + others
	if all <= rate {
		return mine
	}
	return rate * mine / all
}

func (a *account) resize(now time.Duration, limit coltsfootloft.Account) {
	if a.rate == limit.Rate() && a.burst == limit.Burst() {
		return
	}
	if a.rate == 0 {
		a.pool = bucket.New(0, a.burst, bucket.At(now))
		a.pool.Resize(bucket.At(now), 0, limit.Burst())
		a.pool.Credit(bucket.At(now), startShare*min(limit.Rate(), limit.Burst()))
	}
	a.rate = limit.Rate()
	a.burst = limit.Burst()
}
