package test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/relay"
)

// outside is the place of callers and the platform; failure domains count from 1.
const outside = 0

// network forwards every connection between places through a relay of its own, so
// that places can be cut from each other. A place is told by the third byte of
// its loopback addresses: 127.0.<place>.x.
type network struct {
	t       testing.TB
	ctx     context.Context
	mu      sync.Mutex
	policy  map[way]policy
	relays  map[way][]*relay.Relay
	capture bool
	running sync.WaitGroup
}

// way is from one place to another.
type way struct{ from, to int }

type policy struct {
	delay time.Duration
	cut   bool
	hold  bool
}

func newNetwork(t testing.TB) *network {
	ctx, cancel := context.WithCancel(context.Background())
	n := &network{
		t:      t,
		ctx:    ctx,
		policy: make(map[way]policy),
		relays: make(map[way][]*relay.Relay),
	}
	t.Cleanup(func() {
		cancel()
		n.running.Wait()
	})
	return n
}

// expose returns an address in the place through which others reach target.
func (n *network) expose(target string, place int) string {
	n.t.Helper()
	l, err := net.Listen("tcp", net.JoinHostPort(placeIP(place, 1), "0"))
	assert.NilError(n.t, err)
	context.AfterFunc(n.ctx, func() { l.Close() })
	e := &endpoint{
		network: n,
		target:  target,
		place:   place,
		relays:  make(map[int]*relay.Relay),
	}
	n.running.Go(func() { e.accept(l) })
	return l.Addr().String()
}

// endpoint is an exposed address.
type endpoint struct {
	network *network
	target  string
	place   int
	mu      sync.Mutex
	relays  map[int]*relay.Relay
}

func (e *endpoint) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := e.from(placeOf(c.RemoteAddr()))
		e.network.running.Go(func() { r.Serve(e.network.ctx, c) })
	}
}

// from returns the relay for connections from a place.
func (e *endpoint) from(place int) *relay.Relay {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.relays[place]
	if !ok {
		r = &relay.Relay{Target: e.target}
		e.relays[place] = r
		e.network.add(way{from: place, to: e.place}, r)
	}
	return r
}

func (n *network) add(w way, r *relay.Relay) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relays[w] = append(n.relays[w], r)
	n.policy[w].apply(r)
	r.Capture(n.capture)
}

func (p policy) apply(r *relay.Relay) {
	r.SetDelay(relay.Both, p.delay)
	r.Hold(relay.Both, p.hold)
	r.Cut(p.cut)
}

func (n *network) change(w way, f func(p *policy)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.policy[w]
	f(&p)
	n.policy[w] = p
	for _, r := range n.relays[w] {
		p.apply(r)
	}
}

// delay sets the one-way delay between two places, in both directions.
func (n *network) delay(a, b int, d time.Duration) {
	for _, w := range []way{{a, b}, {b, a}} {
		n.change(w, func(p *policy) { p.delay = d })
	}
}

// cut resets and refuses every connection between two places, or mends that.
func (n *network) cut(a, b int, on bool) {
	for _, w := range []way{{a, b}, {b, a}} {
		n.change(w, func(p *policy) { p.cut = on })
	}
}

// hold delivers nothing on connections that were opened from a to b.
func (n *network) hold(a, b int, on bool) {
	n.change(way{a, b}, func(p *policy) { p.hold = on })
}

// isolate cuts a failure domain from every other place but callers.
func (n *network) isolate(place, places int, on bool) {
	for o := 1; o <= places; o++ {
		if o != place {
			n.cut(place, o, on)
		}
	}
}

// holdPlace delivers nothing between a failure domain and the others.
func (n *network) holdPlace(place, places int, on bool) {
	for o := 1; o <= places; o++ {
		if o != place {
			n.hold(place, o, on)
			n.hold(o, place, on)
		}
	}
}

func placeOf(a net.Addr) int {
	return int(a.(*net.TCPAddr).IP.To4()[2])
}

func placeIP(place, number int) string {
	return net.IPv4(127, 0, byte(place), byte(number)).String()
}

// portsAt reserves n free ports at an address.
func portsAt(t testing.TB, ip string, n int) []string {
	t.Helper()
	list := make([]string, n)
	for i := range list {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		assert.NilError(t, err)
		defer l.Close()
		list[i] = l.Addr().String()
	}
	return list
}
