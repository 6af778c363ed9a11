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

// fleet has hosts that send as much as they may to one cold database.
type fleet struct {
	limit    Limit
	hosts    []borrower
	random   *rand.Rand
	keeper   *grant.Allocator
	arrivals []time.Duration
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
			h.lent = g.Lent
			h.until = now + lentLifetime
		}
	}
}

// step lets a host send what it may at a moment, or ask for more.
func (f *fleet) step(now time.Duration, i int) {
	h := &f.hosts[i]
	switch {
	case now >= h.until || h.lent < 1:
		h.lent = 0
		if !h.cut {
			f.ask(now, i)
		}
	case f.random.IntN(3) > 0: // otherwise it holds them back, as long as they are valid
		for ; h.lent >= 1; h.lent-- {
			f.arrivals = append(f.arrivals, now+time.Duration(f.random.Int64N(int64(toDatabase))))
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
				Rate:    []float64{1, 4, 20, 100}[seed%4],
				Overage: 1.5,
				Slack:   5,
			},
			hosts:  make([]borrower, []int{1, 3, 15, 136}[seed/4%4]),
			random: random,
			keeper: &grant.Allocator{Started: 100 * time.Second},
		}
		const length = 12 * time.Second
		start := 100 * time.Second
		changeAt := start
		for now := start; now < start+length; now += 5 * time.Millisecond {
			if seed%3 > 0 && now >= changeAt {
				f.keeper = &grant.Allocator{Started: now}
				changeAt = now + time.Duration(2+random.IntN(5))*time.Second
			}
			for i := range f.hosts {
				f.step(now, i)
			}
			if h := &f.hosts[random.IntN(len(f.hosts))]; random.IntN(100) == 0 {
				h.cut = !h.cut && len(f.hosts) > 1
			}
		}
		got := most(f.arrivals)
		assert.Assert(t, float64(got) <= f.limit.Bound(), "seed %d: %d in a second, bound %v", seed, got, f.limit.Bound())
		if seed%3 == 0 {
			perSecond := float64(len(f.arrivals)) / length.Seconds()
			assert.Assert(t, perSecond >= 0.5*f.limit.Rate, "seed %d: %.1f of %v a second", seed, perSecond, f.limit.Rate)
		}
	}
}
