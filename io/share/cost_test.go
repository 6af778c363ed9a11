//go:build measure

package share

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"coltsfootloft"
)

// TestCosts prints the messages and store calls of fleets of several sizes, with the
// callers of each account on a few hosts, and the memory for each account and
// database:
//
//	go test -tags measure ./io/share -run TestCosts -v
func TestCosts(t *testing.T) {
	for _, hosts := range []int{15, 30, 60} {
		for _, factor := range []float64{0.3, 0.9, 3} {
			measureTraffic(t, hosts, 1, factor)
		}
	}
	for _, times := range []float64{1, 4, 40} {
		measureTraffic(t, 15, times, 0.9)
	}
	for _, n := range []int{100, 1000} {
		measureMemory(t, n, 0)
		measureMemory(t, 0, n)
	}
}

// measureTraffic measures one fleet of three domains for 30 s.
func measureTraffic(t *testing.T, hosts int, times, factor float64) {
	synctest.Test(t, func(t *testing.T) {
		p := testPlan(120*times, 60*times, 30*times, 15*times, 10*times, 5*times)
		for i := range p.Domains {
			p.Domains[i].Seats = hosts / 3
		}
		f := newFleet(t, p, testSeed)
		f.start()
		time.Sleep(20 * time.Second)
		messages, bytes, calls := f.messages, f.bytes, f.store.calls
		loads := runWorkloads(f, factor, 30*time.Second, nil)
		per := 30 * float64(hosts)
		offered := 0
		for _, l := range loads {
			offered += l.offered
		}
		t.Logf("hosts %d, offered %.1f of the rate, %.0f statements/s: %.1f messages/s and %.0f bytes/s a host, %.2f store calls/s a host, %.4f messages a statement",
			hosts, factor, float64(offered)/30, float64(f.messages-messages)/per, float64(f.bytes-bytes)/per,
			float64(f.store.calls-calls)/per, float64(f.messages-messages)/float64(offered))
		f.stop()
	})
}

// measureMemory measures a limiter with this many accounts and databases.
func measureMemory(t *testing.T, accounts, databases int) {
	var p Limits
	p.Domains = []Domain{{Name: "d1", Seats: 5}, {Name: "d2", Seats: 5}, {Name: "d3", Seats: 5}}
	for i := range accounts {
		p.Accounts = append(p.Accounts, coltsfootloft.NewAccount(fmt.Sprintf("team/%d", i), 100, 200))
	}
	for i := range databases {
		u := coltsfootloft.NewUpstream(fmt.Sprintf("db%d", i), "d1", "127.0.0.1:1")
		p.Groups = append(p.Groups, coltsfootloft.NewGroup(fmt.Sprint(i), 35, u))
	}
	before := heapBytes()
	l := &Limiter{Clock: clockwork.NewRealClock()}
	l.Configure(p)
	for _, a := range p.Accounts {
		_ = l.Admit(context.Background(), a.Name(), 1)
	}
	t.Logf("%d accounts, %d databases: %d bytes each", accounts, databases, (heapBytes()-before)/uint64(accounts+databases))
	runtime.KeepAlive(l)
	runtime.KeepAlive(p)
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkAdmitParallel admits statements of one account on all cores.
func BenchmarkAdmitParallel(b *testing.B) {
	l := &Limiter{Clock: clockwork.NewRealClock()}
	l.Configure(solePlan(1e9, 1e9, 1))
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			_ = l.Admit(context.Background(), "team/a", 1)
		}
	})
}

// BenchmarkConnect takes and releases a right.
func BenchmarkConnect(b *testing.B) {
	l := &Limiter{Clock: clockwork.NewRealClock()}
	l.Configure(solePlan(1e9, 1e9, 10))
	b.ReportAllocs()
	for range b.N {
		release, _ := l.AcquireConnection(context.Background(), "g1")
		release()
	}
}
