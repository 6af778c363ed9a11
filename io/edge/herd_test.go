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
// fails if the process ends otherwise than by its signal to stop.
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
		close(p.done)
		_ = c.Process.Signal(syscall.SIGTERM)
		if err := <-ended; err != nil {
			t.Errorf("the process ended by itself: %v %s", err, errOut.String())
		}
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
