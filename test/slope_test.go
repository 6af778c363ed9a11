package test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// connectParallelism is how many sessions are opened or used concurrently.
const connectParallelism = 16

// footprint is what one host uses at a given number of sessions. Memory is in KiB.
type footprint struct {
	resident   int
	heap       float64
	stacks     float64
	goroutines float64
}

// footprintOf reads the footprint of a host after a garbage collection.
func footprintOf(e *entry) footprint {
	// gc=1 runs a garbage collection first.
	_, _ = getWithTimeout("http://"+e.admin+"/debug/pprof/heap?gc=1", time.Minute)
	v := scrape(e.admin)
	return footprint{
		resident:   resident(e.process.cmd.Process.Pid),
		heap:       v["go_memstats_heap_alloc_bytes"] / 1024,
		stacks:     v["go_memstats_stack_inuse_bytes"] / 1024,
		goroutines: v["go_goroutines"],
	}
}

// resident returns the resident memory of a process in KiB.
func resident(pid int) int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// loadAverage returns the machine's load and number of cores, for the log.
func loadAverage() string {
	b, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := bytes.Cut(b, []byte{' '})
	return fmt.Sprintf("load %s on %d cores", first, runtime.NumCPU())
}

// TestIdleSessions prints the cost of idle sessions on one host: memory before and after
// each has run a statement, processor time over 10 s, and resident memory while
// statements produce garbage. It is part of the measurement and runs with -measure;
// -profile writes a heap profile at the end.
func TestIdleSessions(t *testing.T) {
	if !*measureRun {
		return
	}
	f := newFleet(t, layout{
		domains:  1,
		hosts:    1,
		groups:   1,
		settings: map[string]string{"teams/alpha/accounts/main": `{"rate": "100000/s", "burst": 100000}`},
	})
	e := f.hosts[0]
	time.Sleep(2 * time.Second)
	var all []*pgx.Conn
	for _, n := range []int{0, 500, 1000, 2000, 4000} {
		all = append(all, f.connectMany(e, n-len(all))...)
		f.printIdle(e, n, "no statement yet")
	}
	read := func(c *pgx.Conn) {
		var one int
		assert.Check(t, c.QueryRow(context.Background(), "SELECT 1").Scan(&one))
	}
	forEachSession(all, read)
	f.printIdle(e, len(all), "after one statement each")
	for range 15 {
		forEachSession(all, read)
		fmt.Printf("%d KB ", resident(e.process.cmd.Process.Pid))
	}
	fmt.Println("resident while each runs further statements")
	f.printIdle(e, len(all), "after these")
	if *measureProfile != "" {
		b, err := getWithTimeout("http://"+e.admin+"/debug/pprof/heap?gc=1", time.Minute)
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(*measureProfile, b, 0o600))
	}
}

// printIdle prints the footprint and the processor time of a host with idle sessions.
func (f *fleet) printIdle(e *entry, sessions int, state string) {
	const span = 10 * time.Second
	p := footprintOf(e)
	before, _ := processUsage(e.process.cmd.Process.Pid)
	time.Sleep(span)
	after, _ := processUsage(e.process.cmd.Process.Pid)
	fmt.Printf("%d sessions, %s: resident %d KB, heap %.0f KB, stacks %.0f KB, %.0f goroutines, %.2f%% of a core (%s)\n",
		sessions, state, p.resident, p.heap, p.stacks, p.goroutines, 100*(after-before).Seconds()/span.Seconds(), loadAverage())
}

// connectMany opens n sessions on a host.
func (f *fleet) connectMany(e *entry, n int) []*pgx.Conn {
	all := make([]*pgx.Conn, n)
	var opening sync.WaitGroup
	for w := range connectParallelism {
		opening.Go(func() {
			for i := w; i < n; i += connectParallelism {
				c, err := pgx.Connect(context.Background(), f.dsn(e, "alpha.app", "g1"))
				assert.Check(f.t, err)
				all[i] = c
			}
		})
	}
	opening.Wait()
	f.t.Cleanup(func() { forEachSession(all, func(c *pgx.Conn) { c.Close(context.Background()) }) })
	return all
}

// forEachSession calls do for every session, connectParallelism at a time.
func forEachSession(all []*pgx.Conn, do func(c *pgx.Conn)) {
	var running sync.WaitGroup
	for w := range connectParallelism {
		running.Go(func() {
			for i := w; i < len(all); i += connectParallelism {
				do(all[i])
			}
		})
	}
	running.Wait()
}

// idleFleet is the size of a fleet that TestIdleSlopes measures.
type idleFleet struct {
	hosts, groups, accounts int
}

// TestIdleSlopes prints the cost of a host without callers for different numbers of
// hosts, of groups of three databases and of accounts. It is part of the measurement
// and runs with -measure.
func TestIdleSlopes(t *testing.T) {
	if !*measureRun {
		return
	}
	for _, p := range []idleFleet{
		{hosts: 3, groups: 3, accounts: 1},
		{hosts: 6, groups: 3, accounts: 1},
		{hosts: 12, groups: 3, accounts: 1},
		{hosts: 24, groups: 3, accounts: 1},
		{hosts: 6, groups: 1, accounts: 1},
		{hosts: 6, groups: 6, accounts: 1},
		{hosts: 6, groups: 12, accounts: 1},
		{hosts: 6, groups: 3, accounts: 300},
		{hosts: 6, groups: 3, accounts: 1000},
	} {
		t.Run(fmt.Sprint(p), func(t *testing.T) { p.printCost(t) })
	}
}

// accountNames returns the names of all accounts but the first.
func (p idleFleet) accountNames() []string {
	var all []string
	for i := range p.accounts - 1 {
		all = append(all, fmt.Sprintf("a%04d", i))
	}
	return all
}

// printCost runs an idle fleet of this size and prints its cost.
func (p idleFleet) printCost(t *testing.T) {
	const span = 12 * time.Second
	m := &measurement{t: t}
	m.fleet = newFleet(t, layout{
		domains: 3,
		hosts:   p.hosts,
		groups:  p.groups,
	})
	// A change has at most change.MaxPaths paths.
	for accounts := range slices.Chunk(p.accountNames(), 50) {
		all := make(map[string]string)
		for _, name := range accounts {
			all["teams/alpha/accounts/"+name] = `{"rate": "100/s", "burst": 200}`
		}
		m.fleet.apply(all)
	}
	time.Sleep(6 * time.Second)
	before, calls := m.sample(), m.storeCounts()
	time.Sleep(span)
	after, callsAfter := m.sample(), m.storeCounts()
	seconds := after.at.Sub(before.at).Seconds()
	hosts := float64(p.hosts)
	fmt.Printf("%d hosts, %d groups, %d accounts: %.2f%% of a core, %.0f peer bytes/s, %.1f MB resident a host; "+
		"store %.1f reads/s, %.1f writes/s, %.1f watches/s in all (%s)\n",
		p.hosts, p.groups, p.accounts, 100*(after.cpu-before.cpu).Seconds()/seconds/hosts,
		(after.peerBytes-before.peerBytes)/seconds/hosts, float64(after.memory)/hosts,
		(callsAfter.Reads-calls.Reads)/seconds, (callsAfter.Writes-calls.Writes)/seconds,
		(callsAfter.Watches-calls.Watches)/seconds, loadAverage())
	fmt.Printf("  one listing of all settings %d bytes, of all seats %d bytes\n",
		m.listingBytes("coltsfootloft/settings/"), m.listingBytes("coltsfootloft/seats/"))
}

// listingBytes returns the size of the platform's answer that lists all keys below a
// prefix.
func (m *measurement) listingBytes(prefix string) int {
	b, err := get(m.fleet.store.Addresses[0] + "/v1/kv/" + prefix + "?recurse=")
	assert.NilError(m.t, err)
	return len(b)
}
