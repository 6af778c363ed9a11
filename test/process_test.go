package test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// binDir is the directory with the programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	flag.Parse()
	dir, err := os.MkdirTemp("", "coltsfootloft")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	for _, name := range []string{"coltsfootloft", "standin"} {
		args := []string{"build", "-o", filepath.Join(dir, name)}
		if *measureNaive {
			args = append(args, "-tags", "naive")
		}
		out, err := exec.Command("go", append(args, "coltsfootloft/cmd/"+name)...).CombinedOutput()
		if err != nil {
			fmt.Fprintln(os.Stderr, string(out), err)
			return 1
		}
	}
	return m.Run()
}

// process is a running program under test.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{}
	err  error
}

// logBuffer collects the output of a process.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// start runs a program and waits until its output contains serving.
func start(t testing.TB, name, binary, serving string, args ...string) *process {
	t.Helper()
	p := launch(t, name, binary, args...)
	p.awaitLog(t, serving)
	return p
}

// launch runs a program without waiting until it serves. The end of the test kills it.
func launch(t testing.TB, name, binary string, args ...string) *process {
	t.Helper()
	p := &process{
		name: name,
		cmd:  exec.Command(filepath.Join(binDir, binary), args...),
		log:  &logBuffer{},
		done: make(chan struct{}),
	}
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s printed:\n%s", name, tail(p.log.String()))
		}
	})
	return p
}

// awaitLog waits until the output contains words.
func (p *process) awaitLog(t testing.TB, words string) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !strings.Contains(p.log.String(), words); {
		select {
		case <-p.done:
			t.Fatalf("%s ended: %v\n%s", p.name, p.err, p.log.String())
		case <-time.After(5 * time.Millisecond):
		}
		if time.Now().After(end) {
			t.Fatalf("%s did not print %q\n%s", p.name, words, p.log.String())
		}
	}
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process, also if it is frozen, and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

func tail(s string) string {
	const most = 6000
	if len(s) > most {
		return "…" + s[len(s)-most:]
	}
	return s
}
