package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/expiry"
	"coltsfootloft/core/lender"
	"coltsfootloft/io/duty"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/quota/quotapb"
)

// domains is a store with hosts in two failure domains and no keeper that can be reached.
type domains struct{ storeInEra }

func (s domains) Snapshot(ctx context.Context) ([]coltsfootloft.Event, uint64, error) {
	events, revision, err := s.storeInEra.Snapshot(ctx)
	for i := range 2 * lender.MinHosts {
		key := mirror.HostKey(fmt.Sprintf("h%02d", i))
		events = append(events, coltsfootloft.Event{
			Kind:     coltsfootloft.EventProxyKey,
			Key:      key,
			StoreKey: key,
			Revision: revision,
			Value:    fmt.Appendf(nil, `{"address":"127.0.0.1:1","domain":"d%d","lease":"1.%d","size":1}`, i%2, i),
		})
	}
	return events, revision, err
}

// wiredPeers passes calls to the handlers of other hosts in the process, unless they are down.
type wiredPeers struct {
	self     string
	handlers map[string]coltsfootloft.Handler
	down     map[string]bool
	calls    map[string]int
}

func (p *wiredPeers) Register(duty string, h coltsfootloft.Handler) {
	p.handlers[p.self+" "+duty] = h
}

func (p *wiredPeers) Call(ctx context.Context, host, duty string, body []byte) ([]byte, error) {
	p.calls[host+" "+duty]++
	h, ok := p.handlers[host+" "+duty]
	if !ok || p.down[host] {
		return nil, errors.New("no answer")
	}
	return h(ctx, p.self, body)
}

// newDomains returns the limiters of all hosts of the store.
func newDomains(t *testing.T) (map[string]*Limiter, *wiredPeers, *fixedClock) {
	t.Helper()
	clock := &fixedClock{now: time.Hour}
	wires := &wiredPeers{
		handlers: make(map[string]coltsfootloft.Handler),
		down:     make(map[string]bool),
		calls:    make(map[string]int),
	}
	limiters := make(map[string]*Limiter)
	for i := range 2 * lender.MinHosts {
		peers := *wires
		peers.self = fmt.Sprintf("h%02d", i)
		m := &mirror.Mirror{
			Store: domains{storeInEra{era: 1}},
			Peers: &peers,
			Clock: clock,
			Log:   logr.Discard(),
		}
		m.Register()
		assert.NilError(t, m.Refresh(t.Context()))
		l := &Limiter{
			Peers:  &peers,
			Mirror: m,
			Clock:  clock,
			Log:    logr.Discard(),
			Duty: &duty.Duty{
				Name:   "quota-0",
				Self:   peers.self,
				Mirror: m,
			},
			Metrics: metrics.NewSet(),
		}
		l.Register()
		l.updateDeputies()
		limiters[peers.self] = l
	}
	return limiters, wires, clock
}

// grantTo grants a host a rate and a bucket.
func grantTo(l *Limiter, clock *fixedClock, rate, burst float64) {
	l.account("arima")
	l.applyGrants(clock.now, &quotapb.Grants{Grants: []*quotapb.Grant{{
		Account: "arima",
		Rate:    rate,
		Burst:   burst,
	}}})
}

// TestDeputyLendsWithoutAKeeper guards against operations within the limit that are refused because the
// quota keeper is out of reach, though their domain has a part of the limit, and against a
// deputy that lends more than its part, or for longer.
func TestDeputyLendsWithoutAKeeper(t *testing.T) {
	limiters, wires, clock := newDomains(t)
	host := limiters["h00"]
	if host.deputy.isSelf {
		host = limiters["h02"]
	}
	deputy := limiters[host.deputy.name]
	assert.Assert(t, deputy.deputy.isSelf)
	grantTo(deputy, clock, 10, 5)
	clock.now += time.Second
	host.account("arima").waiting = 7
	host.borrow(t.Context())
	a := host.accounts["arima"]
	assert.Equal(t, a.lent.Count(clock.now), 5.0)
	assert.Equal(t, host.lentMetric(byDeputy).Get(), 5.0)
	assert.Equal(t, host.untilShort(), time.Duration(0), "the keeper is asked for the rest")
	asked := wires.calls[deputy.Duty.Self+" quota-0-deputy"]
	host.borrow(t.Context())
	assert.Equal(t, wires.calls[deputy.Duty.Self+" quota-0-deputy"], asked, "an empty deputy is asked again only after a pause")

	clock.now += 2 * time.Second // the grant has expired
	a.lent = expiry.Tokens{}
	host.borrow(t.Context())
	assert.Equal(t, a.lent.Count(clock.now), 0.0)

	grantTo(deputy, clock, 10, 5)
	clock.now += time.Second
	other := limiters["h01"]
	assert.Equal(t, len(deputy.lend(other.Duty.Self, &quotapb.LoanRequest{
		Lines: []*quotapb.LoanLine{{
			Account: "arima",
			Want:    1,
		}},
	}).GetLoans()), 0, "a host of another domain")
}

// TestSilentDeputyIsPassedOver guards against operations that wait for a deputy that has ended, or is of a
// version without deputies, while the keeper could lend.
func TestSilentDeputyIsPassedOver(t *testing.T) {
	limiters, wires, clock := newDomains(t)
	host := limiters["h00"]
	if host.deputy.isSelf {
		host = limiters["h02"]
	}
	wires.down[host.deputy.name] = true
	a := host.account("arima")
	a.waiting = 1
	a.usage.Add(false)
	assert.Assert(t, host.untilShort() > 0, "the deputy is asked first")
	host.borrow(t.Context())
	assert.Equal(t, host.untilShort(), time.Duration(0))
	r := host.buildReport(clock.now, true)
	assert.Equal(t, len(r.GetLines()), 1)
	a.usage.Average(1)
	assert.Assert(t, a.usage.Reported() > 0, "what no deputy took over is the host's own demand")
	clock.now += deputySilence
	wires.down[host.deputy.name] = false
	host.borrow(t.Context())
	assert.Assert(t, a.deputyAt > clock.now, "asked again")
}

// TestDemandIsReportedOnce guards against demand that both a host and its deputy report to the keeper, which
// would grant twice as much, and against reports that tell nothing.
func TestDemandIsReportedOnce(t *testing.T) {
	limiters, _, clock := newDomains(t)
	host := limiters["h00"]
	if host.deputy.isSelf {
		host = limiters["h02"]
	}
	deputy := limiters[host.deputy.name]
	host.lastReport = clock.now
	deputy.lastReport = clock.now
	for range 4 {
		a := host.account("arima")
		a.usage.Add(false)
		a.waiting = 1
		a.deputyAt = 0
		host.borrow(t.Context())
		a.waiting = 0
		clock.now += reportPeriod
		r := host.buildReport(clock.now, false)
		assert.Equal(t, len(r.GetLines()), 0)
		assert.Assert(t, deputy.buildReport(clock.now, false).GetLines()[0].GetDemand() > 0)
	}
	host.lastKeeper = host.Mirror.View().Duties["quota-0"]
	assert.Assert(t, host.mayLeaveOut(&quotapb.Report{}, host.lastKeeper))
	assert.Assert(t, !host.mayLeaveOut(&quotapb.Report{}, mirror.Duty{Host: "other"}))
	host.ReportsAlways = true
	assert.Assert(t, !host.mayLeaveOut(&quotapb.Report{}, host.lastKeeper))
}

// TestFormerDeputyGivesUpItsGrants guards against a part of the limit that nobody uses until its grant
// expires, because the host that holds it is no deputy any more: the keeper has to learn that it is free.
func TestFormerDeputyGivesUpItsGrants(t *testing.T) {
	limiters, _, clock := newDomains(t)
	var deputy *Limiter
	for _, l := range limiters {
		if l.deputy.isSelf {
			deputy = l
		}
	}
	grantTo(deputy, clock, 10, 5)
	assert.Assert(t, !deputy.hasRetired())
	deputy.deputy.version++ // the hosts have changed
	deputy.deputy.recent = nil
	deputy.Duty.Self = "h-elsewhere"
	deputy.updateDeputies()
	assert.Assert(t, deputy.hasRetired())
	_, ok := deputy.accounts["arima"].take(clock.now)
	assert.Assert(t, !ok)
	lines := deputy.buildReport(clock.now, false).GetLines()
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0].GetHeld(), 0.0)
}
