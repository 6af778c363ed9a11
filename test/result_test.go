package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// clockTicks is the number of units of processor time in /proc per second.
const clockTicks = 100

// snapshot holds the counters that are read before and after the load.
type snapshot struct {
	at         time.Time
	atReplicas float64
	atPrimary  float64
	writes     float64
	peerBytes  float64
	ackSum     float64
	ackCount   float64
	cpu        time.Duration
	memory     int
	storeCalls float64
}

// result holds the figures of one measurement. Latencies are in microseconds.
type result struct {
	Deployment      string          `json:"deployment"`
	Mix             string          `json:"mix"`
	Naive           bool            `json:"naive"`
	Fault           string          `json:"fault"`
	Seed            uint64          `json:"seed"`
	Seconds         float64         `json:"seconds"`
	Hosts           int             `json:"hosts"`
	Reads           int             `json:"reads"`
	Writes          int             `json:"writes"`
	ReplicaShare    float64         `json:"replica_share"`
	FailoverGap     float64         `json:"failover_gap_seconds"`
	WrongfulShare   float64         `json:"wrongful_share"`
	WorstServed     string          `json:"worst_served"`
	WorstShare      float64         `json:"worst_share"`
	AddedP50        int64           `json:"added_p50_us"`
	AddedP99        int64           `json:"added_p99_us"`
	AckMean         float64         `json:"ack_mean_us"`
	CPUPerStatement float64         `json:"cpu_per_statement_us"`
	StoreCalls      float64         `json:"store_calls_per_second"`
	PeerBytes       float64         `json:"peer_bytes_per_second_per_host"`
	MemoryPerHost   float64         `json:"memory_per_host_mb"`
	Accounts        []accountResult `json:"accounts"`
}

// accountResult is the part of the result for one account.
type accountResult struct {
	Name     string         `json:"name"`
	Rate     float64        `json:"rate"`
	Offered  float64        `json:"offered_per_second"`
	Done     float64        `json:"done_per_second"`
	Share    float64        `json:"share_of_entitlement"`
	P50      int64          `json:"p50_us"`
	P99      int64          `json:"p99_us"`
	Refused  int            `json:"refused"`
	Wrongful int            `json:"wrongful"`
	Failed   int            `json:"failed"`
	Codes    map[string]int `json:"codes,omitempty"`
}

// sample reads the metrics, processor time and memory of every host, and the number of
// calls to the store.
func (m *measurement) sample() snapshot {
	s := snapshot{at: time.Now()}
	for _, e := range m.fleet.hosts {
		v := scrape(e.admin)
		s.atReplicas += v[`coltsfootloft_reads_total{at="replica"}`]
		s.atPrimary += v[`coltsfootloft_reads_total{at="primary"}`]
		s.writes += v["coltsfootloft_writes_total"]
		s.ackSum += v["coltsfootloft_ack_seconds_sum"]
		s.ackCount += v["coltsfootloft_ack_seconds_count"]
		for name, x := range v {
			if strings.HasPrefix(name, "coltsfootloft_peer_sent_bytes_total") {
				s.peerBytes += x
			}
		}
		cpu, memory := processUsage(e.process.cmd.Process.Pid)
		s.cpu += cpu
		s.memory += memory
	}
	s.storeCalls = m.storeCalls()
	return s
}

func (m *measurement) storeCalls() float64 {
	c := m.storeCounts()
	return c.Reads + c.Writes + c.Watches
}

// storeCounts is the number of calls of each kind that the platform has received.
type storeCounts struct {
	Reads   float64
	Writes  float64
	Watches float64
}

func (m *measurement) storeCounts() (c storeCounts) {
	b, err := get("http://" + m.fleet.control + "/standin/counts")
	if err == nil {
		assert.NilError(m.t, json.Unmarshal(b, &c))
	}
	return c
}

func get(url string) ([]byte, error) { return getWithTimeout(url, 2*time.Second) }

func getWithTimeout(url string, timeout time.Duration) ([]byte, error) {
	c := http.Client{Timeout: timeout}
	r, err := c.Get(url)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	return io.ReadAll(r.Body)
}

// scrape reads a host's metrics. The result is empty if the host does not answer.
func scrape(admin string) map[string]float64 {
	values := make(map[string]float64)
	b, err := get("http://" + admin + "/metrics")
	if err != nil {
		return values
	}
	for line := range strings.Lines(string(b)) {
		i := strings.LastIndexByte(line, ' ')
		if i < 0 || strings.HasPrefix(line, "#") {
			continue
		}
		if x, err := strconv.ParseFloat(strings.TrimSpace(line[i:]), 64); err == nil {
			values[line[:i]] = x
		}
	}
	return values
}

// processUsage returns the processor time and resident memory, in MiB, of a process.
func processUsage(pid int) (cpu time.Duration, memory int) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	fields := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	pages, _ := strconv.Atoi(fields[21])
	return time.Duration(user+system) * time.Second / clockTicks, pages * os.Getpagesize() >> 20
}

// result computes the result from the counters before and after the load.
func (m *measurement) result(before, after snapshot) *result {
	seconds := after.at.Sub(before.at).Seconds()
	hosts := float64(len(m.fleet.hosts))
	r := &result{
		Deployment: *measureDeploy,
		Mix:        m.deployment.mix,
		Naive:      *measureNaive,
		Fault:      *measureFault,
		Seed:       *measureSeed,
		Seconds:    seconds,
		Hosts:      len(m.fleet.hosts),
		Reads:      int(after.atReplicas + after.atPrimary - before.atReplicas - before.atPrimary),
		Writes:     int(after.writes - before.writes),
		WorstShare: 1,
	}
	r.ReplicaShare = (after.atReplicas - before.atReplicas) / float64(max(1, r.Reads))
	r.AckMean = (after.ackSum - before.ackSum) / max(1, after.ackCount-before.ackCount) * 1e6
	r.CPUPerStatement = (after.cpu - before.cpu).Seconds() * 1e6 / float64(max(1, r.Reads+r.Writes))
	r.StoreCalls = (after.storeCalls - before.storeCalls) / seconds
	r.PeerBytes = (after.peerBytes - before.peerBytes) / seconds / hosts
	r.MemoryPerHost = float64(after.memory) / hosts
	r.FailoverGap = m.longestGap()
	var offered, wrongful int
	for _, name := range slices.Sorted(maps.Keys(m.accounts)) {
		a := m.accounts[name]
		x := a.result(m.length.Seconds())
		r.Accounts = append(r.Accounts, x)
		offered += a.offered
		wrongful += a.wrongfulRefusals()
		if x.Share < r.WorstShare {
			r.WorstShare, r.WorstServed = x.Share, name
		}
	}
	r.WrongfulShare = float64(wrongful) / float64(max(1, offered))
	return r
}

func (a *accountLoad) result(seconds float64) accountResult {
	x := accountResult{
		Name:     a.name,
		Rate:     a.rate,
		Offered:  float64(a.offered) / seconds,
		Done:     float64(a.done) / seconds,
		P50:      a.latency.ValueAtQuantile(50),
		P99:      a.latency.ValueAtQuantile(99),
		Refused:  a.refused,
		Wrongful: a.wrongfulRefusals(),
		Failed:   a.failed,
		Codes:    a.codes,
	}
	x.Share = x.Done / max(0.001, min(x.Offered, a.rate))
	return x
}

// longestGap returns the longest time, in seconds, between two acknowledged writes of
// the group that the fault affects.
func (m *measurement) longestGap() float64 {
	times := m.acked["g1"]
	slices.SortFunc(times, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(times); i++ {
		longest = max(longest, times[i].Sub(times[i-1]))
	}
	return longest.Seconds()
}

// measureAddedLatency measures point reads at a database directly and through a host,
// one after the other, without other load or network delay. The difference is the added
// latency.
func (m *measurement) measureAddedLatency(r *result) {
	f := m.fleet
	for d := 1; d <= m.deployment.domains; d++ {
		f.network.delay(outside, d, 0)
	}
	direct := m.timeReads("postgres://coltsfootloft@" + f.databases["g2-2"].address + "/main?sslmode=disable")
	through := m.timeReads(f.dsn(f.hosts[1], "alpha.app", "g2"))
	r.AddedP50 = through[len(through)/2] - direct[len(direct)/2]
	r.AddedP99 = through[len(through)*99/100] - direct[len(direct)*99/100]
}

// timeReads returns the sorted latencies of 1000 point reads, after 100 to warm up.
func (m *measurement) timeReads(dsn string) []int64 {
	m.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, dsn)
	assert.NilError(m.t, err)
	defer c.Close(ctx)
	times := make([]int64, 0, 1000)
	for i := range 1100 {
		started := time.Now()
		var body string
		assert.NilError(m.t, c.QueryRow(ctx, "SELECT body FROM items WHERE id = $1", i%50).Scan(&body))
		if i >= 100 {
			times = append(times, time.Since(started).Microseconds())
		}
	}
	slices.Sort(times)
	return times
}

// String formats the result as a table.
func (r *result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, mix %s, %d hosts, %.0f s, seed %d, fault %q, naive %v\n", r.Deployment, r.Mix, r.Hosts, r.Seconds, r.Seed, r.Fault, r.Naive)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "reads at replicas\t%.1f%% of %d\n", 100*r.ReplicaShare, r.Reads)
	fmt.Fprintf(w, "longest gap between acknowledged writes\t%.2f s (%d writes)\n", r.FailoverGap, r.Writes)
	fmt.Fprintf(w, "worst-served account\t%s with %.1f%% of its entitlement\n", r.WorstServed, 100*r.WorstShare)
	fmt.Fprintf(w, "wrongful refusals\t%.2f%%\n", 100*r.WrongfulShare)
	fmt.Fprintf(w, "added latency of a read\tp50 %d us, p99 %d us\n", r.AddedP50, r.AddedP99)
	fmt.Fprintf(w, "acknowledgement wait\tmean %.0f us\n", r.AckMean)
	fmt.Fprintf(w, "processor time a statement\t%.0f us\n", r.CPUPerStatement)
	fmt.Fprintf(w, "store calls\t%.1f /s\n", r.StoreCalls)
	fmt.Fprintf(w, "peer bytes\t%.0f /s a host\n", r.PeerBytes)
	fmt.Fprintf(w, "memory\t%.0f MB a host\n", r.MemoryPerHost)
	fmt.Fprintln(w, "account\trate\toffered/s\tdone/s\tshare\tp50 us\tp99 us\trefused\twrongful\tfailed")
	for _, a := range r.Accounts {
		fmt.Fprintf(w, "%s\t%.0f\t%.1f\t%.1f\t%.1f%%\t%d\t%d\t%d\t%d\t%d %v\n",
			a.Name, a.Rate, a.Offered, a.Done, 100*a.Share, a.P50, a.P99, a.Refused, a.Wrongful, a.Failed, a.Codes)
	}
	w.Flush()
	return b.String()
}
