// Package relay is a TCP forwarder that injects faults, for tests and trials.
//
// A [Relay] stands between a caller and one target. Each direction has its own
// delay and jitter, and can be held: bytes wait and the connection stays, as in a
// network partition. A cut resets all connections and every new one. A drop resets the
// connection that carries a chosen byte, which tears a message. Captured bytes
// can be read back, to check what never passed. All of it changes while the
// relay runs, by methods or over HTTP by [Relay.Handler].
package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// Direction is the way that bytes go.
type Direction uint8

// The directions, and both of them.
const (
	Both Direction = iota
	ToTarget
	ToCaller
)

// directions are the two ways of one connection.
var directions = []Direction{ToTarget, ToCaller}

// maxCapture bounds the captured bytes of each direction; older ones stay.
const maxCapture = 64 << 20

// Relay forwards connections to one target. The fields are set before Run.
type Relay struct {
	// Listen is IP:port; empty means a free port of 127.0.0.1.
	Listen string
	// Target is IP:port.
	Target string
	// Delay is added to each direction.
	Delay time.Duration
	// Seed fixes the sequence of jitter.
	Seed uint64
	// Clock is the real one if nil.
	Clock clockwork.Clock
	Log   logr.Logger

	once     sync.Once
	ready    chan struct{}
	listener net.Listener

	mu      sync.Mutex
	changed chan struct{}
	random  *rand.Rand
	lanes   [3]lane
	cut     bool
	capture bool
	links   map[*link]bool
	total   int
}

// lane is the state of one direction.
type lane struct {
	delay    time.Duration
	jitter   time.Duration
	held     bool
	dropping bool
	left     int64
	bytes    int64
	captured []byte
}

func (r *Relay) init() {
	r.once.Do(func() {
		r.ready = make(chan struct{})
		r.changed = make(chan struct{})
		r.links = make(map[*link]bool)
		r.random = rand.New(rand.NewPCG(r.Seed, r.Seed))
		if r.Clock == nil {
			r.Clock = clockwork.NewRealClock()
		}
		for _, d := range directions {
			r.lanes[d].delay = r.Delay
		}
	})
}

// Ready is closed once the relay listens.
func (r *Relay) Ready() <-chan struct{} {
	r.init()
	return r.ready
}

// Addr is where the relay listens. It is nil before Ready.
func (r *Relay) Addr() net.Addr {
	if r.listener == nil {
		return nil
	}
	return r.listener.Addr()
}

// Run forwards until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	r.init()
	address := r.Listen
	if address == "" {
		address = "127.0.0.1:0"
	}
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	r.listener = l
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	close(r.ready)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "relay")
		}
		wg.Go(func() { r.forward(ctx, c) })
	}
}

// update changes the state and wakes all who wait for a change.
func (r *Relay) update(change func()) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Relay) each(d Direction, change func(l *lane)) {
	r.update(func() {
		for _, way := range directions {
			if d == Both || d == way {
				change(&r.lanes[way])
			}
		}
	})
}

// SetDelay sets the delay of bytes that arrive from now on.
func (r *Relay) SetDelay(d Direction, delay time.Duration) {
	r.each(d, func(l *lane) { l.delay = delay })
}

// SetJitter adds up to jitter to the delay. Bytes keep their order.
func (r *Relay) SetJitter(d Direction, jitter time.Duration) {
	r.each(d, func(l *lane) { l.jitter = jitter })
}

// Hold stops delivering bytes, or delivers those that waited.
func (r *Relay) Hold(d Direction, on bool) {
	r.each(d, func(l *lane) { l.held = on })
}

// DropAfter resets the connection that carries the byte after n more bytes of
// the direction, without delivering it. It happens once.
func (r *Relay) DropAfter(d Direction, n int64) {
	r.each(d, func(l *lane) {
		l.dropping = true
		l.left = n
	})
}

// Cut resets all connections and every new one, until it is ended.
func (r *Relay) Cut(on bool) {
	r.update(func() {
		r.cut = on
		if !on {
			return
		}
		for k := range r.links {
			k.reset()
		}
	})
}

// Capture starts to keep the bytes of both directions, or stops and keeps what
// there is.
func (r *Relay) Capture(on bool) {
	r.update(func() { r.capture = on })
}

// Captured returns the bytes captured so far, of all connections in the order of
// their arrival.
func (r *Relay) Captured(d Direction) []byte {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []byte
	for _, way := range directions {
		if d == Both || d == way {
			out = append(out, r.lanes[way].captured...)
		}
	}
	return out
}

// Status is what a relay does now.
type Status struct {
	Open     int   `json:"open"`
	Accepted int   `json:"accepted"`
	ToTarget int64 `json:"bytes_to_target"`
	ToCaller int64 `json:"bytes_to_caller"`
	Cut      bool  `json:"cut"`
}

// Status reads the counters.
func (r *Relay) Status() Status {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{
		Open:     len(r.links),
		Accepted: r.total,
		ToTarget: r.lanes[ToTarget].bytes,
		ToCaller: r.lanes[ToCaller].bytes,
		Cut:      r.cut,
	}
}

// String returns the name of the direction on the control port.
func (d Direction) String() string {
	switch d {
	case Both:
		return "both"
	case ToTarget:
		return "to-target"
	case ToCaller:
		return "to-caller"
	}
	return "unknown direction"
}
