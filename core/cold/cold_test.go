package cold

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/grant"
	_ "coltsfootloft/stand/seed"
)

const (
	lentLifetime = 500 * time.Millisecond // of operations, from when a report is sent
	callTimeout  = 300 * time.Millisecond
	toDatabase   = 100 * time.Millisecond // at most, from the charge to the arrival
	database     = "db-1"
)

// TestAccountsKeepTheBound guards against internal accounts that may lend, within the time in which
// what arrives in one second is lent, more than the bound of the database.
func TestAccountsKeepTheBound(t *testing.T) {
	for _, l := range []Limit{
		{20, 1.5, 5},
		{4, 1.5, 5},
		{1, 1.5, 5},
		{300, 1.5, 5},
		{0.2, 1.5, 5},
		{20, 1, 0},
		{20, 1.1, 1},
		{1, 1, 1},
		{0.1, 1, 0},
		{3, 5, 40},
		{20, 0.5, 0},
	} {
		rate, burst := 0.0, 0.0
		for _, name := range []string{StatementAccount(database), StatusAccount(database)} {
			d, ok := DatabaseOf(name)
			assert.Assert(t, ok && d == database, name)
			a := l.Account(name)
			assert.Assert(t, a.IsLentOnly() && a.Rate() >= 0 && a.Burst() >= 0, "%+v %+v", l, a)
			rate += a.Rate()
			burst += a.Burst()
		}
		assert.Assert(t, rate*(1+lentLifetime.Seconds()+toDatabase.Seconds())+burst <= l.Bound()+1e-9, "%+v", l)
		if l.Overage >= 1.5 && l.Slack >= 5 {
			assert.Assert(t, rate >= 0.9*l.Rate, "%+v: %v", l, rate)
		}
	}
	_, ok := DatabaseOf("cold db-1")
	assert.Assert(t, !ok, "an account of the operators")
}

// borrower is one host: it sends while it has lent operations, and asks for more if it has none.
type borrower struct {
	lent  float64
	until time.Duration
	cut   bool // can't reach the quota keeper
}

// phase is the period in which the hosts of a fleet are quiet for a while, so that the quota keeper may
// lend a whole burst, and then send as much as they may. The quota keeper changes right after that.
const (
	phase  = 6 * time.Second
	quiet  = 4 * time.Second
	change = quiet + 200*time.Millisecond
	held   = quiet + lentLifetime - 10*time.Millisecond // until then, all hosts hold back what they were lent
)

// fleet has hosts that send as much as they may to one cold database.
type fleet struct {
	limit    Limit
	hosts    []borrower
	random   *rand.Rand
	keeper   *grant.Allocator
	arrivals []time.Duration
	started  time.Duration
	phases   bool
}

// ask borrows operations in a call that takes a while. The answer counts from when it was sent, and is
// lost if the call has timed out by then.
func (f *fleet) ask(now time.Duration, i int) {
	name := StatementAccount(database)
	if f.random.IntN(4) == 0 {
		name = StatusAccount(database)
	}
	h := &f.hosts[i]
	atKeeper := now + time.Duration(f.random.Int64N(int64(5*time.Millisecond)))
	took := time.Duration(f.random.Int64N(int64(callTimeout + 20*time.Millisecond)))
	report := []grant.Line{{
		Account: name,
		Demand:  50,
		Want:    float64(1 + f.random.IntN(20)),
	}}
	limits := map[string]coltsfootloft.Account{name: f.limit.Account(name)}
	for _, g := range f.keeper.Report(atKeeper, fmt.Sprint(i), report, nil, limits) {
		if g.Rate != 0 || g.Burst != 0 {
			panic("a rate of an account that is only lent")
		}
		if took < callTimeout {
			h.lent += g.Lent
			h.until = now + lentLifetime
		}
	}
}

// inPhase returns how much of the present phase has passed.
func (f *fleet) inPhase(now time.Duration) time.Duration { return (now - f.started) % phase }

// step lets a host send what it may at a moment, or ask for more.
func (f *fleet) step(now time.Duration, i int) {
	h := &f.hosts[i]
	delay := time.Duration(f.random.Int64N(int64(toDatabase)))
	if at := f.inPhase(now); f.phases && at < held+toDatabase {
		delay = held + toDatabase - at // what was held back arrives as late as it may, together with what follows
	} else if f.phases {
		delay = 0
	}
	switch {
	case now >= h.until || h.lent < 1:
		h.lent = 0
		if !h.cut {
			f.ask(now, i)
		}
	case f.phases && f.inPhase(now) < held:
		f.ask(now, i)
	case f.phases || f.random.IntN(3) > 0: // otherwise it holds them back, as long as they are valid
		for ; h.lent >= 1; h.lent-- {
			f.arrivals = append(f.arrivals, now+delay)
		}
	}
}

// most returns the greatest number of arrivals within a second.
func most(arrivals []time.Duration) int {
	slices.Sort(arrivals)
	most, first := 0, 0
	for i, at := range arrivals {
		for at-arrivals[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestNoSecondExceedsTheBound counts what arrives at a cold database in every second, of hosts that
// ask for far more than the limit, while the quota keeper changes and hosts are cut off from it, which
// use what they were lent as late as they may. It guards against a change of the quota keeper, or
// operations that are used late, that let the database have more than its bound, and against a limit
// of which little is used.
func TestNoSecondExceedsTheBound(t *testing.T) {
	for seed := range uint64(24) {
		random := rand.New(rand.NewPCG(seed, 37))
		f := &fleet{
			limit: Limit{
				Rate:    []float64{1, 4, 20, 100}[seed/2%4],
				Overage: 1.5,
				Slack:   []float64{5, 60}[seed%2],
			},
			hosts:  make([]borrower, []int{1, 3, 15, 136}[seed/3%4]),
			random: random,
			keeper: &grant.Allocator{Started: 100 * time.Second},

			started: 100 * time.Second,
			phases:  seed%3 > 0,
		}
		const length = 12 * time.Second
		start := 100 * time.Second
		for now := start; now < start+length; now += 5 * time.Millisecond {
			if f.phases && f.inPhase(now) == change {
				f.keeper = &grant.Allocator{Started: now}
			}
			for i := range f.hosts {
				if f.phases && f.inPhase(now) < quiet {
					break
				}
				f.step(now, i)
			}
			if h := &f.hosts[random.IntN(len(f.hosts))]; random.IntN(100) == 0 {
				h.cut = !h.cut && len(f.hosts) > 1
			}
		}
		got := most(f.arrivals)
		assert.Assert(t, float64(got) <= f.limit.Bound(), "seed %d: %d in a second, bound %v", seed, got, f.limit.Bound())
		if !f.phases {
			perSecond := float64(len(f.arrivals)) / length.Seconds()
			assert.Assert(t, perSecond >= 0.5*f.limit.Rate, "seed %d: %.1f of %v a second", seed, perSecond, f.limit.Rate)
		}
	}
}

// TestNewKeeperLendsNothingAtFirst guards against a new quota keeper that lends at once, just after its
// predecessor has lent the whole burst.
func TestNewKeeperLendsNothingAtFirst(t *testing.T) {
	name := StatementAccount(database)
	limit := Limit{
		Rate:    100,
		Overage: 1.5,
		Slack:   60,
	}.Account(name)
	report := []grant.Line{{
		Account: name,
		Want:    1000,
	}}
	al := &grant.Allocator{Started: time.Second}
	lent := 0.0
	for now := time.Second; now <= 2*time.Second; now += 10 * time.Millisecond {
		for _, g := range al.Report(now, "h", report, []string{"h"}, map[string]coltsfootloft.Account{name: limit}) {
			lent += g.Lent
		}
		if now == time.Second {
			assert.Equal(t, lent, 0.0)
		}
	}
	assert.Assert(t, lent > 0.9*limit.Rate() && lent <= limit.Rate(), "%v lent in the first second", lent)
}
