package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/core/conf"
	"coltsfootloft/stand/ports"
)

// program is the path of the program under test. The tests run real processes, for what
// they guard against ends a process.
var program = flag.String("program", "", "`path` of the program under test; built from the sources if empty")

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	flag.Parse()
	// Programs inherit ignored signals, but not handled ones.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	if *program != "" {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "coltsfootloft")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	*program = filepath.Join(dir, "coltsfootloft")
	if out, err := exec.Command("go", "build", "-o", *program, ".").CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, string(out), err)
		return 1
	}
	return m.Run()
}

// process is a running host.
type process struct {
	cmd      *exec.Cmd
	settings conf.EntrySettings
	path     string
	out      lines
	done     chan struct{}
}

// lines collects the output of a process.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

func (l *lines) contains(words string) bool { return strings.Contains(l.String(), words) }

// prepare returns an entry host that has settings and was not started. No store answers it.
func prepare(t *testing.T) *process {
	t.Helper()
	list, err := ports.Choose("127.0.92.1", 4)
	assert.NilError(t, err)
	p := &process{
		settings: conf.EntrySettings{
			Name:         "host-1",
			Domain:       "north",
			Listen:       list[0],
			Ready:        list[1],
			Peer:         list[2],
			Store:        list[3],
			Control:      list[3],
			MemoryMB:     64,
			WithdrawalMS: 2000,
			DrainMS:      2000,
			GraceS:       1,
		},
		path: filepath.Join(t.TempDir(), "entry.jsonc"),
		done: make(chan struct{}),
	}
	assert.NilError(t, os.WriteFile(p.path, p.source(t), 0o600))
	p.prepareCommand()
	return p
}

// prepareCommand sets the command of an entry host.
func (p *process) prepareCommand() {
	p.cmd = exec.Command(*program, "entry")
	p.cmd.Env = append(os.Environ(), settingsEnv+"="+p.path)
	p.cmd.Stdout = &p.out
	p.cmd.Stderr = &p.out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}

// source returns the settings file.
func (p *process) source(t *testing.T) []byte {
	t.Helper()
	b, err := json.Marshal(p.settings)
	assert.NilError(t, err)
	return b
}

// start starts the process. The end of the test kills it.
func (p *process) start(t *testing.T) {
	t.Helper()
	assert.NilError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // await reads the exit code
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("printed:\n%s", p.out.String())
		}
	})
}

// signal sends a signal.
func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// awaitLine waits until the process has printed the words.
func (p *process) awaitLine(t *testing.T, words string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !strings.Contains(p.out.String(), words); time.Sleep(2 * time.Millisecond) {
		if p.ended() || time.Now().After(end) {
			t.Fatalf("%q not printed; ended %v", words, p.ended())
		}
	}
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// await waits for the end of the process and returns its exit code, as a shell gives it.
func (p *process) await(t *testing.T, limit time.Duration) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(limit):
		t.Fatalf("did not end within %s", limit)
	}
	status, _ := p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	if status.Signaled() {
		return 128 + int(status.Signal())
	}
	return status.ExitStatus()
}

// awaitEnd checks that the last line has the reason for the end of the process.
func (p *process) awaitEnd(t *testing.T, words string) {
	t.Helper()
	all := strings.Split(strings.TrimSpace(p.out.String()), "\n")
	last := all[len(all)-1]
	assert.Assert(t, strings.Contains(last, "host ended") && strings.Contains(last, words), last)
}
