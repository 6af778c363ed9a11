package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/mirror"
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
