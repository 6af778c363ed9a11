package edge

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/entry"
)

// TestUnfinishedLinesFitMemory guards against a host that is killed because callers leave long
// lines unfinished: they were bounded in number, not in bytes.
func TestUnfinishedLinesFitMemory(t *testing.T) {
	f := startFleet(t, 0, nil)
	p := f.startProcess()
	good, code := connect(t, p.testHost, "file", "key-arima")
	assert.Equal(t, code, "")
	line := "QUERY q-1 WRITE k " + strings.Repeat("x", 60_000)
	leave := p.herd(t, herdSize, func(_ int, c *client) { writeSome(c, line) })
	assertAnswered(t, good)
	leave()
	f.awaitServed(p)
	p.assertPeak(t)
}

// TestStatementWithoutMemoryIsRefused guards against a wrong outcome of a statement that is
// larger than what is free: it did not run, and its session goes on.
func TestStatementWithoutMemoryIsRefused(t *testing.T) {
	f := startFleet(t, 1, nil)
	h := f.hosts[0]
	c, code := connect(t, h, "file", "key-arima")
	assert.Equal(t, code, "")
	m := h.edge.messages
	const step = 1 << 10
	taken := 0
	for m.Limit()-m.Used() > 100*step {
		assert.Assert(t, m.Take(0, step))
		taken += step
	}
	large := strings.Repeat("x", 60*step)
	assert.Equal(t, c.do("WRITE k "+large).code, "BUSY")
	c.must("WRITE k small")
	c.must("BEGIN")
	c.must("WRITE k changed")
	a := c.do("WRITE k " + large)
	assert.Equal(t, a.code, "BUSY")
	assert.Equal(t, a.state, "E")
	assert.Equal(t, c.do("COMMIT").code, "ABORTED")
	assert.DeepEqual(t, c.must("READ k").rows, []string{"small"})
	m.Give(taken)
	c.must("WRITE k " + large)
	assert.DeepEqual(t, c.must("READ k").rows, []string{large})
	f.await("memory given back", time.Second, func() bool { return m.Used() == 0 })
}

// TestSlowReadersFitMemory guards against a host that is killed because callers ask for large
// answers and don't read them.
func TestSlowReadersFitMemory(t *testing.T) {
	f := startFleet(t, 0, nil)
	p := f.startProcess()
	good, code := connect(t, p.testHost, "file", "key-arima")
	assert.Equal(t, code, "")
	good.must("WRITE large " + strings.Repeat("x", 900_000))
	leave := p.herd(t, 400, func(_ int, c *client) {
		_ = c.conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		writeSome(c, "QUERY q-1 READ large\r\n")
		_ = c.conn.SetReadDeadline(time.Now().Add(time.Second))
		_ = c.r.Await() // the answer has begun
	})
	assertAnswered(t, good)
	leave()
	f.awaitServed(p)
	p.assertPeak(t)
}

// TestAnswerWithoutMemoryIsRefused guards against a wrong outcome of a read whose answer is
// larger than what is free, at the host that the caller is connected to or at the one that
// owns the connection.
func TestAnswerWithoutMemoryIsRefused(t *testing.T) {
	f := startFleet(t, 2, nil)
	large := strings.Repeat("x", 60<<10)
	for _, h := range f.hosts {
		c, code := connect(t, h, "file", "key-arima")
		assert.Equal(t, code, "")
		c.must("WRITE k " + large)
		for _, full := range f.hosts {
			m := full.edge.messages
			const step = 1 << 10
			taken := 0
			for m.Limit()-m.Used() > 100*step {
				assert.Assert(t, m.Take(0, step))
				taken += step
			}
			a := c.do("READ k")
			if full == h {
				assert.Equal(t, a.code, "TOOBIG")
			}
			assert.Assert(t, a.code == "TOOBIG" || a.code == "" && a.rows[0] == large, a.code)
			assert.Equal(t, a.state, "I")
			c.must("WRITE small v")
			assert.DeepEqual(t, c.must("READ small").rows, []string{"v"})
			c.must("BEGIN READ")
			assert.Assert(t, c.do("READ k").code == "ABORTED" || full != h)
			c.do("ROLLBACK")
			m.Give(taken)
			f.await("memory given back", time.Second, func() bool { return m.Used() == 0 })
		}
	}
}

// TestSessionValuesFitMemory guards against a host that is killed because of the values that
// callers set in their sessions, which were bounded in number, not in bytes.
func TestSessionValuesFitMemory(t *testing.T) {
	f := startFleet(t, 0, nil)
	p := f.startProcess()
	good, code := connect(t, p.testHost, "file", "key-arima")
	assert.Equal(t, code, "")
	value := strings.Repeat("x", 30_000)
	leave := p.herd(t, 1500, func(_ int, c *client) {
		for i := range 4 {
			if a := c.do(fmt.Sprintf("SET v%d %s", i, value)); a.code != "" || a.lost {
				return
			}
		}
	})
	assertAnswered(t, good)
	leave()
	f.awaitServed(p)
	p.assertPeak(t)
}

// TestSessionValuesAreGivenBack guards against values that stay counted when they are replaced,
// when they are removed and when their session ends.
func TestSessionValuesAreGivenBack(t *testing.T) {
	f := startFleet(t, 1, nil)
	h := f.hosts[0]
	c, code := connect(t, h, "file", "key-arima")
	assert.Equal(t, code, "")
	long := strings.Repeat("x", 10_000)
	c.must("SET a " + long)
	c.must("PREPARE p READ " + long)
	assert.Assert(t, h.edge.values.Used() > 20_000)
	c.must("SET a short")
	c.must("DEALLOC p")
	assert.Assert(t, h.edge.values.Used() < 200)
	taken := int(h.edge.values.Limit() - h.edge.values.Used() - 10_000)
	for step := 1 << 10; taken >= step; taken -= step {
		assert.Assert(t, h.edge.values.Take(0, step))
	}
	assert.Equal(t, c.do("SET a "+long).code, "BUSY")
	c.must("SET b short")
	assert.DeepEqual(t, c.must("READ k").rows, []string{"-"})
	before := h.edge.values.Used()
	c.conn.Close()
	f.await("values given back", 5*time.Second, func() bool { return h.edge.values.Used() < before })
}

// TestRelayedStatementWithoutMemoryIsRefused guards against a wrong outcome of a statement for
// which the host that owns the connection has no memory: it did not run, and a transaction is
// aborted.
func TestRelayedStatementWithoutMemoryIsRefused(t *testing.T) {
	f := startFleet(t, 2, nil)
	large := strings.Repeat("x", 60<<10)
	relayed := 0
	for i, h := range f.hosts {
		c, code := connect(t, h, "file", "key-arima")
		assert.Equal(t, code, "")
		c.must("WRITE k small")
		m := f.hosts[1-i].edge.messages
		const step = 1 << 10
		taken := 0
		for m.Limit()-m.Used() > 100*step {
			assert.Assert(t, m.Take(0, step))
			taken += step
		}
		expected := "small"
		switch a := c.do("WRITE k " + large); a.code {
		case "BUSY":
			relayed++
		default:
			assert.Equal(t, a.code, "")
			expected = large
		}
		c.must("BEGIN")
		if a := c.do("WRITE k " + large); a.code != "" {
			assert.Equal(t, a.code, "ABORTED")
			assert.Equal(t, a.state, "E")
		}
		c.must("ROLLBACK")
		assert.DeepEqual(t, c.must("READ k").rows, []string{expected})
		m.Give(taken)
		c.must("WRITE k " + large)
		f.await("memory given back", time.Second, func() bool { return m.Used() == 0 && h.edge.messages.Used() == 0 })
	}
	assert.Assert(t, relayed > 0, "no statement was relayed")
}

// TestHerdsTogetherFitMemory guards against shares of the memory that fit only one at a time.
func TestHerdsTogetherFitMemory(t *testing.T) {
	f := startFleet(t, 0, nil)
	p := f.startProcess()
	good, code := connect(t, p.testHost, "file", "key-arima")
	assert.Equal(t, code, "")
	good.must("WRITE large " + strings.Repeat("x", 900_000))
	line := "QUERY q-1 WRITE k " + strings.Repeat("x", 60_000)
	value := strings.Repeat("x", 30_000)
	leave := p.herd(t, herdSize, func(i int, c *client) {
		_ = c.conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		switch i % 3 {
		case 0: // an answer that is not read, and a line that waits behind it
			writeSome(c, "QUERY q-1 READ large\r\n")
			_ = c.conn.SetReadDeadline(time.Now().Add(time.Second))
			if err := c.r.Await(); err == nil && c.r.Rest()[0] == 'R' {
				writeSomeFor(c, line, 10*time.Millisecond)
			}
		case 1:
			if a := c.do("SET v " + value); a.code == "" && !a.lost {
				c.do("SET w " + value)
			}
			writeSome(c, line)
		default:
			writeSome(c, line)
		}
	})
	assertAnswered(t, good)
	leave()
	f.awaitServed(p)
	p.assertPeak(t)
}

// TestSessionsFitMemory guards against a small host that accepts more sessions than it can
// hold, and against one of the users' sizes that accepts fewer than before.
func TestSessionsFitMemory(t *testing.T) {
	assert.Equal(t, sessionLimit(smallMemoryMB), entry.MaxSessions)
	assert.Assert(t, sessionLimit(32)*entry.SessionSize < 10<<20)
}
