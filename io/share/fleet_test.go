package share

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"coltsfootloft"
)

// fleet runs several limiters in one process on the virtual time of a synctest
// bubble, with a store and links that fail on demand.
type fleet struct {
	t      *testing.T
	store  *fakeStore
	limits Limits
	mutex  sync.Mutex
	nodes  map[string]*node
	dead   map[string]bool
	random *rand.Rand
	loss   float64
	cut    map[string]bool
	// detectAfter is how long dead hosts stay in the list of live ones, as with the
	// platform.
	detectAfter time.Duration
	diedAt      map[string]time.Time
	messages    int
	bytes       int
	runs        int
	maxOwners   int
	onWake      func(*node)
	onAdd       func(*node)
	done        chan struct{}
	// naive, if set, decides about admission instead of the limiters.
	naive admitter
	all   sync.WaitGroup
}

// node is one host of the fleet.
type node struct {
	fleet   *fleet
	record  coltsfootloft.HostRecord
	limiter *Limiter
	peers   *peerView
	cancel  context.CancelFunc
	done    chan struct{}

	mutex   sync.Mutex
	paused  chan struct{}
	running bool
	crashed bool
}

func newFleet(t *testing.T, limits Limits, seed uint64) *fleet {
	return &fleet{
		t:           t,
		store:       newFakeStore(rand.New(rand.NewPCG(seed, 2))), // a generator has one lock
		limits:      limits,
		nodes:       map[string]*node{},
		dead:        map[string]bool{},
		diedAt:      map[string]time.Time{},
		random:      rand.New(rand.NewPCG(seed, 1)),
		cut:         map[string]bool{},
		detectAfter: time.Second,
		done:        make(chan struct{}),
	}
}

// start starts one host for each seat: d1h1, d1h2, ..., d2h1, ...
func (f *fleet) start() {
	for _, d := range f.limits.Domains {
		for i := range d.Seats {
			f.add(fmt.Sprintf("%sh%d", d.Name, i+1), d.Name)
		}
	}
}

func (f *fleet) add(name, domain string) *node {
	n := &node{
		fleet:   f,
		record:  coltsfootloft.NewHost(name, domain, "127.0.0.1:1"),
		done:    make(chan struct{}),
		running: true,
	}
	n.peers = &peerView{
		fleet: f,
		node:  n,
	}
	f.runs++
	n.limiter = &Limiter{
		Clock:     clockwork.NewRealClock(),
		Store:     storeView{fakeStore: f.store, node: n},
		Peers:     n.peers,
		Members:   n,
		RunName:   fmt.Sprint(f.runs),
		MaxOwners: f.maxOwners,
	}
	n.limiter.Configure(f.limits)
	if f.onAdd != nil {
		f.onAdd(n)
	}
	f.mutex.Lock()
	f.nodes[name] = n
	delete(f.diedAt, name)
	f.mutex.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	f.all.Go(func() {
		defer close(n.done)
		_ = n.limiter.Run(ctx)
	})
	return n
}

// stop ends the whole fleet.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.resume()
		n.cancel()
	}
	f.all.Wait()
}

func (f *fleet) node(name string) *node {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.nodes[name]
}

// names returns the hosts that run, in order.
func (f *fleet) names() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var r []string
	for k, n := range f.nodes {
		if n.isRunning() {
			r = append(r, k)
		}
	}
	slices.Sort(r)
	return r
}

// transmit waits for the one-way delay and reports whether the message arrives.
func (f *fleet) transmit(domain, host string) bool {
	to := f.node(host)
	delay := 200 * time.Microsecond
	f.mutex.Lock()
	lost := f.random.Float64() < f.loss
	if to != nil && to.record.Domain() != domain {
		delay = time.Millisecond
		lost = lost || f.cut[domain] || f.cut[to.record.Domain()]
	}
	f.mutex.Unlock()
	time.Sleep(delay)
	return !lost
}

func (f *fleet) count(size int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.messages++
	f.bytes += size
}

// setLoss sets the share of messages that are lost.
func (f *fleet) setLoss(share float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.loss = share
}

// cutDomain separates a failure domain from the others and from the store.
func (f *fleet) cutDomain(domain string, cut bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cut[domain] = cut
}

func (f *fleet) isCut(a, b string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.cut[a] || f.cut[b]
}

// wake resumes a paused host, whose callers then send a burst at once.
func (f *fleet) wake(name string) {
	n := f.node(name)
	n.resume()
	if f.onWake != nil {
		f.onWake(n)
	}
}

// kill stops a host without handing its seats back.
func (f *fleet) kill(name string) {
	n := f.node(name)
	n.mutex.Lock()
	n.running = false
	n.crashed = true
	n.mutex.Unlock()
	f.mutex.Lock()
	f.diedAt[name] = time.Now()
	f.mutex.Unlock()
	n.cancel()
}

// leave stops a host gracefully.
func (f *fleet) leave(name string) {
	n := f.node(name)
	n.cancel()
	<-n.done
	n.mutex.Lock()
	n.running = false
	n.mutex.Unlock()
	f.mutex.Lock()
	delete(f.nodes, name)
	f.mutex.Unlock()
}

// Self implements [coltsfootloft.Members].
func (n *node) Self() coltsfootloft.HostRecord { return n.record }

// Alive lists the running hosts, and dead ones for detectAfter.
func (n *node) Alive() []coltsfootloft.HostRecord {
	f := n.fleet
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var r []coltsfootloft.HostRecord
	for name, o := range f.nodes {
		died, dead := f.diedAt[name]
		if !dead || time.Since(died) < f.detectAfter {
			r = append(r, o.record)
		}
	}
	slices.SortFunc(r, func(a, b coltsfootloft.HostRecord) int {
		if a.Name() < b.Name() {
			return -1
		}
		return 1
	})
	return r
}

// Leaving implements [coltsfootloft.Members].
func (n *node) Leaving(string) bool { return false }

func (n *node) isRunning() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.running
}

func (n *node) isCutFromStore() bool {
	n.fleet.mutex.Lock()
	cut := n.fleet.cut[n.record.Domain()]
	n.fleet.mutex.Unlock()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return cut || n.crashed
}

// waitWhilePaused blocks while the host is paused.
func (n *node) waitWhilePaused() {
	n.mutex.Lock()
	p := n.paused
	n.mutex.Unlock()
	if p != nil {
		<-p
	}
}

func (n *node) pause() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.paused == nil {
		n.paused = make(chan struct{})
	}
}

func (n *node) resume() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.paused != nil {
		close(n.paused)
		n.paused = nil
	}
}

func (n *node) isPaused() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.paused != nil
}
