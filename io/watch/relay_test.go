package watch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/rank"
	"coltsfootloft/io/watch/watchpb"
	"coltsfootloft/stand/memdb"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// domain is one failure domain with several hosts that serve one group.
type domain struct {
	group    *memdb.Group
	hosts    *memdb.Hosts
	links    map[string]*memdb.Host
	watchers map[string]*Watcher
	stops    map[string]func()
}

func startDomain(t testing.TB, g *memdb.Group, size int) *domain {
	d := &domain{
		group:    g,
		hosts:    memdb.NewHosts(g),
		links:    make(map[string]*memdb.Host),
		watchers: make(map[string]*Watcher),
		stops:    make(map[string]func()),
	}
	for i := range size {
		name := fmt.Sprintf("h%d", i)
		h := d.hosts.Add(name, "d0")
		w := &Watcher{
			Self:    h.Self(),
			Members: h,
			Peers:   h,
			Open:    func(u coltsfootloft.Upstream) coltsfootloft.Database { return g.Open(name, u.Name()) },
		}
		w.Register()
		w.Configure([]coltsfootloft.Group{settings()})
		d.links[name], d.watchers[name] = h, w
	}
	for n, w := range d.watchers {
		d.stops[n] = run(w)
		t.Cleanup(d.stops[n])
	}
	for _, w := range d.watchers {
		d.awaitReadings(t, w)
	}
	return d
}

// run starts a watcher and returns a function that stops it.
func run(w *Watcher) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	return sync.OnceFunc(func() {
		cancel()
		<-done
	})
}

func (*domain) awaitReadings(t testing.TB, w *Watcher) {
	waitUntil(t, func() bool { return len(w.Readings(groupName)) == len(names) })
}

func waitUntil(t testing.TB, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !f(); {
		if time.Now().After(deadline) {
			t.Fatal("condition not reached in time")
		}
		time.Sleep(time.Millisecond)
	}
}

// observers returns the hosts that observe the group themselves.
func (d *domain) observers() []string {
	var all []string
	for n, w := range d.watchers {
		g := w.group(groupName)
		g.mu.Lock()
		if g.observer.host == "" {
			all = append(all, n)
		}
		g.mu.Unlock()
	}
	return all
}

func (d *domain) firstInRank() string {
	var all []string
	for n := range d.watchers {
		all = append(all, n)
	}
	return rank.Order("watch/"+groupName, all)[0]
}

func TestOneHostObservesForItsDomain(t *testing.T) {
	d := startDomain(t, startGroup(t), 5)
	waitUntil(t, func() bool { return len(d.observers()) == 1 })
	assert.Equal(t, d.observers()[0], d.firstInRank())
	for n, w := range d.watchers {
		p, err := d.group.Commit("a", n)
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		assert.NilError(t, w.AwaitMajority(ctx, groupName, p))
		b, err := w.Barrier(ctx, groupName)
		cancel()
		assert.NilError(t, err)
		assert.Assert(t, b.Covers(p))
		waitUntil(t, func() bool {
			age, ok := w.Age(groupName, "b")
			return ok && age < time.Second
		})
	}
}

// TestObserverIsReplaced lets the observer die, or stop answering, while
// callers wait: another host must take over in time.
func TestObserverIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(d *domain, host string)
	}{
		{"dead", func(d *domain, host string) { d.hosts.Remove(host) }},
		{"silent", func(d *domain, host string) {
			for n := range d.watchers {
				if n != host {
					d.group.Cut(host, n)
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := startDomain(t, startGroup(t), 3)
			waitUntil(t, func() bool { return len(d.observers()) == 1 })
			dead := d.firstInRank()
			c.fault(d, dead)
			at := time.Now()
			for n, w := range d.watchers {
				if n == dead {
					continue
				}
				p, err := d.group.Commit("a", n)
				assert.NilError(t, err)
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				assert.NilError(t, w.AwaitMajority(ctx, groupName, p))
				_, err = w.Barrier(ctx, groupName)
				cancel()
				assert.NilError(t, err)
			}
			t.Logf("held and barriers answered %v after the fault", time.Since(at))
			assert.Assert(t, time.Since(at) < 1500*time.Millisecond)
		})
	}
}

// TestObserverRestarts restarts the observer. The new process knows neither the
// sets of groups that other hosts poll nor their sequence numbers.
func TestObserverRestarts(t *testing.T) {
	d := startDomain(t, startGroup(t), 2)
	waitUntil(t, func() bool { return len(d.observers()) == 1 })
	host := d.firstInRank()
	d.stops[host]()
	again := &Watcher{
		Self:    d.links[host].Self(),
		Members: d.links[host],
		Peers:   d.links[host],
		Open:    d.watchers[host].Open,
	}
	again.Register()
	again.Configure([]coltsfootloft.Group{settings()})
	t.Cleanup(run(again))
	for n, w := range d.watchers {
		if n == host {
			continue
		}
		for i := range 20 {
			p, err := d.group.Commit("a", fmt.Sprint(n, i))
			assert.NilError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			assert.NilError(t, w.AwaitMajority(ctx, groupName, p))
			cancel()
		}
		p := d.group.Reading("c").Applied()
		waitUntil(t, func() bool { return w.Readings(groupName)["c"].Applied().Covers(p) })
		waitUntil(t, func() bool {
			silence, ok := w.SilentFor(groupName, "a")
			age, known := w.Age(groupName, "c")
			return ok && silence < time.Second && known && age < time.Second
		})
	}
}

// slowPeers passes calls to another watcher and returns each answer after a
// latency.
type slowPeers struct {
	clock   *clockwork.FakeClock
	to      *Watcher
	latency time.Duration
}

func (s *slowPeers) Call(ctx context.Context, _, _ string, body []byte) ([]byte, error) {
	answer, err := s.to.answer(ctx, "other", body)
	s.clock.Advance(s.latency)
	return answer, err
}

func (*slowPeers) Register(string, coltsfootloft.Handler) {}

// TestRelayedAgeIncludesLatency guards against readings that seem too new
// because their update took long to arrive.
func TestRelayedAgeIncludesLatency(t *testing.T) {
	const latency = 3 * time.Second
	clock := clockwork.NewFakeClock()
	observer := &Watcher{
		Clock: clock,
	}
	other := &Watcher{
		Clock: clock,
		Peers: &slowPeers{
			clock:   clock,
			to:      observer,
			latency: latency,
		},
	}
	for _, w := range []*Watcher{observer, other} {
		w.Configure([]coltsfootloft.Group{settings()})
	}
	g := memdb.New(names...)
	g.Start(coltsfootloft.NewTerm(1, "first"))
	for _, n := range names {
		for g.Receive(n) {
			continue
		}
		g.Apply(n)
		observer.group(groupName).apply(n, clock.Now().Add(-time.Second), clock.Now(), g.Reading(n))
	}
	other.group(groupName).follow("observer")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	_, err := other.pollHost(ctx, "observer", []*group{other.group(groupName)}, &watchpb.Poll{
		Groups:    []string{groupName},
		WaitNanos: int64(urgentWait),
	})
	assert.NilError(t, err)
	age, ok := other.Age(groupName, "b")
	assert.Assert(t, ok)
	assert.Assert(t, age >= latency+time.Second, "age %v", age)
	silence, ok := other.SilentFor(groupName, "b")
	assert.Assert(t, ok && silence >= latency)
}

// TestBarrierCoversAcknowledged requests barriers at every host while others
// write, through the observer and around its loss.
func TestBarrierCoversAcknowledged(t *testing.T) {
	d := startDomain(t, startGroup(t), 3)
	var mu sync.Mutex
	var acked coltsfootloft.Position
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	for _, w := range d.watchers {
		wait.Go(func() {
			for ctx.Err() == nil {
				p, err := d.group.Commit("a", "w")
				assert.Check(t, err)
				if w.AwaitMajority(ctx, groupName, p) != nil {
					continue
				}
				mu.Lock()
				if !acked.Covers(p) {
					acked = p
				}
				mu.Unlock()
			}
		})
	}
	barriers := make([]int, len(d.watchers))
	for i := range barriers {
		w := d.watchers[fmt.Sprintf("h%d", i)]
		wait.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				before := acked
				mu.Unlock()
				p, err := w.Barrier(ctx, groupName)
				if err != nil {
					continue
				}
				barriers[i]++
				assert.Check(t, p.Covers(before))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	d.hosts.Remove(d.firstInRank())
	time.Sleep(700 * time.Millisecond)
	cancel()
	wait.Wait()
	t.Logf("barriers %v, acknowledged up to %v", barriers, acked)
	for _, n := range barriers {
		assert.Assert(t, n > 0)
	}
}
