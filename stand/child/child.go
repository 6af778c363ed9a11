// Package child runs a program as a separate process, for tests of whole deployments. It tells
// how the process ended and how much memory it had at its peak, and controls the reading of its
// standard output. A process does not outlive the one that started it.
package child

import (
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is a running or ended process.
type Process struct {
	command *exec.Cmd
	output  *os.File
	log     *os.File
	reading sync.Mutex // held while nobody reads the standard output
	started time.Time
	peak    atomic.Int64
	copied  chan struct{}
	done    chan struct{}
	end     End
}

// End is how a process ended.
type End struct {
	// Code is the exit code; -1 if a signal ended the process.
	Code int
	// Signal is the signal that ended the process; 0 if it exited.
	Signal syscall.Signal
	// Started and At are the times of its start and its end.
	Started, At time.Time
	// PeakKB is the largest resident memory that [Process.SamplePeak] has seen, in KB.
	PeakKB int64
}

// String returns the exit code or the signal.
func (e End) String() string {
	if e.Signal != 0 {
		return "signal " + strconv.Itoa(int(e.Signal)) + " (" + e.Signal.String() + ")"
	}
	return "exit " + strconv.Itoa(e.Code)
}

// outputWait is how long the end of a process waits for its last output to be read.
const outputWait = 200 * time.Millisecond

// starts runs functions on one thread that never ends: the system kills a process when
// the thread that started it ends.
var starts = sync.OnceValue(func() chan<- func() {
	c := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range c {
			f()
		}
	}()
	return c
})

// Start runs a program with these arguments and environment. Its standard output is
// appended to the file log, its standard error to the file log.err.
func Start(log string, env []string, path string, args ...string) (*Process, error) {
	p := &Process{
		command: exec.Command(path, args...), //nolint:gosec,noctx // what to run is the test's choice
		copied:  make(chan struct{}),
		done:    make(chan struct{}),
	}
	p.command.Env = env
	p.command.SysProcAttr = &syscall.SysProcAttr{
		Setpgid:   true,
		Pdeathsig: syscall.SIGKILL,
	}
	if err := p.start(log); err != nil {
		return nil, errors.Wrap(err, "start "+path)
	}
	go p.copyOutput()
	go p.wait()
	return p, nil
}

func (p *Process) start(log string) error {
	const flags = os.O_CREATE | os.O_APPEND | os.O_WRONLY
	stderr, err := os.OpenFile(log+".err", flags, 0o600)
	if err != nil {
		return errors.Wrap(err, "standard error")
	}
	defer stderr.Close()
	if p.log, err = os.OpenFile(log, flags, 0o600); err != nil {
		return errors.Wrap(err, "log")
	}
	output, input, err := os.Pipe()
	if err != nil {
		return errors.Wrap(err, "standard output")
	}
	defer input.Close()
	p.output = output
	p.command.Stdout = input
	p.command.Stderr = stderr
	result := make(chan error)
	p.started = time.Now()
	starts() <- func() { result <- p.command.Start() }
	if err := <-result; err != nil {
		p.output.Close()
		p.log.Close()
		return errors.Wrap(err, "process")
	}
	return nil
}

// copyOutput appends the standard output to the log until it ends or is closed.
func (p *Process) copyOutput() {
	defer close(p.copied)
	defer p.log.Close()
	b := make([]byte, 32<<10)
	for {
		p.reading.Lock()
		p.reading.Unlock() //nolint:staticcheck // waits while nobody is to read
		n, err := p.output.Read(b)
		_, _ = p.log.Write(b[:n])
		if err != nil {
			return
		}
	}
}

func (p *Process) wait() {
	_ = p.command.Wait()
	p.end = End{
		Code:    p.command.ProcessState.ExitCode(),
		Started: p.started,
		At:      time.Now(),
		PeakKB:  p.peak.Load(),
	}
	if s, ok := p.command.ProcessState.Sys().(syscall.WaitStatus); ok && s.Signaled() {
		p.end.Signal = s.Signal()
	}
	select {
	case <-p.copied: // so that the log is complete
	case <-time.After(outputWait):
	}
	close(p.done)
}

// PID returns the id of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Started returns when the process was started.
func (p *Process) Started() time.Time { return p.started }

// Done is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// End waits for the end of the process and tells how it ended.
func (p *Process) End() End {
	<-p.done
	return p.end
}

// Signal sends a signal to the process, if it has not ended.
func (p *Process) Signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// Handles reports whether the process has a handler for a signal, or ignores it. Until its
// program is loaded, it does neither, and the signal ends it.
func (p *Process) Handles(s syscall.Signal) bool {
	for _, name := range []string{"SigIgn:", "SigCgt:"} {
		set, err := strconv.ParseUint(p.status(name), 16, 64)
		if err == nil && set>>(uint(s)-1)&1 == 1 {
			return true
		}
	}
	return false
}

// status returns a field of the status of the process; empty if it has ended.
func (p *Process) status(name string) string {
	status, _ := os.ReadFile("/proc/" + strconv.Itoa(p.PID()) + "/status")
	_, rest, _ := strings.Cut(string(status), name)
	line, _, _ := strings.Cut(rest, "\n")
	return strings.TrimSpace(strings.TrimSuffix(line, "kB"))
}

// HoldOutput leaves the standard output unread for a time.
func (p *Process) HoldOutput(d time.Duration) {
	p.reading.Lock()
	time.AfterFunc(d, p.reading.Unlock)
}

// CloseOutput ends the reader of the standard output.
func (p *Process) CloseOutput() { p.output.Close() }

// SamplePeak reads the largest resident memory so far, in KB. It returns the last reading
// if the process has ended.
func (p *Process) SamplePeak() int64 {
	if n, err := strconv.ParseInt(p.status("VmHWM:"), 10, 64); err == nil {
		p.peak.Store(max(n, p.peak.Load()))
	}
	return p.peak.Load()
}
