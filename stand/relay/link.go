package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Sizes of the queue of one direction of a connection: bytes in a chunk, and chunks
// in the queue.
const (
	chunkSize = 32 << 10
	queueSize = 64
)

// link is one forwarded connection.
type link struct {
	caller net.Conn
	target net.Conn
	once   sync.Once
}

// reset closes both connections immediately, with RST.
func (k *link) reset() {
	k.once.Do(func() {
		for _, c := range []net.Conn{k.caller, k.target} {
			abort(c)
		}
	})
}

// abort closes a connection with RST.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	c.Close()
}

// chunk is a part of the stream with the time at which it is delivered. Nil data is
// the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

// Serve forwards one connection that was accepted elsewhere, until the connection is
// closed or ctx ends.
func (r *Relay) Serve(ctx context.Context, caller net.Conn) {
	r.init()
	r.forward(ctx, caller)
}

// forward connects a caller with the target.
func (r *Relay) forward(ctx context.Context, caller net.Conn) {
	d := net.Dialer{}
	if r.Source != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(r.Source)}
	}
	r.mu.Lock()
	cut := r.cut
	r.total++
	r.mu.Unlock()
	if cut {
		abort(caller)
		return
	}
	target, err := d.DialContext(ctx, "tcp", r.Target)
	if err != nil {
		abort(caller)
		return
	}
	k := &link{
		caller: caller,
		target: target,
	}
	if !r.register(k) {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { k.reset() })
	var wg sync.WaitGroup
	wg.Go(func() { r.pump(ctx, k, ToTarget, caller, target) })
	wg.Go(func() { r.pump(ctx, k, ToCaller, target, caller) })
	wg.Wait()
	stop()
	r.mu.Lock()
	delete(r.links, k)
	r.mu.Unlock()
	caller.Close()
	target.Close()
}

// register adds a link. If the relay was cut in the meantime, it resets the link
// instead and returns false.
func (r *Relay) register(k *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut {
		k.reset()
		return false
	}
	r.links[k] = true
	return true
}

// pump forwards one direction of a link.
func (r *Relay) pump(ctx context.Context, k *link, d Direction, from, to net.Conn) {
	queue := make(chan chunk, queueSize)
	var wg sync.WaitGroup
	wg.Go(func() {
		defer drain(queue)
		for c := range queue {
			if !r.deliver(ctx, k, d, to, c) {
				k.reset()
				return
			}
		}
	})
	if r.readChunks(d, from, queue) != nil {
		k.reset()
	}
	close(queue)
	wg.Wait()
}

// drain empties the queue after delivery has failed, so that the sender doesn't block.
func drain(queue <-chan chunk) {
	for range queue {
		continue
	}
}

// readChunks reads until the end of the stream and queues chunks with the time of
// their delivery. It fails if the sender resets the connection: what was not delivered
// is lost then, as a system sends nothing more on a connection that it has reset.
func (r *Relay) readChunks(d Direction, from net.Conn, queue chan<- chunk) error {
	var last time.Time
	for {
		b := make([]byte, chunkSize)
		n, err := from.Read(b)
		last = r.schedule(d, b[:n], last)
		if n > 0 {
			queue <- chunk{
				data: b[:n],
				due:  last,
			}
		}
		if errors.Is(err, io.EOF) {
			queue <- chunk{
				due: last,
			}
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read")
		}
	}
}

// schedule counts and captures bytes that arrive now. It returns the time at which
// they are delivered, which is not before last, so that bytes keep their order.
func (r *Relay) schedule(d Direction, b []byte, last time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &r.flows[d]
	l.bytes += int64(len(b))
	if r.capture && len(l.captured) < maxCapture {
		l.captured = append(l.captured, b...)
	}
	due := r.Clock.Now().Add(l.delay)
	if l.jitter > 0 {
		due = due.Add(time.Duration(r.random.Int64N(int64(l.jitter))))
	}
	if due.Before(last) {
		return last
	}
	return due
}

// deliver waits until a chunk is due and its direction is not held, and writes it. It
// reports whether the link stays open.
func (r *Relay) deliver(ctx context.Context, k *link, d Direction, to net.Conn, c chunk) bool {
	if wait := c.due.Sub(r.Clock.Now()); wait > 0 {
		t := r.Clock.NewTimer(wait)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-t.Chan():
		}
	}
	for r.isHeld(d) {
		if !r.awaitChange(ctx, k, d) {
			return false
		}
	}
	if c.data == nil {
		if t, ok := to.(*net.TCPConn); ok {
			return t.CloseWrite() == nil
		}
		return false
	}
	data, drop := r.allow(d, c.data)
	if _, err := to.Write(data); err != nil {
		return false
	}
	return !drop
}

func (r *Relay) isHeld(d Direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flows[d].held
}

// awaitChange waits for a change of the relay while the direction is held. It returns
// false if the link was closed or ctx ends.
func (r *Relay) awaitChange(ctx context.Context, k *link, d Direction) bool {
	r.mu.Lock()
	changed, held, connected := r.changed, r.flows[d].held, r.links[k] && !r.cut
	r.mu.Unlock()
	if !held {
		return true
	}
	if !connected {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-changed:
		return true
	}
}

// allow returns the bytes that pass before a drop, and whether the link must be reset
// after them.
func (r *Relay) allow(d Direction, b []byte) (pass []byte, drop bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &r.flows[d]
	if !l.dropping {
		return b, false
	}
	if int64(len(b)) <= l.remaining {
		l.remaining -= int64(len(b))
		return b, false
	}
	l.dropping = false
	return b[:l.remaining], true
}
