package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/duty"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/quota/quotapb"
)

// fleet returns a view of a number of hosts, of which h0 is the keeper.
func fleet(hosts int, size float64) *mirror.View {
	v := &mirror.View{
		Hosts:  make(map[string]mirror.Registration),
		Duties: map[string]mirror.Duty{"quota-0": {Host: "h0"}},
	}
	for i := range hosts {
		v.Hosts[fmt.Sprintf("h%d", i)] = mirror.Registration{Size: size}
	}
	return v
}

// TestUrgentReportsFitTheKeeper guards against a keeper that is overloaded by urgent
// reports of a large fleet: together they may use half of its time at most, according to
// its size. In small fleets the minimum period between reports bounds them already.
func TestUrgentReportsFitTheKeeper(t *testing.T) {
	const report = 200 * time.Microsecond // on one standard processor
	for _, c := range []struct {
		hosts int
		size  float64
	}{{15, 0.272}, {17, 0.272}, {140, 0.134}, {140, 0.8}, {730, 0.272}} {
		pause := urgentPause(fleet(c.hosts, c.size), "quota-0")
		assert.Assert(t, pause >= minUrgentPeriod)
		// A third of the hosts are short of tokens at a time.
		busy := float64(c.hosts) / 3 / pause.Seconds() * report.Seconds() / c.size
		assert.Assert(t, busy <= 0.51, "%d hosts of %v: %.2f of the keeper's time", c.hosts, c.size, busy)
	}
	assert.Equal(t, urgentPause(fleet(15, 0.272), "quota-0"), minUrgentPeriod)
	assert.Equal(t, urgentPause(fleet(140, 0.8), "quota-0"), minUrgentPeriod)
	unknown := fleet(140, 0)
	assert.Assert(t, urgentPause(unknown, "quota-0") < 200*time.Millisecond)
}

// fixedClock is a clock that a test sets.
type fixedClock struct{ now time.Duration }

func (c *fixedClock) Elapsed() time.Duration { return c.now }

// accountsOf returns the accounts of a report.
func accountsOf(r *quotapb.Report) []string {
	var names []string
	for _, n := range r.GetLines() {
		names = append(names, n.GetAccount())
	}
	slices.Sort(names)
	return names
}

// TestEmptyAccountDelaysNoOther has the callers of one account ask for far more than its
// rate on a host, so that the keeper has nothing left to lend for it. The host must ask
// for it at intervals only, but at once for another account whose operation finds its
// bucket empty: an account beyond its rate must not delay the others.
func TestEmptyAccountDelaysNoOther(t *testing.T) {
	clock := &fixedClock{now: time.Hour}
	l := &Limiter{
		Duty:   &duty.Duty{Name: "quota-0"},
		Mirror: &mirror.Mirror{},
		Clock:  clock,
	}
	l.account("loud").waiting = 3
	assert.Equal(t, l.untilShort(), time.Duration(0))
	assert.DeepEqual(t, accountsOf(l.buildReport(clock.now, true)), []string{"loud"})
	l.applyGrants(clock.now, &quotapb.Grants{Grants: []*quotapb.Grant{{Account: "loud"}}})
	clock.now += time.Millisecond
	assert.Equal(t, l.untilShort(), minUrgentPeriod-time.Millisecond)
	l.account("calm").waiting = 1
	assert.Equal(t, l.untilShort(), time.Duration(0))
	assert.DeepEqual(t, accountsOf(l.buildReport(clock.now, true)), []string{"calm"})
	l.applyGrants(clock.now, &quotapb.Grants{Grants: []*quotapb.Grant{{
		Account: "calm",
		Lent:    1,
	}}})
	_, ok := l.account("calm").take(clock.now)
	assert.Assert(t, ok)
	clock.now += time.Millisecond
	assert.Equal(t, l.untilShort(), time.Duration(0), "an account that got what it asked for may ask again")
	assert.DeepEqual(t, accountsOf(l.buildReport(clock.now, true)), []string{"calm"})
	clock.now += minUrgentPeriod
	assert.DeepEqual(t, accountsOf(l.buildReport(clock.now, true)), []string{"calm", "loud"})
}
