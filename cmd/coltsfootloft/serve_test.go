package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/ports"
)

// prepareServe returns a host of the command serve that was not started, its addresses for
// callers, hosts and the admin port, and its settings file. No store answers it.
func prepareServe(t *testing.T) (p *process, list []string) {
	t.Helper()
	list, err := ports.Choose("127.0.92.2", 4)
	assert.NilError(t, err)
	p = &process{
		path: filepath.Join(t.TempDir(), "host.jsonc"),
		done: make(chan struct{}),
	}
	const form = `{"name": "h1", "domain": "north", "listen": %q, "peer": %q, "admin": %q, "store": "http://%s", "log_format": "json"}`
	assert.NilError(t, os.WriteFile(p.path, fmt.Appendf(nil, form, list[0], list[1], list[2], list[3]), 0o600))
	p.cmd = exec.Command(*program, "serve", "-settings", p.path)
	p.cmd.Stdout = &p.out
	p.cmd.Stderr = &p.out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p, list
}

// TestServeSurvivesItsSurroundings guards against a host that a taken port, SIGHUP or the end of the
// reader of its log ends, or that has to be killed before it has settings.
func TestServeSurvivesItsSurroundings(t *testing.T) {
	for i, port := range []string{"callers", "hosts", "admin"} {
		t.Run(port, func(t *testing.T) {
			p, list := prepareServe(t)
			release := listen(t, list[i])
			r, w, err := os.Pipe()
			assert.NilError(t, err)
			defer r.Close()
			p.cmd.Stderr = w
			p.start(t)
			w.Close()
			awaitOutput(t, r, "address not free; trying again")
			r.Close()
			p.signal(syscall.SIGHUP)
			release()
			for _, a := range list[:3] {
				awaitConnect(t, a)
			}
			awaitLive(t, list[2])
			assert.Assert(t, !p.ended())
			p.signal(syscall.SIGTERM)
			assert.Equal(t, p.await(t, 5*time.Second), 0)
		})
	}
}

// TestServeEnds checks the last line of a host that ends before it has settings.
func TestServeEnds(t *testing.T) {
	p, list := prepareServe(t)
	p.start(t)
	awaitConnect(t, list[0])
	p.signal(syscall.SIGHUP)
	p.awaitLine(t, "hangup received")
	p.signal(syscall.SIGTERM)
	assert.Equal(t, p.await(t, 5*time.Second), 0)
	p.awaitEnd(t, `"reason":"drained","exit_code":0`)
}

// TestServeRefusesBadSettings checks the last line of a host with settings that are not valid.
func TestServeRefusesBadSettings(t *testing.T) {
	p, _ := prepareServe(t)
	assert.NilError(t, os.WriteFile(p.path, []byte("{"), 0o600))
	p.start(t)
	assert.Equal(t, p.await(t, 5*time.Second), 2)
	p.awaitEnd(t, `{"reason": "settings not valid", "exit_code": 2}`)
}

// awaitOutput reads until the words come.
func awaitOutput(t *testing.T, r *os.File, words string) {
	t.Helper()
	assert.NilError(t, r.SetReadDeadline(time.Now().Add(10*time.Second)))
	var got lines
	b := make([]byte, 4096)
	for {
		n, err := r.Read(b)
		assert.NilError(t, err, "%q not printed:\n%s", words, got.String())
		_, _ = got.Write(b[:n])
		if got.contains(words) {
			return
		}
	}
}

// awaitLive waits until the admin port answers.
func awaitLive(t *testing.T, admin string) {
	t.Helper()
	res, err := http.Get("http://" + admin + "/live")
	assert.NilError(t, err)
	res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusOK)
}
