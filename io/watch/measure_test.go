//go:build measure

package watch

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/dbops"
	"coltsfootloft/stand/memdb"
)

// TestMeasureHeld prints the time from the return of a commit to that of AwaitMajority,
// at the host that observes the group and at one that takes its readings from
// it.
func TestMeasureHeld(t *testing.T) {
	g := startGroup(t)
	d := startDomain(t, g, 2)
	waitUntil(t, func() bool { return len(d.observers()) == 1 })
	for n, w := range d.watchers {
		h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		floor := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		for range 3000 {
			p, err := g.Commit("a", "w")
			assert.NilError(t, err)
			at := time.Now()
			go func() {
				for !g.Reading("b").Acknowledges(p) && !g.Reading("c").Acknowledges(p) {
					time.Sleep(5 * time.Microsecond)
				}
				floor.RecordValue(time.Since(at).Microseconds())
			}()
			assert.NilError(t, w.AwaitMajority(t.Context(), groupName, p))
			h.RecordValue(time.Since(at).Microseconds())
			time.Sleep(time.Millisecond)
		}
		how := "relayed"
		if n == d.firstInRank() {
			how = "direct"
		}
		t.Logf("%s: p50 %d us, p99 %d us; received by a replica after p50 %d us, p99 %d us", how,
			h.ValueAtQuantile(50), h.ValueAtQuantile(99), floor.ValueAtQuantile(50), floor.ValueAtQuantile(99))
	}
}

// TestMeasureGroups prints the cost of observing and following idle groups, by
// their number, and the cost of one busy group.
func TestMeasureGroups(t *testing.T) {
	for _, n := range []int{8, 32, 128} {
		for _, rate := range []int{0, 100, 1000} {
			if rate == 0 || n == 8 {
				measureGroups(t, n, rate)
			}
		}
	}
}

// TestMeasureSubscribers prints the cost of a failure domain with many hosts
// and one group, idle and with 100 writes a second that only the observer waits
// for.
func TestMeasureSubscribers(t *testing.T) {
	for _, hosts := range []int{2, 8, 32, 121} {
		for _, rate := range []int{0, 100} {
			measureSubscribers(t, hosts, rate)
		}
	}
}

func measureSubscribers(t *testing.T, size, rate int) {
	const duration = 3 * time.Second
	d := startDomain(t, startGroup(t), size)
	waitUntil(t, func() bool { return len(d.observers()) == 1 })
	sent := func() (calls, bytes int) {
		for _, h := range d.links {
			c, b := h.Sent()
			calls, bytes = calls+c, bytes+b
		}
		return calls, bytes
	}
	calls, bytes := sent()
	busy, begin := cpuTime(), time.Now()
	for i := 0; time.Since(begin) < duration; i++ {
		if rate == 0 {
			time.Sleep(duration)
			continue
		}
		p, err := d.group.Commit("a", "w")
		assert.NilError(t, err)
		assert.NilError(t, d.watchers[d.firstInRank()].AwaitMajority(t.Context(), groupName, p))
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(rate))))
	}
	took := time.Since(begin).Seconds()
	cpu := (cpuTime() - busy).Seconds() / took
	c, b := sent()
	n := float64(size - 1)
	t.Logf("%d hosts, one group, %d writes/s: each subscriber %.1f polls/s, %.0f B/s both ways; all hosts and databases %.2f%% of a core",
		size, rate, float64(c-calls)/took/n, float64(b-bytes)/took/n, 100*cpu)
	for _, s := range d.stops {
		s()
	}
}

// measureGroups runs two hosts with n groups and writes to the first group
// through the second host, at the given rate in statements a second.
func measureGroups(t *testing.T, n, rate int) {
	const duration = 4 * time.Second
	databases := make(map[string]*memdb.Group, n)
	var groups []coltsfootloft.Group
	for i := range n {
		var u []coltsfootloft.Upstream
		for _, d := range names {
			name := fmt.Sprint("g", i, "-", d)
			u = append(u, coltsfootloft.NewUpstream(name, "d0", "127.0.0.1:1"))
			databases[name] = nil
		}
		g := memdb.New(u[0].Name(), u[1].Name(), u[2].Name())
		g.Start(coltsfootloft.NewTerm(1, "first"))
		for _, d := range u {
			for g.Receive(d.Name()) {
				continue
			}
			g.Apply(d.Name())
			databases[d.Name()] = g
		}
		groups = append(groups, coltsfootloft.NewGroup(fmt.Sprint("g", i), 35, u...))
	}
	baseline := heap()
	calls := &atomic.Int64{}
	hosts := memdb.NewHosts(memdb.New())
	var watchers []*Watcher
	var links []*memdb.Host
	for i, host := range []string{"observer", "subscriber"} {
		h := hosts.Add(host, "d0")
		w := &Watcher{
			Self:  h.Self(),
			Peers: h,
			Open: func(u coltsfootloft.Upstream) coltsfootloft.Database {
				return &countedDatabase{
					Database: databases[u.Name()].Open(host, u.Name()),
					calls:    calls,
				}
			},
		}
		if i == 1 {
			w.Members = &observerOnly{Host: h}
		}
		w.Register()
		w.Configure(groups)
		watchers, links = append(watchers, w), append(links, h)
	}
	stop := make([]func(), 0, 2)
	sizes := []uint64{baseline}
	for _, w := range watchers {
		stop = append(stop, run(w))
		waitUntil(t, func() bool {
			for _, g := range groups {
				if len(w.Readings(g.Name())) < len(names) {
					return false
				}
			}
			return true
		})
		time.Sleep(200 * time.Millisecond)
		sizes = append(sizes, heap())
	}
	asked, busy := calls.Load(), cpuTime()
	sent, bytes := links[1].Sent()
	begin := time.Now()
	for i := 0; time.Since(begin) < duration; i++ {
		if rate == 0 {
			time.Sleep(duration)
			continue
		}
		first := groups[0].Upstreams()
		g := databases[first[0].Name()]
		p, err := g.Commit(first[0].Name(), "w")
		assert.NilError(t, err)
		for _, d := range first[1:] {
			g.Receive(d.Name())
			g.Apply(d.Name())
		}
		assert.NilError(t, watchers[1].AwaitMajority(t.Context(), groups[0].Name(), p))
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Second / time.Duration(rate))))
	}
	took := time.Since(begin).Seconds()
	cpu := (cpuTime() - busy).Seconds() / took
	more, all := links[1].Sent()
	each := func(i int) float64 { return (float64(sizes[i+1]) - float64(sizes[i])) / 1024 / float64(n) }
	t.Logf("%d groups, %d writes/s in one: observer %.0f database calls/s, %.1f KB a group; "+
		"subscriber %.1f polls/s, %.0f B/s both ways, %.1f KB a group; both hosts and databases %.2f%% of a core",
		n, rate, float64(calls.Load()-asked)/took, each(0),
		float64(more-sent)/took, float64(all-bytes)/took, each(1), 100*cpu)
	for _, s := range stop {
		s()
	}
}

// countedDatabase counts the calls of a database.
type countedDatabase struct {
	coltsfootloft.Database
	calls *atomic.Int64
}

// Status counts one call.
func (c *countedDatabase) Status(ctx context.Context) (coltsfootloft.Reading, error) {
	c.calls.Add(1)
	return c.Database.Status(ctx)
}

// Await counts one call.
func (c *countedDatabase) Await(ctx context.Context, seen uint64) (coltsfootloft.Reading, error) {
	c.calls.Add(1)
	return c.Database.Await(ctx, seen)
}

// observerOnly is a view of the fleet in which the observer is the only live
// host.
type observerOnly struct {
	*memdb.Host
}

// Alive returns the observer.
func (*observerOnly) Alive() []coltsfootloft.HostRecord {
	return []coltsfootloft.HostRecord{coltsfootloft.NewHost("observer", "d0", "127.0.0.1:1")}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func cpuTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// TestMeasureDatabaseBytes prints the traffic that the observation of one idle
// group causes.
func TestMeasureDatabaseBytes(t *testing.T) {
	const duration = 4 * time.Second
	g := startStandIns(t)
	bytes, calls := &atomic.Int64{}, &atomic.Int64{}
	w := &Watcher{
		Open: func(u coltsfootloft.Upstream) coltsfootloft.Database {
			return &countedDatabase{
				calls: calls,
				Database: &dbops.Database{
					Address: u.Address(),
					Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
						c, err := (&net.Dialer{}).DialContext(ctx, network, address)
						return &meteredConn{
							Conn:  c,
							bytes: bytes,
						}, err
					},
				},
			}
		},
	}
	w.Configure([]coltsfootloft.Group{g})
	t.Cleanup(run(w))
	waitUntil(t, func() bool { return len(w.Readings(groupName)) == len(names) })
	time.Sleep(time.Second)
	b, c := bytes.Load(), calls.Load()
	busy := cpuTime()
	time.Sleep(duration)
	took := duration.Seconds()
	t.Logf("one idle group: %.1f calls/s, %.0f B/s both ways without TCP, %.0f B a call; host and databases %.2f%% of a core",
		float64(calls.Load()-c)/took, float64(bytes.Load()-b)/took, float64(bytes.Load()-b)/float64(calls.Load()-c),
		100*(cpuTime()-busy).Seconds()/took)
}
