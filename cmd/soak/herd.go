package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// herdID starts the ids of the statements of herds. They are not checked.
const herdID = "herd-"

// sendHerd opens many connections to a few hosts, which misuse the protocol.
func sendHerd(ctx context.Context, s *soak, random *rand.Rand) {
	kinds := []func(*member){(*member).leaveLine, (*member).leaveLine, (*member).leaveAnswers, (*member).sendNoise, (*member).sendOddText, (*member).sendLongLines}
	kind := kinds[random.IntN(len(kinds))]
	d := between(random, 500*time.Millisecond, 5*time.Second)
	count := []int{100, 300, 1000, 2500}[random.IntN(4)]
	size := min([]int{1 << 10, 60 << 10, 300 << 10, 1 << 20}[random.IntN(4)], herdBytes/count) // of a line
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	var wait sync.WaitGroup
	for range 1 + random.IntN(2) {
		h := s.anyHost(random)
		for i := range count {
			m := &member{
				host:   h,
				random: rand.New(rand.NewPCG(random.Uint64(), uint64(i))),
				ctx:    ctx,
				size:   size,
				number: i,
				route:  routeKinds[i%len(routeKinds)] + "-" + s.groups[i%len(s.groups)].Name,
			}
			wait.Go(func() { kind(m) })
		}
	}
	wait.Wait()
}

// herdBytes bounds what the connections of a herd to one host send together.
const herdBytes = 300 << 20

// member is one connection of a herd.
type member struct {
	host   *host
	random *rand.Rand
	ctx    context.Context //nolint:containedctx // of the herd
	size   int
	number int
	route  string
}

// dial connects to an address; the connection ends with the herd.
func (m *member) dial(address string) net.Conn {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.DialContext(m.ctx, "tcp", address)
	if err != nil {
		return nil
	}
	context.AfterFunc(m.ctx, func() { c.Close() })
	return c
}

// open starts a session and reads its answer; nil without one.
func (m *member) open() net.Conn {
	c := m.dial(m.host.settings.Listen)
	if c == nil {
		return nil
	}
	_, _ = fmt.Fprintf(c, "START %s key-%d\r\n", m.route, m.number%tenants)
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	if n, err := c.Read(make([]byte, 64)); n == 0 || err != nil {
		c.Close()
		return nil
	}
	return c
}

// leaveLine sends most of a line and leaves it there.
func (m *member) leaveLine() {
	c := m.open()
	if c == nil {
		return
	}
	_, _ = fmt.Fprintf(c, "QUERY %s%d WRITE herd ", herdID, m.number)
	if _, err := c.Write(bytes.Repeat([]byte{'x'}, max(0, m.size-100))); err == nil {
		<-m.ctx.Done()
	}
	c.Close()
}

// leaveAnswers sends many statements and reads no answer, or slowly.
func (m *member) leaveAnswers() {
	c := m.open()
	if c == nil {
		return
	}
	defer c.Close()
	for i := range 200 {
		if _, err := fmt.Fprintf(c, "QUERY %s%d-%d READ herd\r\n", herdID, m.number, i); err != nil {
			return
		}
	}
	if m.random.IntN(2) == 0 {
		<-m.ctx.Done()
		return
	}
	_ = c.SetReadDeadline(time.Time{})
	for m.ctx.Err() == nil {
		if _, err := c.Read(make([]byte, 16)); err != nil {
			return
		}
		rest(m.ctx, 50*time.Millisecond)
	}
}

// sendNoise sends random bytes to any of the host's ports, some of them after a sound start.
func (m *member) sendNoise() {
	c := m.dial(m.host.addresses()[m.random.IntN(3)])
	if c == nil {
		return
	}
	defer c.Close()
	starts := []string{"", "", "START ", "GET /metrics HTTP/1.1\r\n", "QUERY 1 ", "\x00\x00\x00\x08"}
	b := make([]byte, m.random.IntN(4096))
	for i := range b {
		b[i] = byte(m.random.Uint32())
	}
	if _, err := c.Write(append([]byte(starts[m.random.IntN(len(starts))]), b...)); err != nil {
		return
	}
	rest(m.ctx, between(m.random, 0, time.Second))
}

// sendOddText sends sound statements whose texts are not UTF-8 or have odd forms.
func (m *member) sendOddText() {
	c := m.open()
	if c == nil {
		return
	}
	defer c.Close()
	odd := string([]byte{'c', 0xe9, 0xff, byte(m.random.Uint32())%96 + 160})
	for i, text := range []string{
		"SET " + odd + " " + odd, "PREPARE " + odd + " READ " + odd, "EXEC " + odd + " " + odd, "READ " + odd, "EXEC", "PREPARE x",
		"SET", "BEGIN " + odd, "COMMIT " + odd, "DEALLOC " + odd, odd, "READ  ", "AFTERLSN 1.1 READ x", "RESET", "STATUS", "DEMOTE 99",
	} {
		if _, err := fmt.Fprintf(c, "QUERY %s%d-%d%s %s\r\n", herdID, m.number, i, odd, text); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := c.Read(make([]byte, 4096)); err != nil {
			return
		}
	}
}

// sendLongLines sends whole lines of up to 1 MiB. Few of them reach a database, which
// keeps them.
func (m *member) sendLongLines() {
	c := m.open()
	if c == nil {
		return
	}
	defer c.Close()
	text := "NONE"
	if m.number < 3 {
		text = "READ"
	}
	if _, err := fmt.Fprintf(c, "QUERY %s%d %s %s\r\n", herdID, m.number, text, bytes.Repeat([]byte{'x'}, max(0, m.size-100))); err != nil {
		return
	}
	rest(m.ctx, between(m.random, 0, 2*time.Second))
}
