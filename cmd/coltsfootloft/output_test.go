package main

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var droppedLines = regexp.MustCompile(`(?m)^coltsfootloft_log_lines_dropped_total (\d+)$`)

// dropped returns the metric with the number of log lines that were dropped; 0 if there is none.
func dropped(p *process) int {
	res, err := http.Get("http://" + p.settings.Ready + "/metrics")
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	b, _ := io.ReadAll(res.Body)
	m := droppedLines.FindSubmatch(b)
	if m == nil {
		return 0
	}
	n, _ := strconv.Atoi(string(m[1]))
	return n
}

// TestBrokenOutputDoesNotEndHost guards against a host that SIGPIPE ends, because the reader
// of its standard output or error has ended.
func TestBrokenOutputDoesNotEndHost(t *testing.T) {
	p := prepare(t)
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	p.cmd.Stdout = w
	p.cmd.Stderr = w
	p.start(t)
	w.Close()
	awaitConnect(t, p.settings.Listen)
	r.Close()
	for end := time.Now().Add(10 * time.Second); dropped(p) < 3; time.Sleep(20 * time.Millisecond) {
		if p.ended() {
			t.Fatalf("ended with exit code %d", p.await(t, time.Second))
		}
		assert.Assert(t, time.Now().Before(end))
	}
	p.signal(syscall.SIGTERM)
	assert.Equal(t, p.await(t, 5*time.Second), 0)
}

// fullPipe returns both ends of a pipe that takes nothing more.
func fullPipe(t *testing.T, blocking bool) (r, w *os.File) {
	t.Helper()
	var fds [2]int
	assert.NilError(t, syscall.Pipe2(fds[:], syscall.O_CLOEXEC))
	assert.NilError(t, syscall.SetNonblock(fds[1], true))
	for _, size := range []int{4096, 1} {
		for err := error(nil); err == nil; {
			_, err = syscall.Write(fds[1], make([]byte, size))
		}
	}
	assert.NilError(t, syscall.SetNonblock(fds[1], !blocking))
	return os.NewFile(uintptr(fds[0]), "r"), os.NewFile(uintptr(fds[1]), "w")
}

// TestUnreadOutputDelaysNothing guards against a host that waits at its start, while it serves
// or at its end for a reader of its log that reads nothing.
func TestUnreadOutputDelaysNothing(t *testing.T) {
	for name, blocking := range map[string]bool{"blocking": true, "not blocking": false} {
		t.Run(name, func(t *testing.T) {
			p := prepare(t)
			r, w := fullPipe(t, blocking)
			defer r.Close()
			p.cmd.Stdout = w
			p.cmd.Stderr = w
			p.start(t)
			defer w.Close()
			awaitConnect(t, p.settings.Listen)
			status, err := readyStatus(p.settings.Ready)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusServiceUnavailable)
			p.signal(syscall.SIGTERM)
			assert.Equal(t, p.await(t, 5*time.Second), 0)
		})
	}
}

// TestRefusedSettingsEndHostWithoutReader guards against a process that neither starts nor ends,
// because nobody reads why.
func TestRefusedSettingsEndHostWithoutReader(t *testing.T) {
	p := prepare(t)
	p.cmd.Env = append(os.Environ(), settingsEnv+"=")
	r, w := fullPipe(t, true)
	defer r.Close()
	p.cmd.Stdout = w
	p.cmd.Stderr = w
	p.start(t)
	defer w.Close()
	assert.Equal(t, p.await(t, 5*time.Second), 2)
}
