package quota

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/mirror"
)

// fleet has a number of hosts, of which h0 keeps the book.
func fleet(hosts int, size float64) *mirror.View {
	v := &mirror.View{
		Hosts:  make(map[string]mirror.Presence),
		Duties: map[string]mirror.Duty{"quota-0": {Host: "h0"}},
	}
	for i := range hosts {
		v.Hosts[fmt.Sprintf("h%d", i)] = mirror.Presence{Size: size}
	}
	return v
}

// TestUrgentReportsFitTheKeeper: what all hosts may ask of a keeper at most is bounded
// by its size, and a small fleet's by the time that hosts wait in any case.
func TestUrgentReportsFitTheKeeper(t *testing.T) {
	const report = 200 * time.Microsecond // of a whole processor
	for _, c := range []struct {
		hosts int
		size  float64
	}{{15, 0.272}, {17, 0.272}, {140, 0.134}, {140, 0.8}, {730, 0.272}} {
		pause := urgentPause(fleet(c.hosts, c.size), "quota-0")
		assert.Assert(t, pause >= urgentEvery)
		// A third of the hosts are short at a time.
		busy := float64(c.hosts) / 3 / pause.Seconds() * report.Seconds() / c.size
		assert.Assert(t, busy <= 0.51, "%d hosts of %v: %.2f of the keeper's time", c.hosts, c.size, busy)
	}
	assert.Equal(t, urgentPause(fleet(15, 0.272), "quota-0"), urgentEvery)
	assert.Equal(t, urgentPause(fleet(140, 0.8), "quota-0"), urgentEvery)
	unknown := fleet(140, 0)
	assert.Assert(t, urgentPause(unknown, "quota-0") < 200*time.Millisecond)
}
