package member

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/store"
	"coltsfootloft/stand/consul"
	"coltsfootloft/stand/mesh"
)

var (
	// naive makes views trust the platform's list alone, without heartbeats.
	naive = flag.Bool("naive", false, "trust the platform's list alone")
	// measure adds the larger fleets to TestHeartbeatLoad.
	measure = flag.Bool("measure", false, "measure larger fleets")
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fleet is a set of hosts on a simulated network with one platform.
type fleet struct {
	t     *testing.T
	mesh  *mesh.Mesh
	store *store.Consul
	views map[string]*View
	ports map[string]*mesh.Port
	stops map[string]func()
}

func newFleet(t *testing.T, s *consul.Server) *fleet {
	t.Helper()
	f := &fleet{
		t:     t,
		mesh:  &mesh.Mesh{Delay: time.Millisecond},
		views: make(map[string]*View),
		ports: make(map[string]*mesh.Port),
		stops: make(map[string]func()),
	}
	if s != nil {
		s.Listen = "127.0.0.1:0"
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		f.store = &store.Consul{Addresses: []string{s.Addr()}}
		t.Cleanup(func() {
			f.store.Close()
			stop()
			assert.NilError(t, <-done)
		})
	}
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
	})
	return f
}

func record(i, domains int) coltsfootloft.HostRecord {
	return coltsfootloft.NewHost(fmt.Sprintf("h%03d", i), fmt.Sprintf("d%d", i%domains), fmt.Sprintf("10.0.0.1:%d", i+1))
}

func (f *fleet) start(h coltsfootloft.HostRecord, bootstrap ...coltsfootloft.HostRecord) {
	v := &View{
		Host:      h,
		Bootstrap: bootstrap,
		Revision:  func() uint64 { return 7 },
	}
	if f.store != nil {
		v.Store = f.store
	}
	p := f.mesh.Join(h.Name(), h.Domain())
	v.Peers = p
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		if !*naive {
			_ = v.Run(ctx)
			return
		}
		v.prepare()
		v.runListPolls(ctx)
	})
	f.views[h.Name()] = v
	f.ports[h.Name()] = p
	f.stops[h.Name()] = func() {
		cancel()
		group.Wait()
	}
}

// kill removes a host from the network without notice.
func (f *fleet) kill(name string) {
	f.mesh.Leave(name)
	f.stops[name]()
	delete(f.views, name)
	delete(f.stops, name)
}

// await returns the time until ok holds on every host.
func (f *fleet) await(label string, limit time.Duration, ok func(v *View) bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for {
		behind := 0
		for _, v := range f.views {
			if !ok(v) {
				behind++
			}
		}
		took := time.Since(began)
		if behind == 0 {
			f.t.Logf("%s: %d hosts after %v", label, len(f.views), took.Round(time.Millisecond))
			return took
		}
		if took > limit {
			f.t.Fatalf("%s: %d of %d hosts not after %v", label, behind, len(f.views), limit)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func seesHosts(n int) func(v *View) bool {
	return func(v *View) bool { return len(v.Alive()) == n }
}

func TestLeavingUpstreamIsKnownEverywhereThoughTheListLags(t *testing.T) {
	t.Parallel()
	s := &consul.Server{}
	f := newFleet(t, s)
	u := coltsfootloft.NewHost("u", "d0", "10.0.0.9:1").AsUpstream()
	s.Register(u)
	for i := range 15 {
		s.Register(record(i, 3))
	}
	for i := range 15 {
		f.start(record(i, 3))
	}
	f.await("joined", 5*time.Second, seesHosts(15))
	s.SetFaults(consul.Faults{ListLag: time.Minute})
	s.Register(u.AsLeaving())
	f.views["h004"].Announce(u)
	f.await("upstream leaves", 3*time.Second, func(v *View) bool { return v.Leaving("u") })
	time.Sleep(1500 * time.Millisecond)
	f.await("upstream still leaves", time.Second, func(v *View) bool { return v.Leaving("u") })
}

func TestListedLeavingReachesHostsCutFromThePlatform(t *testing.T) {
	t.Parallel()
	s := &consul.Server{}
	f := newFleet(t, s)
	u := coltsfootloft.NewHost("u", "d0", "10.0.0.9:1").AsUpstream()
	s.Register(u)
	for i := range 9 {
		s.Register(record(i, 3))
	}
	all := f.store
	for i := range 9 {
		f.store = all
		if i%3 != 0 {
			f.store = &store.Consul{Addresses: []string{"127.0.0.1:1"}}
		}
		f.start(record(i, 3), record(0, 3), record(3, 3))
	}
	f.store = all
	f.await("joined", 5*time.Second, seesHosts(9))
	s.Register(u.AsLeaving())
	f.await("upstream leaves", 3*time.Second, func(v *View) bool { return v.Leaving("u") })
}

func TestHostsDieJoinAndArePartitioned(t *testing.T) {
	t.Parallel()
	f := newFleet(t, nil)
	var all []coltsfootloft.HostRecord
	for i := range 15 {
		all = append(all, record(i, 3))
	}
	for _, h := range all {
		f.start(h, all...)
	}
	f.await("joined with the platform down", 5*time.Second, seesHosts(15))
	f.kill("h005")
	f.await("one dead", 8*time.Second, seesHosts(14))
	f.start(record(15, 3), all[:3]...)
	f.await("one new", 3*time.Second, seesHosts(15))
	f.mesh.Cut("d0", "d1")
	f.mesh.Cut("d0", "d2")
	time.Sleep(4500 * time.Millisecond)
	for n, v := range f.views {
		// Of the 15 hosts 6 are in d0, one more than in d1 has a neighbour.
		want := map[string]int{"d0": 6, "d1": 9, "d2": 9}[v.Host.Domain()]
		assert.Check(t, len(v.Alive()) >= want && len(v.Alive()) <= want+1,
			"%s in %s holds %d hosts live, not %d", n, v.Host.Domain(), len(v.Alive()), want)
	}
	f.mesh.Heal("d0", "d1")
	f.mesh.Heal("d0", "d2")
	f.await("healed", 8*time.Second, seesHosts(15))
	f.views["h001"].Leave()
	f.await("one leaves", 3*time.Second, func(v *View) bool {
		return slices.ContainsFunc(v.Alive(), func(h coltsfootloft.HostRecord) bool {
			return h.Name() == "h001" && h.Leaving()
		})
	})
	got := f.views["h002"].Revisions(t.Context())
	assert.Equal(t, len(got), 15)
	assert.Equal(t, got["h015"], uint64(7))
}

// TestHeartbeatLoad measures the load of heartbeats on each host.
func TestHeartbeatLoad(t *testing.T) {
	t.Parallel()
	sizes, rounds := []int{15}, 0
	if *measure {
		rounds = 15
		sizes = append(sizes, 60, 120)
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, nil)
			var all []coltsfootloft.HostRecord
			for i := range n {
				all = append(all, record(i, 3))
			}
			for _, h := range all {
				f.start(h, all...)
			}
			f.await("joined", 5*time.Second, seesHosts(n))
			// Wait until the claims of the start have spread; only then is the
			// load steady.
			time.Sleep(3 * time.Second)
			c := f.measureLoad(3500 * time.Millisecond)
			for range rounds {
				last := c
				if c = f.measureLoad(3500 * time.Millisecond); c.bytes > last.bytes*0.98 {
					break
				}
			}
			t.Logf("%d hosts: %.1f messages/s and %.0f B/s a host, %.0f B/s at most", n, c.messages, c.bytes, c.maxBytes)
			assert.Assert(t, c.bytes < 2048)
			assert.Assert(t, c.messages < 15)
		})
	}
}

// load is the traffic that a host sends in a second.
type load struct {
	messages float64
	bytes    float64
	maxBytes float64
}

// measureLoad returns the mean over all hosts, and the greatest traffic of any
// host.
func (f *fleet) measureLoad(span time.Duration) load {
	before := make(map[string]mesh.Count)
	for name, p := range f.ports {
		before[name] = p.Sent(Duty)
	}
	time.Sleep(span)
	var l load
	for name, p := range f.ports {
		c := p.Sent(Duty)
		b := float64(c.Bytes-before[name].Bytes) / span.Seconds()
		l.messages += float64(c.Messages-before[name].Messages) / span.Seconds() / float64(len(f.ports))
		l.bytes += b / float64(len(f.ports))
		l.maxBytes = max(l.maxBytes, b)
	}
	return l
}
