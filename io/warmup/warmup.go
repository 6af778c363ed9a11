// Package warmup limits what cold databases get from all hosts together.
//
// A database that has started is cold for a while: it is slow, and warms up by what is sent to it.
// As long as its entry in the store says so, every request to it is charged to an internal account
// of the first quota shard (package cold) on the host that sends it, right before it is sent. Which
// host that is does not matter, nor which hosts know of each other: only what the quota keeper has
// lent is sent. A host that can't reach the quota keeper sends nothing.
//
// A host that has lost its connections to a database charges its statements too until it must have
// seen the entry of a database that has started again, as it may be cut off from the store.
//
// Requests to other databases are not charged, and none are in groups without a limit.
package warmup

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"coltsfootloft"
	"coltsfootloft/core/cold"
	"coltsfootloft/io/mirror"
)

const (
	// avoidPerHost and minAvoid bound how often statements are tried at a cold database that has
	// no operation left: for so long after a refusal, a host sends it no further read. All hosts
	// together then try it about 200 times a second at most, which still takes all of its limit.
	avoidPerHost = 5 * time.Millisecond
	minAvoid     = 50 * time.Millisecond
	// AtOnce is how long a request waits that another database could serve: a few round trips to
	// the quota keeper.
	AtOnce = 15 * time.Millisecond
)

// Borrower borrows operations of an account over all hosts.
type Borrower interface {
	// Borrow takes one operation of an account, for which it waits until ctx ends.
	Borrow(ctx context.Context, account string) bool
}

// Limiter charges the requests of one host to cold databases. Its exported fields are set before
// use. It is safe for concurrent use. A nil Limiter limits nothing.
type Limiter struct {
	// Mirror is the host's copy of the store, with the databases and the groups' limits.
	Mirror *mirror.Mirror
	// Quota lends operations.
	Quota Borrower
	// Clock is monotonic and includes the time in which the host is suspended.
	Clock coltsfootloft.Clock
	// Overage and Slack are the deployment's bounds (cold.Limit). Nothing is limited if Overage
	// is 0.
	Overage, Slack float64
	// InContact reports whether the platform's store has answered this host recently.
	InContact func() bool
	// Metrics receives the counters.
	Metrics *metrics.Set

	mu    sync.Mutex
	avoid map[string]time.Duration
	lost  map[string]loss
}

// loss is when a connection to a database was last lost or regained, and the revision of the
// database's entry then.
type loss struct {
	at       time.Duration
	revision uint64
}

// entryDelay is how long after its start a database's entry may take to reach a host in contact with
// the platform: it is written at the start, and watches collect changes for 100 ms twice.
const entryDelay = 300 * time.Millisecond

// Names of the metrics.
const (
	requestsMetric   = `coltsfootloft_cold_requests_total`
	redirectedMetric = `coltsfootloft_cold_refusals_total`
)

// Expose creates the metrics.
func (l *Limiter) Expose() {
	l.Metrics.NewGauge("coltsfootloft_cold_databases", func() float64 { return float64(l.count()) })
	l.Metrics.GetOrCreateCounter(requestsMetric)
	l.Metrics.GetOrCreateCounter(redirectedMetric)
}

// count returns how many databases are cold and limited.
func (l *Limiter) count() int {
	n := 0
	for id := range l.Mirror.View().Upstreams {
		if l.IsCold(id) {
			n++
		}
	}
	return n
}

// limitOf returns the limit of a database while it is cold; ok is false if it has none.
func (l *Limiter) limitOf(id string) (limit cold.Limit, u mirror.Upstream, ok bool) {
	v := l.Mirror.View()
	u, known := v.Upstreams[id]
	if !known || v.Settings == nil || l.Overage <= 0 {
		return limit, u, false
	}
	start, ok := v.Settings.ColdStarts[u.Group]
	return cold.Limit{
		Rate:    start.Rate,
		Overage: l.Overage,
		Slack:   l.Slack,
	}, u, ok
}

// IsCold reports whether a database says that it is cold, and is limited.
func (l *Limiter) IsCold(id string) bool {
	if l == nil {
		return false
	}
	_, u, ok := l.limitOf(id)
	return ok && u.ColdFor > 0
}

// Lost records that the host has lost a connection to a database, or has one again. The database may
// have started again since, and be cold without the host's knowledge.
func (l *Limiter) Lost(id string) {
	_, u, ok := l.limitOf(id)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost == nil {
		l.lost = make(map[string]loss)
	}
	l.lost[id] = loss{
		at:       l.Clock.Elapsed(),
		revision: u.Revision,
	}
}

// FirstOpened records that the host has a connection to a database to which it had none. If it is not in
// contact with the platform, the database may have started since without its knowledge.
func (l *Limiter) FirstOpened(id string) {
	if !l.InContact() {
		l.Lost(id)
	}
}

// isLimited reports whether statements to a database are charged: while it is cold, and while it may
// be. That ends with a new entry, once the host has had contact with the platform for long enough to
// have seen one, or when a database that started then is warm.
func (l *Limiter) isLimited(id string) bool {
	if l == nil {
		return false
	}
	_, u, ok := l.limitOf(id)
	if !ok || u.ColdFor > 0 {
		return ok
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	x, suspect := l.lost[id]
	if !suspect {
		return false
	}
	now := l.Clock.Elapsed()
	age, known := l.Mirror.Horizon().Age(now)
	start := l.Mirror.View().Settings.ColdStarts[u.Group]
	if u.Revision > x.revision || known && now-age >= x.at+entryDelay || now-x.at >= start.Duration {
		delete(l.lost, id)
		return false
	}
	return true
}

// Account returns the limit of an internal account. The quota keeper knows those of all databases
// that may be cold, as hosts may learn that one is before it does.
func (l *Limiter) Account(name string) (coltsfootloft.Account, bool) {
	id, ok := cold.DatabaseOf(name)
	if !ok {
		return coltsfootloft.Account{}, false
	}
	limit, _, ok := l.limitOf(id)
	return limit.Account(name), ok
}

// IsAvoided reports whether reads should go to other databases, as this one is cold and has
// refused a request a moment ago.
func (l *Limiter) IsAvoided(id string) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Clock.Elapsed() < l.avoid[id]
}

// Refused records that a statement of this host's callers was not sent to a database, here or on the
// host that owns the connection. It does nothing if the database is not limited.
func (l *Limiter) Refused(id string) {
	if l.isLimited(id) {
		l.Metrics.GetOrCreateCounter(redirectedMetric).Inc()
		l.startAvoiding(id)
	}
}

func (l *Limiter) startAvoiding(id string) {
	hosts := len(l.Mirror.View().Hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.avoid == nil {
		l.avoid = make(map[string]time.Duration)
	}
	l.avoid[id] = l.Clock.Elapsed() + max(minAvoid, time.Duration(hosts)*avoidPerHost)
}

// Admit charges n requests to a database, and reports whether they may be sent now. It waits for at
// most AtOnce or wait if that is longer. Requests to databases that are not cold are not charged.
func (l *Limiter) Admit(id string, n int, wait time.Duration) bool {
	if !l.isLimited(id) {
		return true
	}
	if l.borrow(cold.StatementAccount(id), id, n, max(wait, AtOnce)) {
		return true
	}
	l.startAvoiding(id)
	return false
}

// AdmitStatus charges a status request. It takes the place of a statement if there is none for
// status requests left.
func (l *Limiter) AdmitStatus(id string, wait time.Duration) bool {
	if !l.IsCold(id) {
		return true
	}
	return l.borrow(cold.StatusAccount(id), id, 1, AtOnce) || l.borrow(cold.StatementAccount(id), id, 1, max(wait, AtOnce))
}

func (l *Limiter) borrow(account, id string, n int, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	for range n {
		if !l.Quota.Borrow(ctx, account) {
			return false
		}
	}
	l.Metrics.GetOrCreateCounter(requestsMetric).Add(n)
	l.Metrics.GetOrCreateCounter(requestsMetric + `{database="` + strings.ReplaceAll(id, `"`, "") + `"}`).Add(n)
	return true
}
