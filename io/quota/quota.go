// Package quota limits client accounts to their rates over all hosts together.
//
// Each host has a token bucket for each account. Its rate and depth are granted for a
// short time by the keeper, the host that holds the quota duty and divides the rates of
// the accounts among the hosts (package grant). Hosts report their demand to the keeper
// at least twice within the validity of a grant, and at once when an operation finds its
// bucket empty. The keeper then lends single operations. If it has none left, the host
// asks again for that account only after a pause, while others are not delayed.
//
// In large failure domains a host that has run out first asks the deputy of its domain
// (package lender), which goes on while the keeper is out of reach.
//
// Large numbers of accounts are divided among several keepers (Shards).
package quota

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"coltsfootloft"
	"coltsfootloft/core/bucket"
	"coltsfootloft/core/grant"
	"coltsfootloft/core/lender"
	"coltsfootloft/io/duty"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
	"coltsfootloft/io/quota/quotapb"
)

const (
	// reportPeriod allows two reports in a row to be lost within the validity of a grant.
	reportPeriod = 800 * time.Millisecond
	// minUrgentPeriod is the minimum time between two reports of an account whose bucket
	// is empty here and at the keeper. In larger fleets urgentTimePerHost raises it: the
	// keeper's processor time for each host, from 0.2 ms a report, a third of the hosts
	// being short of tokens at a time, and half of the keeper's time spent on such
	// reports. 140 hosts then ask a keeper of 0.8 processors every 25 ms, and one of
	// 0.134 processors every 140 ms.
	minUrgentPeriod   = 25 * time.Millisecond
	urgentTimePerHost = 133 * time.Microsecond
	// minKeeperSize is assumed for a keeper of unknown or smaller size, in standard
	// processors.
	minKeeperSize = 0.1
	// callTimeout bounds a report; hosts usually answer in 3 ms.
	callTimeout = 300 * time.Millisecond
	// accountRetention is how long after its last operation an account is still reported.
	accountRetention = 6 * time.Second
	// lentLifetime is how long lent or returned operations can be used.
	lentLifetime = 500 * time.Millisecond
	// borrowAhead is how much expected demand a host that has run out borrows for.
	borrowAhead = 300 * time.Millisecond
	// minBucketWait and maxBucketWait bound one wait for a bucket to fill, which at a
	// rate of 0 never happens.
	minBucketWait = time.Millisecond
	maxBucketWait = time.Second
)

// Limiter limits the accounts of one shard on this host, and is their keeper while the host
// holds the duty. Its exported fields are set before Run.
type Limiter struct {
	// Peers calls the keeper.
	Peers coltsfootloft.Peers
	// Duty is held by the keeper. Hosts call the keeper under the same name.
	Duty *duty.Duty
	// Mirror is the host's copy of the store, with the accounts and hosts.
	Mirror *mirror.Mirror
	// Clock is monotonic and includes the time in which the host is suspended.
	Clock coltsfootloft.Clock
	// Log receives a line when the keeper stops answering or answers again, and for each
	// refusal.
	Log logr.Logger
	// StoreAge returns how long ago the store last answered this host.
	StoreAge func() time.Duration
	// Internal returns the limit of an account that is not the operators'; there are none if nil.
	Internal func(account string) (coltsfootloft.Account, bool)
	// Metrics receives the metrics; nil for none.
	Metrics *metrics.Set
	// ReportsAlways is set if the keeper's answers are needed for more than rates, so that no
	// report is left out for want of accounts.
	ReportsAlways bool

	mu           sync.Mutex
	accounts     map[string]*account
	changed      chan struct{}
	urgent       chan struct{}
	run          uint64 // random number of this process
	reports      uint64 // sent so far
	lastReport   time.Duration
	keeperSilent bool
	lastAnswer   time.Duration // when the keeper last answered
	heardAt      time.Duration // when the host named as the keeper last answered
	news         StoreNews
	deputy       deputy
	lastKeeper   mirror.Duty // to which all accounts were last reported
	once         sync.Once

	allocator      grant.Allocator
	allocatorMu    sync.Mutex
	allocatorSince time.Duration
	reporters      reports // guarded by allocatorMu
}

// account is the state of one client account on this host.
type account struct {
	bucket     bucket.Bucket
	usage      lender.Usage
	waiting    int
	lastUsed   time.Duration
	rate       float64
	validUntil time.Duration
	granted    bool
	isGivenUp  bool // the grant, which the next report has to say
	// askAt is when the keeper may be asked again to lend operations.
	askAt time.Duration
	// deputyAt is when the deputy may be asked again.
	deputyAt time.Duration
	// lent is the number of operations lent by the keeper or returned unused. They can be
	// used until lentUntil.
	lent      float64
	lentUntil time.Duration
}

// Register sets the handler for reports of other hosts. It is called before Run.
func (l *Limiter) Register() {
	l.lazyInit()
	l.Peers.Register(l.Duty.Name, l.handle)
	l.Peers.Register(l.loanDuty(), l.handleLoan)
	l.createMetrics()
}

func (l *Limiter) lazyInit() {
	l.once.Do(func() {
		l.accounts = make(map[string]*account)
		l.changed = make(chan struct{})
		l.urgent = make(chan struct{}, 1)
		l.deputy.wake = make(chan struct{}, 1)
		l.run = rand.Uint64() | 1 // 0 stands for none
	})
}

// Admit takes one operation out of the account's rate, and reports whether it could. It
// waits for the rate until ctx ends.
func (l *Limiter) Admit(ctx context.Context, name string) bool {
	if l.Borrow(ctx, name) {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logRefusal(name, l.account(name))
	return false
}

// Borrow is like Admit for an account whose refusals are usual and not logged.
func (l *Limiter) Borrow(ctx context.Context, name string) bool {
	l.mu.Lock()
	a := l.account(name)
	now := l.Clock.Elapsed()
	isLent := a.hasLent(now)
	isTaken := a.take(now)
	a.usage.Add(isTaken && !isLent)
	if isTaken {
		l.mu.Unlock()
		return true
	}
	a.waiting++
	for {
		now := l.Clock.Elapsed()
		changed := l.changed
		wait := a.bucket.Wait(bucket.At(now), 1)
		l.mu.Unlock()
		l.requestReport()
		ok := pause.Until(ctx, changed, max(min(wait, maxBucketWait), minBucketWait))
		l.mu.Lock()
		if a.take(l.Clock.Elapsed()) {
			a.waiting--
			l.mu.Unlock()
			return true
		}
		if !ok {
			a.waiting--
			l.mu.Unlock()
			return false
		}
	}
}

// IsNew reports whether the host has not received a grant for the account yet.
func (l *Limiter) IsNew(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	return a == nil || !a.granted && a.lentUntil == 0
}

// AwaitKeeper waits until the keeper has answered this host for the first time, or until ctx ends.
func (l *Limiter) AwaitKeeper(ctx context.Context) {
	l.lazyInit()
	for ctx.Err() == nil {
		l.mu.Lock()
		changed := l.changed
		answered := l.lastAnswer > 0
		l.mu.Unlock()
		if answered {
			return
		}
		pause.Until(ctx, changed, maxBucketWait)
	}
}

// Return gives back an operation that was admitted but not sent to any database.
func (l *Limiter) Return(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	a := l.account(name)
	if now >= a.lentUntil {
		a.lent = 0
	}
	a.lent++
	a.lentUntil = max(a.lentUntil, now+lentLifetime)
}

// account returns the state of an account, creating it if needed; mu is held.
func (l *Limiter) account(name string) *account {
	l.lazyInit()
	a := l.accounts[name]
	if a == nil {
		a = &account{}
		l.accounts[name] = a
	}
	a.lastUsed = l.Clock.Elapsed()
	return a
}

// wanted returns how many operations to borrow from the keeper: those that wait, and
// those expected within borrowAhead. It is 0 if none waits in vain.
func (a *account) wanted(now time.Duration) float64 {
	missing := float64(a.waiting)
	if now < a.lentUntil {
		missing -= math.Floor(a.lent)
	}
	if missing <= 0 {
		return 0
	}
	return missing + math.Floor(a.usage.Demand()*borrowAhead.Seconds())
}

// isShort reports whether the keeper is to be asked for operations of the account now; hasDeputy
// is set if the deputy is asked first.
func (a *account) isShort(now time.Duration, hasDeputy bool) bool {
	return now >= a.askAt && a.wanted(now) > 0 && (!hasDeputy || now < a.deputyAt)
}

func (a *account) hasLent(now time.Duration) bool { return now < a.lentUntil && a.lent >= 1 }

func (a *account) take(now time.Duration) bool {
	if a.hasLent(now) {
		a.lent--
		return true
	}
	if now >= a.validUntil {
		return false
	}
	return a.bucket.Take(bucket.At(now), 1)
}

func (l *Limiter) requestReport() {
	select {
	case l.urgent <- struct{}{}:
	default:
	}
	select {
	case l.deputy.wake <- struct{}{}:
	default:
	}
}

// Run reports to the keeper until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	l.lazyInit()
	t := time.NewTicker(reportPeriod)
	defer t.Stop()
	short := time.NewTimer(maxBucketWait)
	defer short.Stop()
	keeper := mirror.Duty{}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Add(1)
	go func() {
		defer wg.Done()
		l.runBorrower(ctx)
	}()
	for {
		changed := l.Mirror.Changed()
		l.updateDeputies()
		if now := l.Mirror.View().Duties[l.Duty.Name]; now != keeper || l.hasRetired() {
			keeper = now
			l.report(ctx, false)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
			l.report(ctx, false)
		case <-l.urgent:
		case <-short.C:
		}
		if l.untilShort() == 0 {
			l.report(ctx, true)
		}
		short.Reset(l.untilShort())
	}
}

// untilShort returns how long until the keeper is to be asked for operations of some
// account, at most maxBucketWait.
func (l *Limiter) untilShort() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	wait := maxBucketWait
	hasDeputy := l.deputy.isAsked(now)
	for _, a := range l.accounts {
		if a.wanted(now) > 0 && (!hasDeputy || now < a.deputyAt) {
			wait = min(wait, max(a.askAt-now, 0))
		}
	}
	return wait
}

// urgentPause returns the pause between two reports of an account of which the keeper has
// no operations to lend.
func urgentPause(v *mirror.View, name string) time.Duration {
	size := max(v.SizeOf(v.Duties[name].Host), minKeeperSize)
	return max(minUrgentPeriod, time.Duration(float64(len(v.Hosts))*float64(urgentTimePerHost)/size))
}

func (l *Limiter) applyGrants(sent time.Duration, g *quotapb.Grants) {
	l.Mirror.ObservePeer(mirror.Freshness{
		Sent:             sent,
		SettingsRevision: coltsfootloft.RevisionAt(g.GetSettingsEra(), g.GetSettingsRevision()),
		SettingsVersion:  g.GetSettingsVersion(),
		SettingsAge:      time.Duration(g.GetSettingsAgeMs()) * time.Millisecond,
		Revision:         coltsfootloft.RevisionAt(g.GetStoreEra(), g.GetStoreRevision()),
		Domains:          decodeEvacuations(g.GetEvacuations()),
		EvacuationAge:    ageOf(g.GetEvacuationsAgeMs()),
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	if l.keeperSilent {
		l.keeperSilent = false
		l.Log.Info("quota keeper answers again")
	}
	l.lastAnswer = now
	for _, x := range g.GetGrants() {
		a := l.accounts[x.GetAccount()]
		if a == nil {
			continue
		}
		if !a.granted {
			a.granted = true
			a.bucket = bucket.New(0, 0, bucket.At(now))
		}
		a.bucket.Resize(bucket.At(now), amount(x.GetRate()), amount(x.GetBurst()))
		l.addLent(a, sent, now, amount(x.GetLent()), byKeeper)
		if a.wanted(now) == 0 {
			a.askAt = 0
		}
		a.rate = amount(x.GetRate())
		a.validUntil = sent + grant.Validity
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Limiter) noteKeeperSilent(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.keeperSilent {
		l.keeperSilent = true
		l.Log.Info("quota keeper does not answer", "reason", reason)
	}
}
