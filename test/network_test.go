package test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/ports"
	"coltsfootloft/stand/relay"
)

// outside is the place of callers and the platform. Failure domains are the places
// from 1.
const outside = 0

// network forwards every connection between places through a relay, so that places can
// be cut off from each other. The third byte of a loopback address identifies the
// place: 127.0.<place>.x.
type network struct {
	t       testing.TB
	ctx     context.Context
	mu      sync.Mutex
	policy  map[direction]policy
	relays  map[direction][]*relay.Relay
	capture bool
	running sync.WaitGroup
}

// direction is that of connections opened from one place to another.
type direction struct{ from, to int }

// policy is the state of the relays of one direction.
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
		policy: make(map[direction]policy),
		relays: make(map[direction][]*relay.Relay),
	}
	t.Cleanup(func() {
		cancel()
		n.running.Wait()
	})
	return n
}

// expose returns an address in place that forwards to target.
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

// endpoint is an exposed address. It has one relay for each place of origin.
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
		e.network.add(direction{from: place, to: e.place}, r)
	}
	return r
}

func (n *network) add(d direction, r *relay.Relay) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relays[d] = append(n.relays[d], r)
	n.policy[d].apply(r)
	r.Capture(n.capture)
}

func (p policy) apply(r *relay.Relay) {
	r.SetDelay(relay.Both, p.delay)
	r.Hold(relay.Both, p.hold)
	r.Cut(p.cut)
}

// change changes the policy of a direction and applies it to its relays.
func (n *network) change(d direction, f func(p *policy)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.policy[d]
	f(&p)
	n.policy[d] = p
	for _, r := range n.relays[d] {
		p.apply(r)
	}
}

// delay sets the one-way delay between two places, in both directions.
func (n *network) delay(a, b int, oneWay time.Duration) {
	for _, d := range []direction{{a, b}, {b, a}} {
		n.change(d, func(p *policy) { p.delay = oneWay })
	}
}

// cut resets and refuses every connection between two places, or restores them if on is
// false.
func (n *network) cut(a, b int, on bool) {
	for _, d := range []direction{{a, b}, {b, a}} {
		n.change(d, func(p *policy) { p.cut = on })
	}
}

// hold stops delivery, both ways, on connections that were opened from a to b, without
// resetting them.
func (n *network) hold(a, b int, on bool) {
	n.change(direction{a, b}, func(p *policy) { p.hold = on })
}

// isolate cuts a failure domain off from the other failure domains. Callers and the
// platform still reach it.
func (n *network) isolate(place, places int, on bool) {
	for o := 1; o <= places; o++ {
		if o != place {
			n.cut(place, o, on)
		}
	}
}

// holdPlace stops delivery between a failure domain and the others.
func (n *network) holdPlace(place, places int, on bool) {
	for o := 1; o <= places; o++ {
		if o != place {
			n.hold(place, o, on)
			n.hold(o, place, on)
		}
	}
}

// placeOf returns the place of a loopback address.
func placeOf(a net.Addr) int {
	return int(a.(*net.TCPAddr).IP.To4()[2])
}

// placeIP returns the loopback address with this number in a place.
func placeIP(place, number int) string {
	return net.IPv4(127, 0, byte(place), byte(number)).String()
}

// portsAt returns n addresses with free ports at an IP address.
func portsAt(t testing.TB, ip string, n int) []string {
	t.Helper()
	list, err := ports.Choose(ip, n)
	assert.NilError(t, err)
	return list
}
