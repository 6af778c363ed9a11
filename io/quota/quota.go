// Package quota serves client accounts within their rates over all hosts.
//
// Each host has a bucket an account, whose rate and depth the keeper of the book
// grants (core/grant). Reports go to the keeper twice within the life of a grant,
// and at once when an operation finds its bucket empty.
package quota

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/core/bucket"
	"coltsfootloft/core/grant"
	"coltsfootloft/io/duty"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
	"coltsfootloft/io/quota/quotapb"
)

const (
	// reportEvery leaves time for two lost reports within a grant's life.
	reportEvery = 800 * time.Millisecond
	// urgentEvery bounds reports because of empty buckets, and urgentWork does so in
	// larger fleets. It is the keeper's processor time for each host: 0.2 ms a
	// report, a third of the hosts that are short at a time, and half of the
	// keeper's time for it. A keeper of 0.8 of a processor is asked each 25 ms by
	// 140 hosts, one of 0.134 each 140 ms.
	urgentEvery = 25 * time.Millisecond
	urgentWork  = 133 * time.Microsecond
	// leastSize stands for the size of a keeper that is not known.
	leastSize = 0.1
	// callTimeout bounds a report: other hosts answer in 3 ms.
	callTimeout = 300 * time.Millisecond
	// forgetAfter is how long an account is reported after its last operation.
	forgetAfter = 6 * time.Second
	// smoothing is the weight of the newest period in the demand, which so looks
	// back over some three seconds.
	smoothing = 0.25
	// lentFor is how long operations that the keeper lent may wait for their use.
	lentFor = 500 * time.Millisecond
	// soon is how far ahead a host that has run out borrows.
	soon = 300 * time.Millisecond
	// shortest and longest bound one wait for a bucket to fill, which may never.
	shortest = time.Millisecond
	longest  = time.Second
)

// Quota is the host's part. Its fields are set before Run.
type Quota struct {
	// Peers calls the keeper.
	Peers coltsfootloft.Peers
	// Duty is that of the keeper; its name is that of the duty on the links
	// between hosts too.
	Duty *duty.Duty
	// Mirror has the accounts and hosts.
	Mirror *mirror.Mirror
	// Clock counts suspensions.
	Clock coltsfootloft.Clock
	// Log takes a line when the keeper is lost or found again.
	Log logr.Logger
	// StoreAge is how long ago the store last answered this host.
	StoreAge func() time.Duration

	mu       sync.Mutex
	accounts map[string]*account
	changed  chan struct{}
	urgent   chan struct{}
	reported time.Duration
	lost     bool
	others   time.Duration // the keeper's store age, as of its last answer
	answered time.Duration // when the keeper last answered
	once     sync.Once

	book      grant.Allocator
	bookMutex sync.Mutex
	bookSince time.Duration
}

// account is one account on this host.
type account struct {
	bucket  bucket.Bucket
	asked   float64 // operations since the last report
	demand  float64
	waiting int
	used    time.Duration
	rate    float64
	until   time.Duration
	granted bool
	// lent are operations out of the keeper's part, until lentUntil.
	lent      float64
	lentUntil time.Duration
}

// Register sets the keeper's handler. It is called before Run.
func (q *Quota) Register() {
	q.prepare()
	q.Peers.Register(q.Duty.Name, q.handle)
}

func (q *Quota) prepare() {
	q.once.Do(func() {
		q.accounts = make(map[string]*account)
		q.changed = make(chan struct{})
		q.urgent = make(chan struct{}, 1)
	})
}

// Admit takes one operation out of the account's rate. It waits until ctx ends.
func (q *Quota) Admit(ctx context.Context, name string) bool {
	q.mu.Lock()
	a := q.account(name)
	a.asked++
	if a.take(q.Clock.Elapsed()) {
		q.mu.Unlock()
		return true
	}
	a.waiting++
	for {
		now := q.Clock.Elapsed()
		changed := q.changed
		wait := a.bucket.Wait(bucket.At(now), 1)
		q.mu.Unlock()
		q.hurry()
		ok := pause.Until(ctx, changed, max(min(wait, longest), shortest))
		q.mu.Lock()
		if a.take(q.Clock.Elapsed()) {
			a.waiting--
			q.mu.Unlock()
			return true
		}
		if !ok {
			a.waiting--
			q.refused(name, a)
			q.mu.Unlock()
			return false
		}
	}
}

// IsNew reports whether the host has had no grant of the account yet.
func (q *Quota) IsNew(name string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.accounts[name]
	return a == nil || !a.granted
}

// Return gives back an operation that was admitted and sent to no database.
func (q *Quota) Return(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Elapsed()
	a := q.account(name)
	if now >= a.lentUntil {
		a.lent = 0
	}
	a.lent++
	a.lentUntil = max(a.lentUntil, now+lentFor)
}

// refused logs what a refusal rests on.
func (q *Quota) refused(name string, a *account) {
	now := q.Clock.Elapsed()
	limit := coltsfootloft.Account{}
	if c := q.Mirror.View().Catalog; c != nil {
		limit = c.Accounts[name]
	}
	q.Log.Info("account over its rate here", "account", name, "limit", limit.Rate(), "burst", limit.Burst(), "demand", a.demand,
		"granted", a.rate, "tokens", a.bucket.Available(bucket.At(now)), "valid", (a.until - now).String(),
		"keeper_silent", (now - q.answered).String(), "waiting", a.waiting, "lent", a.lent)
}

// account returns what the host has of an account.
func (q *Quota) account(name string) *account {
	q.prepare()
	a := q.accounts[name]
	if a == nil {
		a = &account{}
		q.accounts[name] = a
	}
	a.used = q.Clock.Elapsed()
	return a
}

// want is what the keeper should lend: for the operations that wait, and for those
// that are likely to come before the next report.
func (a *account) want() float64 {
	if a.waiting == 0 {
		return 0
	}
	return float64(a.waiting) + math.Floor(a.demand*soon.Seconds())
}

func (a *account) take(now time.Duration) bool {
	if now < a.lentUntil && a.lent >= 1 {
		a.lent--
		return true
	}
	if now >= a.until {
		return false
	}
	return a.bucket.Take(bucket.At(now), 1)
}

func (q *Quota) hurry() {
	select {
	case q.urgent <- struct{}{}:
	default:
	}
}

// Run reports until ctx ends.
func (q *Quota) Run(ctx context.Context) {
	q.prepare()
	t := time.NewTicker(reportEvery)
	defer t.Stop()
	keeper := mirror.Duty{}
	for {
		changed := q.Mirror.Changed()
		if now := q.Mirror.View().Duties[q.Duty.Name]; now != keeper {
			keeper = now
			q.report(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
			q.report(ctx)
		case <-q.urgent:
			q.report(ctx)
			pause.For(ctx, urgentPause(q.Mirror.View(), q.Duty.Name))
		}
	}
}

// urgentPause is how long after an urgent report the next one may follow.
func urgentPause(v *mirror.View, duty string) time.Duration {
	size := max(v.SizeOf(v.Duties[duty].Host), leastSize)
	return max(urgentEvery, time.Duration(float64(len(v.Hosts))*float64(urgentWork)/size))
}

// report tells the keeper what is asked for and takes its grants.
func (q *Quota) report(ctx context.Context) {
	sent := q.Clock.Elapsed()
	keeper, ok := q.Duty.Holder()
	if !ok {
		q.keeperLost("no host keeps the book")
		return
	}
	b, err := proto.Marshal(q.lines(sent))
	if err != nil {
		panic(err) // messages of plain fields always encode
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err = q.Peers.Call(ctx, keeper, q.Duty.Name, b)
	var g quotapb.Grants
	if err == nil {
		err = proto.Unmarshal(b, &g)
	}
	if err == nil && !g.GetKeeper() {
		err = errors.Errorf("%s does not keep the book", keeper)
	}
	if err != nil {
		q.keeperLost(err.Error())
		return
	}
	q.take(sent, &g)
}

// lines is the report of the accounts that were used of late.
func (q *Quota) lines(now time.Duration) *quotapb.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	period := max((now - q.reported).Seconds(), urgentEvery.Seconds())
	whole := now-q.reported >= reportEvery/2
	r := &quotapb.Report{}
	for name, a := range q.accounts {
		if now-a.used > forgetAfter && now >= a.until {
			delete(q.accounts, name)
			continue
		}
		if whole {
			a.demand += smoothing * (a.asked/period - a.demand)
			a.asked = 0
		}
		l := &quotapb.Line{
			Account: name,
			Demand:  a.demand,
			Want:    a.want(),
		}
		if now < a.until {
			l.Held = a.rate
			l.HeldMs = (a.until - now).Milliseconds() + 1
		}
		r.Lines = append(r.Lines, l)
	}
	if whole {
		q.reported = now
	}
	return r
}

func (q *Quota) take(sent time.Duration, g *quotapb.Grants) {
	q.Mirror.Heard(mirror.Hearsay{
		Sent:             sent,
		SettingsRevision: g.GetSettingsRevision(),
		SettingsAge:      time.Duration(g.GetSettingsAgeMs()) * time.Millisecond,
		Revision:         g.GetStoreRevision(),
	})
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Elapsed()
	if q.lost {
		q.lost = false
		q.Log.Info("keeper of rates answers again")
	}
	q.answered = now
	q.others = time.Duration(g.GetStoreAgeMs()) * time.Millisecond
	for _, x := range g.GetGrants() {
		a := q.accounts[x.GetAccount()]
		if a == nil {
			continue
		}
		if !a.granted {
			a.granted = true
			a.bucket = bucket.New(0, 0, bucket.At(now))
		}
		a.bucket.Resize(bucket.At(now), x.GetRate(), x.GetBurst())
		if now >= a.lentUntil {
			a.lent = 0
		}
		if x.GetLent() > 0 {
			a.lent += x.GetLent()
			a.lentUntil = sent + lentFor
		}
		a.rate = x.GetRate()
		a.until = sent + grant.Valid
	}
	close(q.changed)
	q.changed = make(chan struct{})
}

func (q *Quota) keeperLost(reason string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.lost {
		q.lost = true
		q.Log.Info("keeper of rates does not answer", "reason", reason)
	}
}

// Keeper returns how long ago the keeper last answered, and how long before that
// the store had last answered the keeper.
func (q *Quota) Keeper() (silent, storeAge time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.Clock.Elapsed() - q.answered, q.others
}
