// Package relay is a TCP forwarder that injects faults, for tests and experiments.
//
// A [Relay] forwards connections of callers to one target. Its faults are:
//
//   - delay and jitter of each direction;
//   - hold: bytes of a direction wait while connections stay open, as in a network
//     partition. They arrive later, also if their sender closes the connection, and
//     are lost if it resets the connection;
//   - cut: all connections, and every new one, are reset;
//   - drop: the connection that carries a given byte is reset before that byte, so that
//     a message arrives incomplete.
//
// A [Switch] has a relay for each caller's address, for faults between one caller and the
// target alone.
//
// The bytes can be captured, so that tests can check which ones never passed. All of
// this can be changed while the relay runs, by methods or over HTTP with
// [Relay.Handler].
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

// Direction is the direction in which bytes flow.
type Direction uint8

// The directions; Both stands for the two others.
const (
	Both Direction = iota
	ToTarget
	ToCaller
)

// directions are the two directions of a connection.
var directions = []Direction{ToTarget, ToCaller}

// maxCapture limits the captured bytes of each direction. Once it is reached, later
// bytes are not captured.
const maxCapture = 64 << 20

// Relay forwards connections to one target. Its exported fields are set before Run.
type Relay struct {
	// Listen is the address to listen on, IP:port; a free port of 127.0.0.1 if
	// empty.
	Listen string
	// Target is the address to forward to, IP:port.
	Target string
	// Source is the IP from which to connect to the target; the system's choice if empty.
	Source string
	// Delay is the initial delay of each direction.
	Delay time.Duration
	// Seed is the seed of the random jitter.
	Seed uint64
	// Clock drives the delays; the real clock if nil.
	Clock clockwork.Clock
	// Log receives errors of the control handler.
	Log logr.Logger

	once     sync.Once
	ready    chan struct{}
	listener net.Listener

	mu      sync.Mutex
	changed chan struct{}
	random  *rand.Rand
	flows   [3]flow
	cut     bool
	capture bool
	links   map[*link]bool
	total   int
}

// flow is the state of one direction, over all connections.
type flow struct {
	delay     time.Duration
	jitter    time.Duration
	held      bool
	dropping  bool
	remaining int64
	bytes     int64
	captured  []byte
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
			r.flows[d].delay = r.Delay
		}
	})
}

// Ready is closed once the relay listens.
func (r *Relay) Ready() <-chan struct{} {
	r.init()
	return r.ready
}

// Addr returns the address that the relay listens on; nil before Ready is closed.
func (r *Relay) Addr() net.Addr {
	if r.listener == nil {
		return nil
	}
	return r.listener.Addr()
}

// Run listens and forwards until ctx ends, and then returns nil. It returns an error
// if it can't listen or accept.
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

// update changes the state and wakes all goroutines that wait for a change.
func (r *Relay) update(change func()) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	close(r.changed)
	r.changed = make(chan struct{})
}

// updateFlows changes the state of a direction, or of both.
func (r *Relay) updateFlows(d Direction, change func(l *flow)) {
	r.update(func() {
		for _, o := range directions {
			if d == Both || d == o {
				change(&r.flows[o])
			}
		}
	})
}

// SetDelay sets the delay of bytes that arrive from now on.
func (r *Relay) SetDelay(d Direction, delay time.Duration) {
	r.updateFlows(d, func(l *flow) { l.delay = delay })
}

// SetJitter adds a random time below jitter to the delay of bytes that arrive from now
// on. Bytes keep their order.
func (r *Relay) SetJitter(d Direction, jitter time.Duration) {
	r.updateFlows(d, func(l *flow) { l.jitter = jitter })
}

// Hold stops the delivery of bytes, or resumes it if on is false. Connections stay
// open.
func (r *Relay) Hold(d Direction, on bool) {
	r.updateFlows(d, func(l *flow) { l.held = on })
}

// DropAfter lets n more bytes of the direction pass and then resets the connection
// that carries the next one, without delivering that byte. It happens once.
func (r *Relay) DropAfter(d Direction, n int64) {
	r.updateFlows(d, func(l *flow) {
		l.dropping = true
		l.remaining = n
	})
}

// Cut resets all connections and every new one. It ends when on is false.
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

// Capture starts or stops the capture of bytes of both directions. Bytes captured
// earlier are kept.
func (r *Relay) Capture(on bool) {
	r.update(func() { r.capture = on })
}

// Captured returns the bytes captured so far, of all connections in order of arrival.
// With Both, those to the target come first. The capture of a direction ends at 64 MiB.
func (r *Relay) Captured(d Direction) []byte {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	var captured []byte
	for _, o := range directions {
		if d == Both || d == o {
			captured = append(captured, r.flows[o].captured...)
		}
	}
	return captured
}

// Status holds the counters of a relay: open and accepted connections, bytes that
// arrived in each direction, and whether the relay is cut.
type Status struct {
	Open     int   `json:"open"`
	Accepted int   `json:"accepted"`
	ToTarget int64 `json:"bytes_to_target"`
	ToCaller int64 `json:"bytes_to_caller"`
	Cut      bool  `json:"cut"`
}

// Status returns the present counters.
func (r *Relay) Status() Status {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	return Status{
		Open:     len(r.links),
		Accepted: r.total,
		ToTarget: r.flows[ToTarget].bytes,
		ToCaller: r.flows[ToCaller].bytes,
		Cut:      r.cut,
	}
}

// String returns the name of the direction in requests to [Relay.Handler].
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
