package share

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/fair"
)

const (
	// Each host has slotsOfHost connections, which a statement occupies for
	// serviceTime: 100 statements a second on each host.
	slotsOfHost = 2
	serviceTime = 20 * time.Millisecond
)

// server models the connections of one host, for which statements wait in a fair queue.
type server struct {
	mutex sync.Mutex
	queue fair.Queue[chan struct{}]
	free  int
}

// serve runs one statement and reports false if the queue is full.
func (s *server) serve(account string) bool {
	s.mutex.Lock()
	if s.free > 0 {
		s.free--
		s.mutex.Unlock()
	} else {
		ready := make(chan struct{})
		_, ok := s.queue.Push(account, 1, ready)
		s.mutex.Unlock()
		if !ok {
			return false
		}
		<-ready
	}
	time.Sleep(serviceTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if next, _, ok := s.queue.Pop(); ok {
		close(next)
	} else {
		s.free++
	}
	return true
}

// accountCallers models the callers of one account and records their latencies.
type accountCallers struct {
	account  coltsfootloft.Account
	factor   float64
	mutex    sync.Mutex
	latency  []time.Duration
	throttle bool
}

func (c *accountCallers) run(f *fleet, servers map[string]*server, seed uint64, d time.Duration) {
	random := rand.New(rand.NewPCG(seed, 4))
	names := f.names()
	end := time.Now().Add(d)
	var all sync.WaitGroup
	for time.Now().Before(end) {
		gap := random.ExpFloat64() / (c.account.Rate() * c.factor)
		time.Sleep(time.Duration(gap * float64(time.Second)))
		name := names[random.IntN(len(names))]
		all.Go(func() { c.one(f.node(name), servers[name]) })
	}
	all.Wait()
}

func (c *accountCallers) one(n *node, s *server) {
	start := time.Now()
	queue := c.account.Name()
	if !c.throttle {
		queue = "all"
	} else if n.limiter.Admit(context.Background(), c.account.Name(), 1) != nil {
		return
	}
	if !s.serve(queue) {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.latency = append(c.latency, time.Since(start))
}

func (c *accountCallers) p99() time.Duration {
	slices.Sort(c.latency)
	return c.latency[len(c.latency)*99/100]
}

// runAccounts runs all accounts but the first at 80% of their rates. The first runs
// at five times its rate if loud is set, and not at all otherwise. With throttle
// statements pass the limiter and fair queues, without it neither.
func runAccounts(t *testing.T, loud, throttle bool) []*accountCallers {
	var all []*accountCallers
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, testPlan(300, 200, 100, 60, 40, 20), testSeed)
		f.start()
		time.Sleep(20 * time.Second)
		servers := map[string]*server{}
		for _, name := range f.names() {
			servers[name] = &server{free: slotsOfHost}
		}
		var running sync.WaitGroup
		for i, a := range f.limits.Accounts {
			c := &accountCallers{
				account:  a,
				factor:   0.8,
				throttle: throttle,
			}
			all = append(all, c)
			if i == 0 {
				c.factor = 5
				if !loud {
					continue
				}
			}
			running.Go(func() { c.run(f, servers, uint64(i), 20*time.Second) })
		}
		running.Wait()
		f.stop()
	})
	return all
}

// compareWithNoisy compares the other accounts with and without the load of the first one
// and returns the worst ratios of throughput and of the 99th percentile of latency.
func compareWithNoisy(t *testing.T, throttle bool) (throughput, p99 float64) {
	alone := runAccounts(t, false, throttle)
	beside := runAccounts(t, true, throttle)
	throughput = 1
	for i := 1; i < len(alone); i++ {
		a, b := alone[i], beside[i]
		share := float64(len(b.latency)) / float64(len(a.latency))
		ratio := b.p99().Seconds() / a.p99().Seconds()
		t.Logf("%s throttled %v: served %d beside %d alone (%.3f), p99 %v beside %v (%.2f times)",
			a.account.Name(), throttle, len(b.latency), len(a.latency), share, b.p99(), a.p99(), ratio)
		throughput = min(throughput, share)
		p99 = max(p99, ratio)
	}
	return throughput, p99
}

// TestLoudAccountDoesNotCrowdOutOthers has one account send five times its rate.
func TestLoudAccountDoesNotCrowdOutOthers(t *testing.T) {
	t.Parallel()
	throughput, p99 := compareWithNoisy(t, true)
	assert.Assert(t, throughput >= 0.95)
	assert.Assert(t, p99 <= 2)
	naive, _ := compareWithNoisy(t, false)
	assert.Assert(t, naive < 0.95, "one queue and no rates serve as well")
}
