package edge

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/conf"
)

const (
	// smallMemoryMB is the memory of the smallest hosts of the users' deployments.
	smallMemoryMB = 136
	// herdSize is one less than the maximum number of sessions.
	herdSize = 2499
)

// hostProcess is an entry host that runs as a process of its own.
type hostProcess struct {
	*testHost
	pid int
	// peak is the greatest sum of resident memory and bytes in sockets seen, in bytes.
	peak atomic.Int64
	done chan struct{}
}

// startProcess builds the program and runs a host of the fleet with smallMemoryMB. The test
// fails if the process has ended by itself.
func (f *fleet) startProcess() *hostProcess {
	t := f.t
	dir := t.TempDir()
	binary := filepath.Join(dir, "coltsfootloft")
	out, err := exec.Command("go", "build", "-o", binary, "coltsfootloft/cmd/coltsfootloft").CombinedOutput()
	assert.NilError(t, err, string(out))
	settings := conf.EntrySettings{
		Name:         "host-1",
		Domain:       "domain-1",
		Listen:       freeAddress(t, "127.0.62.1"),
		Ready:        freeAddress(t, "127.0.62.1"),
		Peer:         freeAddress(t, "127.0.62.1"),
		Store:        f.store.Listener.Addr().String(),
		Control:      f.store.Listener.Addr().String(),
		MemoryMB:     smallMemoryMB,
		WithdrawalMS: 5000,
		DrainMS:      3000,
		GraceS:       1,
	}
	b, err := json.Marshal(settings)
	assert.NilError(t, err)
	path := filepath.Join(dir, "entry.jsonc")
	assert.NilError(t, os.WriteFile(path, b, 0o600))
	var errOut bytes.Buffer
	c := exec.Command(binary, "entry", "-settings", path)
	c.Stderr = &errOut
	assert.NilError(t, c.Start())
	p := &hostProcess{
		testHost: &testHost{settings: settings},
		pid:      c.Process.Pid,
		done:     make(chan struct{}),
	}
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	t.Cleanup(func() {
		select {
		case err := <-ended:
			t.Errorf("the process ended by itself: %v %s", err, errOut.String())
		default:
			_ = c.Process.Signal(syscall.SIGTERM)
			<-ended
		}
		close(p.done)
	})
	go p.watchMemory()
	f.await("a host that is ready", 10*time.Second, func() bool { return p.ready(t) })
	f.awaitServed(p)
	return p
}

// watchMemory records the peak of the process's memory: what is resident, what it has not read
// of what its callers sent, and what they have not received of what it wrote.
func (p *hostProcess) watchMemory() {
	for {
		if n := p.memory(); n > p.peak.Load() {
			p.peak.Store(n)
		}
		select {
		case <-p.done:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (p *hostProcess) memory() int64 {
	return p.statusKB("VmRSS:")<<10 + socketBytes(p.settings.Listen)
}

// statusKB returns a size in /proc/PID/status, in KiB; 0 if there is none.
func (p *hostProcess) statusKB(field string) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), field)
	n, _ := strconv.ParseInt(strings.Fields(rest + " 0")[0], 10, 64)
	return n
}

// socketBytes returns how many bytes the kernel holds for the connections of a listening
// address.
func socketBytes(address string) int64 {
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	a := net.TCPAddr{}
	if r, err := net.ResolveTCPAddr("tcp", address); err == nil {
		a = *r
	}
	ip := a.IP.To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port)
	const listening = "0A"
	total := int64(0)
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) < 5 || f[1] != local || f[3] == listening {
			continue
		}
		for queue := range strings.SplitSeq(f[4], ":") {
			n, _ := strconv.ParseInt(queue, 16, 64)
			total += n
		}
	}
	return total
}

// assertPeak fails the test if the process took more memory than it may.
func (p *hostProcess) assertPeak(t *testing.T) {
	t.Helper()
	const limit = smallMemoryMB << 20
	high := p.statusKB("VmHWM:") << 10
	t.Logf("peak: resident %d MiB, with bytes in sockets %d MiB; limit %d MiB", high>>20, p.peak.Load()>>20, smallMemoryMB)
	assert.Assert(t, high < limit, "resident %d bytes", high)
	assert.Assert(t, p.peak.Load() < limit, "resident and in sockets %d bytes", p.peak.Load())
}

// herd starts n sessions, calls misbehave with the connection of each, and returns a function
// that closes them.
func (p *hostProcess) herd(t *testing.T, n int, misbehave func(i int, c *client)) (leave func()) {
	t.Helper()
	const parallel = 50
	clients := make([]*client, n)
	next := atomic.Int64{}
	var wg sync.WaitGroup
	for range parallel {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				i := int(next.Add(1)) - 1
				if i >= n {
					return
				}
				c, code := connect(t, p.testHost, "file", "key-arima")
				if code != "" {
					t.Errorf("session %d: %s", i, code)
					return
				}
				clients[i] = c
				misbehave(i, c)
			}
		}()
	}
	wg.Wait()
	return func() {
		for _, c := range clients {
			if c != nil {
				c.conn.Close()
			}
		}
	}
}

// writeSome writes as much of the text as the other end takes at once.
func writeSome(c *client, text string) { writeSomeFor(c, text, 2*time.Second) }

func writeSomeFor(c *client, text string, limit time.Duration) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(limit))
	_, _ = c.conn.Write([]byte(text))
}

// assertAnswered runs reads for a while. Each must be served, or refused with a code which
// promises that nothing is kept.
func assertAnswered(t *testing.T, c *client) {
	t.Helper()
	served := 0
	const tries = 20
	for range tries {
		a := c.do("READ k")
		assert.Assert(t, !a.lost, "no answer")
		assert.Assert(t, a.code == "" || a.code == "BUSY" || a.code == "ABORTED", a.code)
		if a.code == "" {
			served++
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("%d of %d reads served beside the herd", served, tries)
}

// awaitServed fails the test unless a new session is served soon.
func (f *fleet) awaitServed(p *hostProcess) {
	f.t.Helper()
	f.await("session that is served", 5*time.Second, func() bool {
		c, code := connect(f.t, p.testHost, "file", "key-arima")
		if code != "" {
			return false
		}
		defer c.conn.Close()
		a := c.do("WRITE k v")
		return a.code == "" && !a.lost
	})
}

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
	assert.Equal(t, m.Used(), int64(0))
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
		_, _ = c.r.Peek(1) // the answer has begun
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
			assert.Equal(t, m.Used(), int64(0))
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
			if b, _ := c.r.Peek(1); string(b) == "R" {
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
