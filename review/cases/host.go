package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program  = "target/coltsfootloft"
	template = "deploy/entry.jsonc"
)

// host is one host of the project, which runs as a process.
type host struct {
	world    *world
	name     string
	zone     string
	ip       string
	listen   string
	ready    string
	peer     string
	settings string // path of the settings file

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// placeholder matches a placeholder of the template.
var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)\}\}`)

// values returns what the platform fills into the template; the figures are those of the site
// wi-branchnews.
func (h *host) values() map[string]string {
	_, port, _ := net.SplitHostPort(h.peer)
	return map[string]string{
		"NodeName":         h.name,
		"Zone":             h.zone,
		"Ip":               h.ip,
		"Listen.Frontend":  h.listen,
		"Listen.Ready":     h.ready,
		"PortRange.0":      port,
		"platform.Address": h.world.toStore.listener.Addr().String(),
		"CloudApi.Address": h.world.toControl.listener.Addr().String(),
		"Limits.MemoryMb":  "206",
		"Limits.CpuShare":  "0.272",
		"Limits.Cores":     "1",
		"Bounds.RevokeMs":  "5000",
		"Bounds.DrainMs":   "7000",
		"Bounds.GraceS":    "6",
	}
}

// start starts the process with the command of the deploy file.
func (h *host) start() {
	text, err := os.ReadFile(template)
	if err != nil {
		failf("template: %v", err)
	}
	values := h.values()
	filled := placeholder.ReplaceAllStringFunc(string(text), func(p string) string {
		v, ok := values[strings.Trim(p, "{}")]
		if !ok {
			failf("no value for %s", p)
		}
		return v
	})
	root, err := os.OpenRoot(h.world.folder)
	if err != nil {
		failf("settings: %v", err)
	}
	defer func() { _ = root.Close() }()
	if err := root.WriteFile(filepath.Base(h.settings), []byte(filled), 0o600); err != nil {
		failf("settings: %v", err)
	}
	c := exec.CommandContext(context.Background(), program, "entry")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "COLTSFOOTLOFT_CONFIG=" + h.settings}
	c.Stdout = &logLines{host: h}
	c.Stderr = c.Stdout
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		failf("start of %s: %v", h.name, err)
	}
	h.world.record.add(h.name, "process %d starts", c.Process.Pid)
	ended := make(chan struct{})
	h.mu.Lock()
	h.command = c
	h.ended = ended
	h.mu.Unlock()
	go func() {
		err := c.Wait()
		h.world.record.add(h.name, "process %d ended: %v", c.Process.Pid, err)
		close(ended)
	}()
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil && h.command.Process != nil {
		h.world.record.add(h.name, "gets signal %q", s.String())
		_ = h.command.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
		return
	default:
	}
	h.signal(syscall.SIGKILL)
	<-ended
}

// isReady asks the host the question of the platform's balancer.
func (h *host) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/v1/ready", nil)
	if err != nil {
		return false
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the host takes clients.
func (h *host) awaitReady() {
	deadline := time.Now().Add(readyTimeout)
	for !h.isReady() {
		if time.Now().After(deadline) {
			failf("%s is not ready within %s", h.name, readyTimeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.world.record.add(h.name, "is ready")
}

// logLines adds the log of a host to the record.
type logLines struct {
	host *host
	rest string
}

// Write adds all complete lines.
func (l *logLines) Write(b []byte) (int, error) {
	lines := strings.Split(l.rest+string(b), "\n")
	l.rest = lines[len(lines)-1]
	for _, line := range lines[:len(lines)-1] {
		l.host.world.record.add(l.host.name, "log %s", shorten(line))
	}
	return len(b), nil
}

// shorten drops the fields that repeat in each line of a host's log.
func shorten(line string) string {
	var fields map[string]any
	if json.Unmarshal([]byte(line), &fields) != nil {
		return line
	}
	for _, k := range []string{"ts", "time", "level", "host"} {
		delete(fields, k)
	}
	b, err := json.Marshal(fields)
	if err != nil {
		return line
	}
	return string(b)
}
