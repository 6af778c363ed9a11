// Package grant divides the rate of each client account among the hosts.
//
// One host, the allocator, keeps an [Allocator] of the grants. It is the quota keeper
// of package quota. Every host reports to it the demand of its callers for each
// account and gets back a rate that it may serve until an expiry time. The rates
// granted never sum to more than the rate of the account: a grant counts until it
// has expired or until the host has reported a newer one in its place. A new
// allocator starts from the grants that the hosts report to hold.
//
// Rates go to the hosts where an account is used often, or to all hosts that use it
// if that is so on average, and let these go on while the allocator is lost. The rest of
// rate and burst fills the allocator's own bucket, from which it lends single operations:
// small demands arrive too irregularly to be served by rates. A bucket that fills while nobody asks for its tokens loses them. Where the
// buckets are shallow, the allocator therefore grants no more as rates than the part of
// the limit that nobody asks for makes up for; if an account asks for more than its rate
// on many hosts, it only lends.
package grant

import (
	"math"
	"slices"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/bucket"
	"coltsfootloft/core/expiry"
)

const (
	// Validity is how long a grant may be used. It is longer than the time to detect
	// a lost allocator and choose another (a lease of 2 s), so that service
	// continues.
	Validity = 3 * time.Second
	// LoanLifetime is how long an operation can be used after it was lent. The pool fills
	// meanwhile, so that an account may exceed its limit by rate × LoanLifetime in any window.
	LoanLifetime = 500 * time.Millisecond
	// usableShare is the part of the rate of an account that is given out. The
	// rest allows for clock drift: host clocks are within 100 ppm, which is a
	// twentieth of it.
	usableShare = 0.998
	// rateShare is the greatest part of the rate of an account that is granted as
	// rates. Operations that are lent go to whichever host needs them at the
	// moment.
	rateShare = 0.6
	// hostBurstShare is the greatest part of the burst of an account that is in the
	// buckets of the hosts, divided equally among the hosts that have one. If that is
	// less than one operation for each host, the hosts with the greatest demand get one
	// each, and the others borrow.
	hostBurstShare = 0.5
	// MinOperations is the least demand, in operations within Validity, of a host that
	// gets a bucket. The tokens of a bucket that is used less often are missing
	// elsewhere.
	MinOperations = 5
	// denseOperations is the least average demand, in operations within Validity, of
	// the hosts with demand for an account for all of them to get a bucket: then a host does not
	// get one only because its callers came together by chance.
	denseOperations = 2
	// shallowDepth is the bucket depth, in operations, below which a bucket often
	// overflows although its callers ask for more than it gets. With random
	// arrivals at twice the rate, a depth of one loses a third of the tokens, a
	// depth of four a few percent.
	shallowDepth = 4
	// deputyShare takes the place of rateShare for deputies, and deputyHeadroom is how much more
	// than its demand a deputy is granted: without a keeper a bucket that fills at the
	// rate of the demand refuses many operations by chance.
	deputyShare    = 0.75
	deputyHeadroom = 1.2
	// initialShare is the part of the rate, or of the burst if that is less, that
	// a new allocator may lend at once. Its predecessor may have lent the whole
	// burst just before. A window of five seconds contains at most two new
	// allocators, so this adds at most a tenth of the limit.
	initialShare = 0.25
	// maxHosts and maxRuns bound the names of hosts that an allocator keeps, and the runs of
	// each: ten times the largest fleet, and more restarts than a host has in a year.
	maxHosts = 8192
	maxRuns  = 1024
	// maxOtherAccounts bounds the accounts that hosts report and the allocator's settings
	// don't have, as they are older or newer.
	maxOtherAccounts = 1024
)

// Allocator is the state of the allocator. Its exported fields are set before use. It
// is not safe for concurrent use.
type Allocator struct {
	// Started is when this host became the allocator.
	Started time.Duration
	// Deputies are the hosts that are or were lately deputies of their failure domains
	// (package lender). Each may hold most of what is granted as rates.
	Deputies []string

	accounts map[string]*account
	reported map[string]bool
	latest   map[string]number
	// past holds the runs of each host's process before the latest one.
	past map[string]map[uint64]struct{}
}

// number is that of a report among those of one run of a host's process.
type number struct{ run, report uint64 }

type account struct {
	hosts map[string]*allocation
	pool  bucket.Bucket
	lent  expiry.Tokens // from the pool, and perhaps not used yet
	rate  float64
	burst float64
}

// allocation is the part of one host.
type allocation struct {
	demand   float64
	at       time.Duration
	granted  part // by the last answer
	previous part // what the host may still use under an earlier grant
	until    time.Duration
}

// part is a part of a limit: a rate in operations per second and a bucket depth in
// operations.
type part struct{ rate, depth float64 }

func (p part) max(q part) part {
	return part{
		rate:  max(p.rate, q.rate),
		depth: max(p.depth, q.depth),
	}
}

// hasBucket reports whether the demand of the host is enough for a bucket of its own.
func (h *allocation) hasBucket() bool { return h.demand*Validity.Seconds() >= MinOperations }

// Accept reports whether a report is the latest of its host, so that what it says of the
// grants in use may be recorded. A report that was held up is not, nor is one of an earlier
// run of the host's process. Run is 0 for a host that does not number its reports.
func (al *Allocator) Accept(host string, run, report uint64) bool {
	if run == 0 {
		return true
	}
	if al.latest == nil {
		al.latest = make(map[string]number)
		al.past = make(map[string]map[uint64]struct{})
	}
	last, known := al.latest[host]
	switch _, isPast := al.past[host][run]; {
	case isPast:
		return false
	case !known && len(al.latest) >= maxHosts, known && run != last.run && len(al.past[host]) >= maxRuns:
		return false
	case known && run == last.run && report <= last.report:
		return false
	case known && run != last.run:
		if al.past[host] == nil {
			al.past[host] = make(map[uint64]struct{})
		}
		al.past[host][last.run] = struct{}{}
	}
	al.latest[host] = number{
		run:    run,
		report: report,
	}
	return true
}

// Report processes the report of a host on all accounts that it uses, and returns its
// grants. hosts are the hosts with a lease. Until all of them have reported to a new
// allocator, or until the grants of its predecessor have expired, each host that has not
// reported counts as holding an equal part of what may be granted as rates.
func (al *Allocator) Report(now time.Duration, host string, lines []Line, hosts []string, limits map[string]coltsfootloft.Account) []Line {
	if al.reported == nil {
		al.reported = make(map[string]bool)
	}
	if len(al.reported) < maxHosts {
		al.reported[host] = true
	}
	return al.ReportSome(now, host, lines, hosts, limits)
}

// ReportSome is like Report for a report on some accounts only: what the host holds of
// the others stays unknown.
func (al *Allocator) ReportSome(now time.Duration, host string, lines []Line, hosts []string, limits map[string]coltsfootloft.Account) []Line {
	if al.accounts == nil {
		al.accounts = make(map[string]*account)
	}
	for _, l := range lines {
		if _, ok := limits[l.Account]; !ok && al.accounts[l.Account] == nil && len(al.accounts) >= len(limits)+maxOtherAccounts {
			continue
		}
		al.recordReport(now, host, l)
	}
	unreported := al.unreportedShare(now, hosts)
	isDeputySilent := now-al.Started < Validity && slices.ContainsFunc(al.Deputies, func(h string) bool { return !al.reported[h] })
	grants := make([]Line, 0, len(lines))
	for _, l := range lines {
		limit, ok := limits[l.Account]
		if !ok {
			continue
		}
		grants = append(grants, al.grant(now, host, l, limit, unreported, isDeputySilent))
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
	h.previous = part{
		rate:  l.Held,
		depth: l.HeldBurst,
	}
	h.until = now + l.HeldFor
	h.granted = part{}
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

func (al *Allocator) grant(now time.Duration, host string, l Line, limit coltsfootloft.Account, unreported float64, isDeputySilent bool) Line {
	a := al.accounts[l.Account]
	a.setLimit(now, limit)
	h := a.hosts[host]
	others := a.sumOthers(now, host)
	others.held.rate += limit.Rate() * rateShare * unreported
	others.held.depth += limit.Burst() * hostBurstShare * unreported
	if limit.IsLentOnly() {
		others.held = part{}
		h.previous = part{}
	} else {
		if isDeputySilent {
			// It may hold all that the predecessor has granted as rates, but for what others report to hold.
			mine := h.previous
			others.held.rate = max(others.held.rate, limit.Rate()*deputyShare-mine.rate)
			others.held.depth = max(others.held.depth, limit.Burst()*hostBurstShare-mine.depth)
		}
		h.granted = a.bucketOf(host, others, slices.Contains(al.Deputies, host))
	}
	h.until = max(h.until, now+Validity)
	g := Line{
		Account: l.Account,
		Rate:    h.granted.rate,
		Burst:   h.granted.depth,
	}
	mine := h.granted.max(h.previous)
	a.pool.Resize(bucket.At(now), max(a.rate*usableShare-mine.rate-others.held.rate, 0), max(a.burst-mine.depth-others.held.depth, 0))
	if !limit.IsLentOnly() {
		a.creditUnused(now, l.Unused)
	}
	if l.Want > 0 {
		g.Lent = a.pool.Debit(bucket.At(now), math.Floor(min(l.Want, a.pool.Available(bucket.At(now)))))
		a.lent.Add(g.Lent, now+LoanLifetime)
	}
	return g
}

// creditUnused returns operations that were lent and expired unused to the pool. The pool has filled since
// it lent them, so that together with the loans that hosts may still use it is credited up to its depth only.
func (a *account) creditUnused(now time.Duration, unused float64) {
	a.lent.Expire(now)
	room := a.pool.Burst() - a.pool.Available(bucket.At(now)) - a.lent.Count(now)
	a.pool.Credit(bucket.At(now), max(min(unused, room), 0))
}

// sum is what several hosts together hold and ask for.
type sum struct {
	// held is what they may use.
	held part
	// demand is that of all hosts, bucketDemand that of the hosts with enough demand for
	// a bucket, in operations per second.
	demand, bucketDemand float64
	// buckets is the number of hosts with enough demand for a bucket.
	buckets int
	// users is the number of hosts with any demand.
	users int
	// dense is set if all hosts that use the account get a bucket.
	dense bool
}

// sumOthers sums up the hosts other than host, and drops those whose grants have expired.
func (a *account) sumOthers(now time.Duration, host string) sum {
	var s sum
	for name, h := range a.hosts {
		if name == host {
			continue
		}
		if now >= h.until {
			delete(a.hosts, name)
			continue
		}
		held := h.granted.max(h.previous)
		s.held.rate += held.rate
		s.held.depth += held.depth
		s.demand += h.demand
		if h.demand > 0 {
			s.users++
		}
		if h.hasBucket() {
			s.buckets++
			s.bucketDemand += h.demand
		}
	}
	operations := (a.hosts[host].demand + s.demand) * Validity.Seconds()
	if operations >= denseOperations*float64(s.users+1) {
		s.dense = true
		s.buckets = s.users
		s.bucketDemand = s.demand
	}
	return s
}

// bucketOf returns the rate and the depth of the bucket of a host, zero if it gets none.
func (a *account) bucketOf(host string, others sum, isDeputy bool) part {
	h := a.hosts[host]
	free := a.burst*hostBurstShare - others.held.depth
	depth := min(a.bucketDepth(host, others.buckets+1), free)
	if !h.hasBucket() && !others.dense || depth < 1 {
		return part{}
	}
	usable := a.rate * usableShare
	granted, headroom := a.rate*rateShare, 1.
	if isDeputy {
		granted, headroom = a.rate*deputyShare, deputyHeadroom
	}
	if depth < shallowDepth && len(a.hosts) > 1 {
		// The rest of the rate covers the demand even if all that is granted is lost.
		granted = min(granted, max(usable-h.demand-others.demand, 0))
	}
	rate := min(share(granted, h.demand*headroom, others.bucketDemand*headroom), max(usable-others.held.rate, 0))
	if rate == 0 {
		return part{}
	}
	return part{
		rate:  rate,
		depth: depth,
	}
}

// bucketDepth returns the depth of the bucket of a host, in operations, if buckets hosts
// have one; 0 if the host has none.
func (a *account) bucketDepth(host string, buckets int) float64 {
	all := a.burst * hostBurstShare
	if depth := all / float64(buckets); depth >= 1 {
		return depth
	}
	mine := a.hosts[host].demand
	ahead := 0
	for name, h := range a.hosts {
		if h.demand > mine || h.demand == mine && name < host {
			ahead++
		}
	}
	if float64(ahead+1) > all {
		return 0
	}
	return 1
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
		if !limit.IsLentOnly() {
			a.pool.Credit(bucket.At(now), initialShare*min(limit.Rate(), limit.Burst()))
		}
	}
	a.rate = limit.Rate()
	a.burst = limit.Burst()
}
