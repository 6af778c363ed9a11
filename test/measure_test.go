package test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	measureRun     = flag.Bool("measure", false, "run the measurement in full instead of the ten-second smoke run")
	measureDeploy  = flag.String("deployment", "caroni", "caroni or quishpe")
	measureMix     = flag.String("mix", "", "bulletin or rush; the deployment's own by default")
	measureTime    = flag.Duration("for", 20*time.Second, "length of the load")
	measureFault   = flag.String("fault", "", "none, kill, freeze, cut or platform")
	measureNaive   = flag.Bool("naive", false, "everything to the primary, static parts, no loans")
	measureSeed    = flag.Uint64("seed", 20261204, "seed of the load")
	measureJSON    = flag.String("json", "", "file for the result as JSON")
	measureHosts   = flag.Int("hosts", 0, "number of hosts; the deployment's own by default")
	measureProfile = flag.String("profile", "", "file for a processor profile of one host")
	measureScale   = flag.Float64("scale", 1, "factor on every account's rate and load")
)

// deployment describes a site of the users at its current size. The delays are one
// way: between failure domains, and between callers and hosts.
type deployment struct {
	domains int
	hosts   int
	conns   int
	between time.Duration
	callers time.Duration
	writes  float64
	mix     string
}

var deployments = map[string]deployment{
	"caroni": {
		domains: 3,
		hosts:   15,
		conns:   35,
		between: time.Millisecond,
		callers: 3 * time.Millisecond,
		mix:     "bulletin",
	},
	"quishpe": {
		domains: 4,
		hosts:   16,
		conns:   80,
		between: 1500 * time.Microsecond,
		callers: time.Millisecond,
		mix:     "rush",
	},
}

// shareOfWrites is the fraction of writes in each mix.
var shareOfWrites = map[string]float64{
	"bulletin": 0.05,
	"rush":     0.6,
}

// TestMeasure measures a deployment under load. Without -measure it is a short smoke
// run that checks only that the figures are present.
func TestMeasure(t *testing.T) {
	d := deployments[*measureDeploy]
	length := 4 * time.Second
	if *measureRun {
		length = *measureTime
	} else {
		d.hosts = 4
	}
	if *measureHosts > 0 {
		d.hosts = *measureHosts
	}
	if *measureMix != "" {
		d.mix = *measureMix
	}
	d.writes = shareOfWrites[d.mix]
	m := newMeasurement(t, d, length)
	r := m.run()
	fmt.Println(r)
	if *measureJSON != "" {
		b, err := json.MarshalIndent(r, "", "  ")
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(*measureJSON, append(b, '\n'), 0o600))
	}
	assert.Assert(t, r.Reads > 0 && r.Writes > 0)
	assert.Equal(t, len(r.Accounts), len(accountRates))
	assert.Assert(t, r.AddedP50 != 0 && r.CPUPerStatement > 0)
}
