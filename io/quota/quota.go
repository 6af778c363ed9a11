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
//
// An operation that was admitted and not sent to a database yet is held: its token counts
// against the depth of the bucket, which does not fill in its place. After admitLifetime the
// token is credited to the bucket again, and the operation has to be admitted again before it is
// sent. In a window of length w an account so sends at most burst + rate × (w + admitLifetime),
// also while and after its databases are out of reach.
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
	"coltsfootloft/core/expiry"
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
	// admitLifetime is how long an operation can be sent after its token was taken from a
	// bucket, of this host, of the keeper or of a deputy. An operation that is returned does
	// not get more time.
	admitLifetime = grant.LoanLifetime
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
	// lent are the operations lent by the keeper or the deputy, or returned unused for which
	// the bucket had no room.
	lent    expiry.Tokens
	wasLent bool // some operation, ever
	// held are the operations that were admitted and not sent yet.
	held expiry.Tokens
	// unused is the number of expired operations that the next report returns to the keeper.
	unused float64
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
// waits for the rate until ctx ends. The operation is held until Send, and to be sent by the time
// until, on Clock.
func (l *Limiter) Admit(ctx context.Context, name string) (until time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name)
	until, ok = l.await(ctx, a)
	if !ok {
		l.logRefusal(name, a)
		return 0, false
	}
	return a.hold(l.Clock.Elapsed(), until), true
}

// Borrow is like Admit for an operation that is sent at once, of an account whose refusals are
// usual and not logged.
func (l *Limiter) Borrow(ctx context.Context, name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.await(ctx, l.account(name))
	return ok
}

// await takes one operation out of the account's rate, and waits for it until ctx ends; mu is
// held, but not while it waits.
func (l *Limiter) await(ctx context.Context, a *account) (until time.Duration, ok bool) {
	now := l.Clock.Elapsed()
	isLent := a.lent.Count(now) >= 1
	until, ok = a.take(now)
	a.usage.Add(ok && !isLent)
	if ok {
		return until, true
	}
	a.waiting++
	defer func() { a.waiting-- }()
	for {
		now := l.Clock.Elapsed()
		changed := l.changed
		wait := a.bucket.Wait(bucket.At(now), 1)
		l.mu.Unlock()
		l.requestReport()
		inTime := pause.Until(ctx, changed, max(min(wait, maxBucketWait), minBucketWait))
		l.mu.Lock()
		until, ok = a.take(l.Clock.Elapsed())
		if ok || !inTime {
			return until, ok
		}
	}
}

// Send reports whether an operation that was admitted until a time may be sent now. If the time has
// passed, it takes another one out of the account's rate, without waiting, and returns the time of
// that. The operation is no longer held.
func (l *Limiter) Send(name string, until time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	a := l.account(name)
	if now < until {
		a.release(now, until)
		return until, true
	}
	l.countExpired()
	return a.take(now)
}

// Hold records that an operation that was admitted until a time could not be sent, after Send.
func (l *Limiter) Hold(name string, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	if now < until {
		l.account(name).hold(now, until)
	}
}

// Return returns an operation that is held, after Admit or Hold, and was not sent to any database, to
// the account's rate.
func (l *Limiter) Return(name string, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	a := l.account(name)
	if now >= until || !a.release(now, until) {
		return
	}
	if rest := 1 - a.bucket.Credit(bucket.At(now), 1); rest > 0 {
		a.lent.Add(rest, until)
	}
}

// IsNew reports whether the host has not received a grant for the account yet.
func (l *Limiter) IsNew(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.accounts[name]
	return a == nil || !a.granted && !a.wasLent
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
	missing := float64(a.waiting) - math.Floor(a.lent.Count(now))
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

// take takes an operation that was lent, or one out of the bucket. It returns the time until
// which the operation may be sent.
func (a *account) take(now time.Duration) (until time.Duration, ok bool) {
	a.expire(now)
	if until, ok := a.lent.Take(now); ok {
		return until, true
	}
	if now >= a.validUntil || !a.bucket.Take(bucket.At(now), 1) {
		return 0, false
	}
	return now + admitLifetime, true
}

// hold holds an operation, at most until a time. It returns the time that is kept.
func (a *account) hold(now, until time.Duration) time.Duration {
	a.bucket.Hold(bucket.At(now), 1)
	return a.held.Add(1, until)
}

// release ends the holding of an operation, and reports whether it was held.
func (a *account) release(now, until time.Duration) bool {
	a.expire(now)
	if !a.held.Remove(until) {
		return false
	}
	a.bucket.Release(bucket.At(now), 1)
	return true
}

// expire credits the bucket with the tokens of held operations that have expired. Those beyond its
// depth, and loans that have expired, are reported to the keeper as unused.
func (a *account) expire(now time.Duration) {
	if n := a.held.Expire(now); n > 0 {
		a.bucket.Release(bucket.At(now), n)
		a.unused += n - a.bucket.Credit(bucket.At(now), n)
	}
	a.unused += a.lent.Expire(now)
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
		a.granted = true
		a.bucket.Resize(bucket.At(now), amount(x.GetRate()), amount(x.GetBurst()))
		l.addLent(a, sent, amount(x.GetLent()), byKeeper)
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
