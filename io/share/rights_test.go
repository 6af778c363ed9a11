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
)

// pool is one host's connection pool of a database: connections are passed from
// caller to caller and stay open until another host needs them.
type pool struct {
	counter  *counter
	node     *node
	mutex    sync.Mutex
	idle     []func()
	waiters  []chan func()
	asking   int
	open     int
	revoked  int
	shedding int
	served   int
	failed   int
	slowest  time.Duration
}

// use runs one transaction on a connection.
func (p *pool) use(hold time.Duration) {
	start := time.Now()
	release := p.get()
	p.mutex.Lock()
	if release == nil {
		p.failed++
		p.mutex.Unlock()
		return
	}
	p.served++
	p.slowest = max(p.slowest, time.Since(start))
	p.mutex.Unlock()
	time.Sleep(hold)
	p.put(release)
}

// get returns an idle connection or waits for one.
func (p *pool) get() func() {
	if r := p.take(); r != nil {
		return r
	}
	w := make(chan func(), 1)
	p.mutex.Lock()
	p.waiters = append(p.waiters, w)
	if p.asking < min(len(p.waiters), 4) {
		p.asking++
		go p.connect()
	}
	p.mutex.Unlock()
	select {
	case r := <-w:
		return r
	case <-time.After(2 * time.Second):
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		return nil
	}
	return <-w
}

func (p *pool) connect() {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	release, err := p.node.limiter.AcquireConnection(ctx, p.counter.database)
	if err == nil {
		p.opened()
		time.Sleep(12 * time.Millisecond)
		p.put(release)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.asking--
	if p.asking < min(len(p.waiters), 4) {
		p.asking++
		go p.connect()
	}
}

func (p *pool) put(release func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.revoked > 0 || p.shedding > 0 {
		p.revoked = max(p.revoked-1, 0)
		p.shedding = max(p.shedding-1, 0)
		p.open--
		release()
		return
	}
	if len(p.waiters) > 0 {
		p.waiters[0] <- release
		p.waiters = p.waiters[1:]
		return
	}
	p.idle = append(p.idle, release)
}

func (p *pool) take() func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	r := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return r
}

func (p *pool) opened() {
	p.mutex.Lock()
	p.open++
	p.mutex.Unlock()
	p.counter.check()
}

// reclaim closes an idle connection.
func (p *pool) reclaim(string) bool {
	release := p.take()
	if release == nil {
		return false
	}
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
	release()
	return true
}

// revoke closes connections when they are given back, which takes less than
// RevokeAhead here.
func (p *pool) revoke(_ string, n int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.revoked = n
}

// shed closes n connections as callers give them back.
func (p *pool) shed(_ string, n int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.shedding = n
}

// counter counts the connections of all hosts to a database.
type counter struct {
	database string
	mutex    sync.Mutex
	pools    map[*node]*pool
	most     int
	paused   map[*node]bool
	// keep disables OnShed, so that hosts keep connections while callers wait.
	keep bool
}

func (c *counter) check() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sum := 0
	for n, p := range c.pools {
		if !n.isRunning() || n.isPaused() || c.paused[n] {
			continue
		}
		p.mutex.Lock()
		sum += p.open
		p.mutex.Unlock()
	}
	c.most = max(c.most, sum)
}

// sum returns the most connections seen, and what the pools have counted. Pools may still be opening
// connections.
func (c *counter) sum() (most, served, failed int, slowest time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, p := range c.pools {
		p.mutex.Lock()
		served += p.served
		failed += p.failed
		slowest = max(slowest, p.slowest)
		p.mutex.Unlock()
	}
	return c.most, served, failed, slowest
}

func (c *counter) addPool(n *node) *pool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := &pool{
		counter: c,
		node:    n,
	}
	c.pools[n] = p
	n.limiter.OnReclaim(p.reclaim)
	n.limiter.OnRevoke(p.revoke)
	if !c.keep {
		n.limiter.OnShed(p.shed)
	}
	return p
}

// connections runs a fleet whose callers want more connections to one database
// than it takes, on hosts that change every few seconds.
func connections(t *testing.T, faults func(*fleet, *counter)) (most, served, failed int) {
	t.Helper()
	var slowest time.Duration
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, testPlan(5), testSeed)
		c := &counter{
			database: "g1db1",
			pools:    map[*node]*pool{},
			paused:   map[*node]bool{},
		}
		f.onAdd = func(n *node) { c.addPool(n) }
		f.start()
		time.Sleep(20 * time.Second)
		random := rand.New(rand.NewPCG(testSeed, 3))
		end := time.Now().Add(60 * time.Second)
		var all sync.WaitGroup
		all.Go(func() { faults(f, c) })
		for time.Now().Before(end) {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Millisecond)))
			names := f.names()
			phase := int(time.Until(end).Seconds()) / 7
			n := f.node(names[(phase*4+random.IntN(5))%len(names)])
			if n == nil || n.isPaused() || !n.isRunning() {
				continue
			}
			c.mutex.Lock()
			p := c.pools[n]
			c.mutex.Unlock()
			hold := time.Duration(5+random.IntN(20)) * time.Millisecond
			all.Go(func() { p.use(hold) })
		}
		all.Wait()
		most, served, failed, slowest = c.sum()
		time.Sleep(3 * time.Second)
		f.stop()
	})
	t.Logf("most connections %d of 35, transactions %d, without a connection %d, slowest %v", most, served, failed, slowest)
	return most, served, failed
}

func TestConnectionsNeverExceedTheLimit(t *testing.T) {
	t.Parallel()
	most, _, failed := connections(t, func(*fleet, *counter) {})
	assert.Assert(t, most <= 35)
	assert.Assert(t, most >= 30, "rights do not move to where they are needed")
	assert.Equal(t, failed, 0)
	most, _, _ = connections(t, func(f *fleet, c *counter) {
		time.Sleep(5 * time.Second)
		f.kill("d1h1")
		f.node("d2h1").pause()
		f.setLoss(0.05)
		time.Sleep(15 * time.Second)
		c.resume(f, "d2h1")
		f.store.setDown(true)
		time.Sleep(5 * time.Second)
		f.cutDomain("d3", true)
		f.kill("d3h3")
		time.Sleep(15 * time.Second)
		f.cutDomain("d3", false)
		f.store.setDown(false)
		time.Sleep(15 * time.Second)
	})
	assert.Assert(t, most <= 35)
}

// resume resumes a paused host. Its connections are counted again after 2*closeEvery,
// when it has had time to close those beyond its rights.
func (c *counter) resume(f *fleet, name string) {
	n := f.node(name)
	c.mutex.Lock()
	c.paused[n] = true
	c.mutex.Unlock()
	n.resume()
	time.Sleep(2 * closeEvery)
	c.mutex.Lock()
	delete(c.paused, n)
	c.mutex.Unlock()
	c.check()
}

// runBusyHost runs one host whose callers keep every connection busy and another with
// two callers, and returns the number of transactions of the latter in about 20 s.
func runBusyHost(t *testing.T, keep bool) (served int) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, testPlan(5), testSeed)
		c := &counter{
			database: "g1db1",
			pools:    map[*node]*pool{},
			keep:     keep,
		}
		f.onAdd = func(n *node) { c.addPool(n) }
		f.start()
		time.Sleep(20 * time.Second)
		end := time.Now().Add(20 * time.Second)
		var all sync.WaitGroup
		callers := func(host string, n int) *pool {
			p := c.pools[f.node(host)]
			for range n {
				all.Go(func() {
					for time.Now().Before(end) {
						p.use(10 * time.Millisecond)
					}
				})
			}
			return p
		}
		large := callers("d1h1", 100)
		time.Sleep(2 * time.Second)
		small := callers("d2h2", 2)
		all.Wait()
		served = small.served
		most, _, _, _ := c.sum()
		t.Logf("keep %v: large host %d, small host %d transactions, slowest %v, most connections %d",
			keep, large.served, small.served, small.slowest, most)
		time.Sleep(3 * time.Second)
		f.stop()
	})
	return served
}

// TestBusyHostGivesUpRights runs two callers on one host and a hundred on another.
// Without the hundred, the two would run 3600 transactions.
func TestBusyHostGivesUpRights(t *testing.T) {
	t.Parallel()
	naive := runBusyHost(t, true)
	served := runBusyHost(t, false)
	assert.Assert(t, served > 3000)
	assert.Assert(t, served > 2*naive)
}
