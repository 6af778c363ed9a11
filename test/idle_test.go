package test

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// TestIdleCost prints the processor time, memory, peer bytes and store calls of hosts
// without callers. It is part of the measurement and runs with -measure.
func TestIdleCost(t *testing.T) {
	if !*measureRun {
		return
	}
	d := deployments[*measureDeploy]
	if *measureHosts > 0 {
		d.hosts = *measureHosts
	}
	m := newMeasurement(t, d, *measureTime)
	time.Sleep(5 * time.Second)
	before := m.sample()
	if *measureProfile != "" {
		url := fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", m.fleet.hosts[0].admin, int(measureTime.Seconds()))
		b, err := getWithTimeout(url, *measureTime+10*time.Second)
		if err == nil {
			_ = os.WriteFile(*measureProfile, b, 0o600)
		}
	} else {
		time.Sleep(*measureTime)
	}
	after := m.sample()
	seconds := after.at.Sub(before.at).Seconds()
	hosts := float64(len(m.fleet.hosts))
	fmt.Printf("idle, %d hosts, %.0f s: %.2f%% of a core, %.0f peer bytes/s, %.1f MB a host; %.1f store calls/s in all\n",
		len(m.fleet.hosts), seconds, 100*(after.cpu-before.cpu).Seconds()/seconds/hosts,
		(after.peerBytes-before.peerBytes)/seconds/hosts, float64(after.memory)/hosts, (after.storeCalls-before.storeCalls)/seconds)
}
