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
	groupName = "orders"
	patience  = 8 * time.Second
)

var names = []string{"a", "b", "c"}

// bench is a group of three databases, one in each failure domain, with two
// hosts in each, and a caller at every host.
type bench struct {
	t     *testing.T
	group *memdb.Group
	hosts *memdb.Hosts
	nodes map[string]*node
}

type node struct {
	host    *memdb.Host
	watcher *watch.Watcher
	duty    *Elector
	stop    func()
	mu      sync.Mutex
	journal []string
}

func newBench(t *testing.T) *bench {
	b := &bench{
		t:     t,
		group: memdb.New(names...),
		nodes: make(map[string]*node),
	}
	b.hosts = memdb.NewHosts(b.group)
	b.group.Start(coltsfootloft.NewTerm(1, "first"))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go b.group.Run(ctx, time.Millisecond)
	for i := range names {
		for k := range 2 {
			b.add(fmt.Sprintf("h%d%d", i, k), fmt.Sprintf("d%d", i))
		}
	}
	for _, n := range b.nodes {
		n.start(t)
	}
	b.until(func() bool {
		for _, n := range b.nodes {
			if len(n.watcher.Readings(groupName)) < len(names) {
				return false
			}
		}
		return true
	})
	return b
}

func (b *bench) add(name, domain string) {
	h := b.hosts.Add(name, domain)
	open := func(u coltsfootloft.Upstream) coltsfootloft.Database { return b.group.Open(name, u.Name()) }
	n := &node{
		host: h,
		watcher: &watch.Watcher{
			Self:    h.Self(),
			Members: h,
			Peers:   h,
			Open:    open,
		},
	}
	n.duty = &Elector{
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
	n.duty.Register()
	groups := []coltsfootloft.Group{settings()}
	n.watcher.Configure(groups)
	n.duty.Configure(groups)
	b.nodes[name] = n
	b.t.Cleanup(func() {
		if !b.t.Failed() {
			return
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, e := range n.journal {
			b.t.Log(e)
		}
	})
}

func (n *node) start(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { n.watcher.Run(ctx) })
	wait.Go(func() { n.duty.Run(ctx) })
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

func (b *bench) until(f func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(patience); !f(); {
		if time.Now().After(deadline) {
			b.t.Fatal("not reached in time")
		}
		time.Sleep(time.Millisecond)
	}
}

// primary returns the database that reigns in the highest term.
func (b *bench) primary() (string, coltsfootloft.Term) {
	best, term := "", coltsfootloft.Term{}
	for _, n := range names {
		r := b.group.Reading(n)
		if r.Role() == coltsfootloft.Primary && r.Fence() == r.Received().Term() && r.Fence().Compare(term) > 0 {
			best, term = n, r.Fence()
		}
	}
	return best, term
}

func primaryOf(readings map[string]coltsfootloft.Reading) (string, coltsfootloft.Term, bool) {
	return quorum.Size(len(names)).Primary(readings)
}

// write is one write of a caller at a host, tried at whichever database that host
// holds to be the primary, until it is acknowledged or its outcome is unknown.
type write struct {
	value    string
	position coltsfootloft.Position
	begun    time.Time
	acked    time.Time
	known    bool
}

// callers write at the hosts until stop is called, each one write after another.
type callers struct {
	mu     sync.Mutex
	writes []write
	stop   func()
}

func (b *bench) call(hosts ...string) *callers {
	c := &callers{}
	ctx, cancel := context.WithCancel(b.t.Context())
	var wait sync.WaitGroup
	for _, h := range hosts {
		wait.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				w := b.write(ctx, h, fmt.Sprintf("%s-%d", h, i))
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
	b.t.Cleanup(c.stop)
	return c
}

func (b *bench) write(ctx context.Context, host, value string) write {
	n := b.nodes[host]
	w := write{
		value: value,
		begun: time.Now(),
	}
	for ctx.Err() == nil {
		changed := n.watcher.Changed(groupName)
		name, _, ok := primaryOf(n.watcher.Readings(groupName))
		if ok && b.group.Reaches(host, name) {
			p, err := b.group.Commit(name, value)
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
	held, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if n.watcher.AwaitMajority(held, groupName, w.position) == nil {
		w.known = true
		w.acked = time.Now()
	}
	return w
}

// gap is the longest time without an acknowledgement that ends after the moment.
func (c *callers) gap(since time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var at []time.Time
	for _, w := range c.writes {
		if w.known {
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

// check settles the group and looks for every acknowledged write at the primary.
func (b *bench) check(c *callers) (acked, unknown int) {
	b.t.Helper()
	c.stop()
	b.group.Heal()
	for _, n := range names {
		b.group.Thaw(n)
		b.group.Restart(n)
	}
	b.until(func() bool {
		p, term := b.primary()
		for _, n := range names {
			r := b.group.Reading(n)
			if p == "" || r.Fence() != term || r.Received() != b.group.Reading(p).Received() {
				return false
			}
		}
		return true
	})
	p, _ := b.primary()
	have := make(map[string]bool)
	for _, v := range b.group.Values(p) {
		have[v] = true
	}
	for _, w := range c.writes {
		if w.known {
			acked++
			assert.Assert(b.t, have[w.value], "acknowledged write %s at %v lost", w.value, w.position)
		} else {
			unknown++
		}
	}
	return acked, unknown
}
