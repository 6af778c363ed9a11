package peer

import (
	"fmt"
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// counters counts the messages and bytes that this host sends, by duty.
type counters struct {
	set *metrics.Set

	mu     sync.Mutex
	duties map[string]*dutyCounter
	wire   *metrics.Counter
}

type dutyCounter struct {
	messages *metrics.Counter
	bytes    *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	if set == nil {
		set = metrics.NewSet()
	}
	return &counters{
		set:    set,
		duties: make(map[string]*dutyCounter),
		wire:   set.GetOrCreateCounter("coltsfootloft_peer_wire_sent_bytes_total"),
	}
}

func (c *counters) duty(name string) *dutyCounter {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.duties[name]
	if d == nil {
		d = &dutyCounter{
			messages: c.set.GetOrCreateCounter(fmt.Sprintf("coltsfootloft_peer_sent_messages_total{duty=%q}", name)),
			bytes:    c.set.GetOrCreateCounter(fmt.Sprintf("coltsfootloft_peer_sent_bytes_total{duty=%q}", name)),
		}
		c.duties[name] = d
	}
	return d
}

func (c *counters) countSent(duty string, bytes int) {
	d := c.duty(duty)
	d.messages.Inc()
	d.bytes.Add(bytes)
}

// Sent returns how many requests and answers of the duty this host has sent, and
// their bytes, including headers but not the overhead of yamux, TLS and TCP.
func (l *Links) Sent(duty string) (messages, bytes uint64) {
	l.prepare()
	d := l.counts.duty(duty)
	return d.messages.Get(), d.bytes.Get()
}

// WireSent returns the bytes that this host has written to links for all duties,
// including the overhead of yamux but not that of TLS and TCP.
func (l *Links) WireSent() uint64 {
	l.prepare()
	return l.counts.wire.Get()
}

// countedConn counts the bytes written to a link.
type countedConn struct {
	net.Conn
	wire *metrics.Counter
}

// Write counts the bytes that the connection accepted.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.Add(n)
	return n, err
}
