// Package warmup limits what cold databases get from all hosts together.
//
// A database that has started is cold for a while: it is slow, and warms up by what is sent to it.
// As long as its entry in the store says so, every request to it is charged to an internal account
// of the first quota shard (package cold) on the host that sends it, right before it is sent. Which
// host that is does not matter, nor which hosts know of each other: only what the quota keeper has
// lent is sent. A host that can't reach the quota keeper sends nothing.
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
	// Metrics receives the counters.
	Metrics *metrics.Set

	mu    sync.Mutex
	avoid map[string]time.Duration
}

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

// IsCold reports whether requests to a database are limited now.
func (l *Limiter) IsCold(id string) bool {
	if l == nil {
		return false
	}
	_, u, ok := l.limitOf(id)
	return ok && u.ColdFor > 0
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
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Clock.Elapsed() < l.avoid[id]
}

// Avoid records that a request to a cold database was not granted, here or on the host that owns
// the connection.
func (l *Limiter) Avoid(id string) {
	if !l.IsCold(id) {
		return
	}
	l.Metrics.GetOrCreateCounter(redirectedMetric).Inc()
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
	if !l.IsCold(id) {
		return true
	}
	if l.borrow(cold.StatementAccount(id), id, n, max(wait, AtOnce)) {
		return true
	}
	l.Avoid(id)
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
