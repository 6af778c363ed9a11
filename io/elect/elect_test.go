package elect

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/quorum"
	"coltsfootloft/io/watch"
	"coltsfootloft/stand/memdb"
)

const (
	groupName   = "orders"
	waitTimeout = 8 * time.Second
)

var names = []string{"a", "b", "c"}

// cluster is a group of three databases, one in each failure domain, with two
// hosts in each domain.
type cluster struct {
	t     *testing.T
	group *memdb.Group
	hosts *memdb.Hosts
	nodes map[string]*node
}

type node struct {
	host    *memdb.Host
	watcher *watch.Watcher
	elector *Elector
	stop    func()
	mu      sync.Mutex
	journal []string
}

func newCluster(t *testing.T) *cluster {
	cl := &cluster{
		t:     t,
		group: memdb.New(names...),
		nodes: make(map[string]*node),
	}
	cl.hosts = memdb.NewHosts(cl.group)
	cl.group.Start(coltsfootloft.NewTerm(1, "first"))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go cl.group.Run(ctx, time.Millisecond)
	for i := range names {
		for k := range 2 {
			cl.add(fmt.Sprintf("h%d%d", i, k), fmt.Sprintf("d%d", i))
		}
	}
	for _, n := range cl.nodes {
		n.start(t)
	}
	cl.waitUntil(func() bool {
		for _, n := range cl.nodes {
			if len(n.watcher.Readings(groupName)) < len(names) {
				return false
			}
		}
		return true
	})
	return cl
}

func (cl *cluster) add(name, domain string) {
	h := cl.hosts.Add(name, domain)
	open := func(u coltsfootloft.Upstream) coltsfootloft.Database { return cl.group.Open(name, u.Name()) }
	n := &node{
		host: h,
		watcher: &watch.Watcher{
			Self:    h.Self(),
			Members: h,
			Peers:   h,
			Open:    open,
		},
	}
	n.elector = &Elector{
		Self:        h.Self(),
		Incarnation: "1",
		Members:     h,
		Peers:       h,
		Source:      n.watcher,
		Open:        open,
		Journal: func(event string, keyvals ...any) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.journal = append(n.journal, time.Now().Format("05.000 ")+name+" "+event+" "+fmt.Sprint(keyvals...))
		},
	}
	n.elector.Register()
	groups := []coltsfootloft.Group{settings()}
	n.watcher.Configure(groups)
	n.elector.Configure(groups)
	cl.nodes[name] = n
	cl.t.Cleanup(func() {
		if !cl.t.Failed() {
			return
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, e := range n.journal {
			cl.t.Log(e)
		}
	})
}

func (n *node) start(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { n.watcher.Run(ctx) })
	wait.Go(func() { n.elector.Run(ctx) })
	n.stop = sync.OnceFunc(func() {
		cancel()
		wait.Wait()
	})
	t.Cleanup(n.stop)
}

func settings() coltsfootloft.Group {
	var u []coltsfootloft.Upstream
	for i, n := range names {
		u = append(u, coltsfootloft.NewUpstream(n, fmt.Sprintf("d%d", i), "127.0.0.1:1"))
	}
	return coltsfootloft.NewGroup(groupName, 80, u...)
}

func (cl *cluster) waitUntil(f func() bool) {
	cl.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !f(); {
		if time.Now().After(deadline) {
			cl.t.Fatal("condition not reached in time")
		}
		time.Sleep(time.Millisecond)
	}
}

// primary returns the active primary with the highest term.
func (cl *cluster) primary() (string, coltsfootloft.Term) {
	best, term := "", coltsfootloft.Term{}
	for _, n := range names {
		r := cl.group.Reading(n)
		if r.Role() == coltsfootloft.Primary && r.Fence() == r.Received().Term() && r.Fence().Compare(term) > 0 {
			best, term = n, r.Fence()
		}
	}
	return best, term
}

func primaryOf(readings map[string]coltsfootloft.Reading) (string, coltsfootloft.Term, bool) {
	return quorum.Size(len(names)).Primary(readings)
}

// write is one write of a caller at a host. The caller tries it at the database
// that the host considers to be the primary, until it is committed there, and
// then waits for the acknowledgement. If held is false, the outcome is unknown.
type write struct {
	value    string
	position coltsfootloft.Position
	started  time.Time
	acked    time.Time
	held     bool
}

// callers write through hosts until stop is called; each sends one write after
// another.
type callers struct {
	mu     sync.Mutex
	writes []write
	stop   func()
}

func (cl *cluster) startCallers(hosts ...string) *callers {
	c := &callers{}
	ctx, cancel := context.WithCancel(cl.t.Context())
	var wait sync.WaitGroup
	for _, h := range hosts {
		wait.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				w := cl.write(ctx, h, fmt.Sprintf("%s-%d", h, i))
				c.mu.Lock()
				c.writes = append(c.writes, w)
				c.mu.Unlock()
			}
		})
	}
	c.stop = sync.OnceFunc(func() {
		cancel()
		wait.Wait()
	})
	cl.t.Cleanup(c.stop)
	return c
}

func (cl *cluster) write(ctx context.Context, host, value string) write {
	n := cl.nodes[host]
	w := write{
		value:   value,
		started: time.Now(),
	}
	for ctx.Err() == nil {
		changed := n.watcher.Changed(groupName)
		name, _, ok := primaryOf(n.watcher.Readings(groupName))
		if ok && cl.group.Reaches(host, name) {
			p, err := cl.group.Commit(name, value)
			if err == nil {
				w.position = p
				break
			}
		}
		select {
		case <-ctx.Done():
			return w
		case <-changed:
		case <-time.After(5 * time.Millisecond):
		}
	}
	waitCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if n.watcher.AwaitMajority(waitCtx, groupName, w.position) == nil {
		w.held = true
		w.acked = time.Now()
	}
	return w
}

// gap returns the longest time without an acknowledgement that ends after
// since.
func (c *callers) gap(since time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var at []time.Time
	for _, w := range c.writes {
		if w.held {
			at = append(at, w.acked)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	longest := time.Duration(0)
	for i := 1; i < len(at); i++ {
		if at[i].After(since) {
			longest = max(longest, at[i].Sub(at[i-1]))
		}
	}
	return longest
}

// check waits until the group has settled and checks that every acknowledged
// write is at the primary.
func (cl *cluster) check(c *callers) (acked, unknown int) {
	cl.t.Helper()
	c.stop()
	cl.group.Heal()
	for _, n := range names {
		cl.group.Thaw(n)
		cl.group.Restart(n)
	}
	cl.waitUntil(func() bool {
		p, term := cl.primary()
		for _, n := range names {
			r := cl.group.Reading(n)
			if p == "" || r.Fence() != term || r.Received() != cl.group.Reading(p).Received() {
				return false
			}
		}
		return true
	})
	p, _ := cl.primary()
	have := make(map[string]bool)
	for _, v := range cl.group.Values(p) {
		have[v] = true
	}
	for _, w := range c.writes {
		if w.held {
			acked++
			assert.Assert(cl.t, have[w.value], "acknowledged write %s at %v lost", w.value, w.position)
		} else {
			unknown++
		}
	}
	return acked, unknown
}
