package main

import (
	"flag"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var signalRuns = flag.Int("signal-runs", 20, "how often TestSignalsAtTheStart starts a host for each signal")

// TestSignalsAtTheStart guards against a host that SIGHUP ends in the first milliseconds,
// because it does not handle the signal yet. The test sends signals 0 to 5 ms after the
// start of the process. The kernel gives every signal its default effect until the program
// is loaded, so a few may still end it; without the constructor in signals_cgo.go most
// SIGHUPs do.
func TestSignalsAtTheStart(t *testing.T) {
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGALRM} {
		ended := 0
		for i := range *signalRuns {
			p := prepare(t)
			assert.NilError(t, p.cmd.Start())
			delay := time.Duration(i%6) * time.Millisecond
			for start := time.Now(); time.Since(start) < delay; {
				runtime.Gosched()
			}
			p.signal(s)
			p.signal(s)
			go func() {
				_ = p.cmd.Wait()
				close(p.done)
			}()
			for end := time.Now().Add(10 * time.Second); !p.ended() && !strings.Contains(p.out.String(), "host starting"); time.Sleep(time.Millisecond) {
				assert.Assert(t, time.Now().Before(end))
			}
			if p.ended() {
				ended++
				t.Logf("%s after %s: exit code %d", s, delay, p.await(t, time.Second))
			}
			_ = p.cmd.Process.Kill()
			<-p.done
		}
		t.Logf("%s: %d of %d hosts ended", s, ended, *signalRuns)
		assert.Assert(t, ended < *signalRuns/2, "%s ended %d of %d hosts", s, ended, *signalRuns)
	}
}

// ending are the signals that end or stop a host: those that no process can handle, those of a
// terminal, those that end a Go program with a goroutine trace, three that are reserved for the
// threads of the C library, and those that ask it to leave.
var ending = []syscall.Signal{
	syscall.SIGKILL, syscall.SIGSTOP,
	syscall.SIGTSTP, syscall.SIGTTIN, syscall.SIGTTOU,
	syscall.SIGQUIT, syscall.SIGILL, syscall.SIGTRAP, syscall.SIGABRT, syscall.SIGBUS, syscall.SIGFPE,
	syscall.SIGSEGV, syscall.SIGSTKFLT, syscall.SIGSYS,
	32, 33, 34,
	syscall.SIGTERM, syscall.SIGINT,
}

// TestSignalsOfRunningHost guards against a host that a signal ends that does not ask it to.
func TestSignalsOfRunningHost(t *testing.T) {
	p := prepare(t)
	p.start(t)
	awaitConnect(t, p.settings.Listen)
	for s := syscall.Signal(1); s < 65; s++ {
		if slices.Contains(ending, s) {
			continue
		}
		p.signal(s)
		time.Sleep(2 * time.Millisecond)
		assert.Assert(t, !p.ended(), "ended by %s", s)
	}
	p.awaitLine(t, "settings file read again")
	p.signal(syscall.SIGINT)
	p.awaitLine(t, "signal received; stopping")
	p.signal(syscall.SIGTERM)
	assert.Equal(t, p.await(t, 5*time.Second), 0)
	p.awaitEnd(t, `"reason":"signal","exit_code":0`)
}

// TestSignalsThatEndHost records the exit codes of signals that end a host at once.
func TestSignalsThatEndHost(t *testing.T) {
	for s, code := range map[syscall.Signal]int{
		syscall.SIGQUIT: 2, syscall.SIGABRT: 2, syscall.SIGSEGV: 2, syscall.SIGBUS: 2, syscall.SIGFPE: 2, syscall.SIGILL: 2,
		syscall.SIGTRAP: 2, syscall.SIGSYS: 2, syscall.SIGSTKFLT: 2, syscall.SIGKILL: 137, 32: 160, 34: 162,
	} {
		p := prepare(t)
		p.start(t)
		awaitConnect(t, p.settings.Listen)
		p.signal(s)
		got := p.await(t, 5*time.Second)
		assert.Equal(t, got, code, "%s", s)
		assert.Equal(t, strings.Contains(p.out.String(), "goroutine "), code == 2, "%s", s)
	}
}

// TestStopAtTheStart guards against a host that does not end, or ends as if it had failed, when it
// is stopped before it serves. Until main begins SIGTERM has its default effect, exit code 143.
func TestStopAtTheStart(t *testing.T) {
	codes := make(map[int]int)
	for i := range *signalRuns {
		p := prepare(t)
		p.start(t)
		time.Sleep(time.Duration(3*i%60) * time.Millisecond)
		p.signal(syscall.SIGTERM)
		code := p.await(t, 5*time.Second)
		codes[code]++
		assert.Assert(t, code == 0 || code == 143, code)
	}
	t.Logf("exit codes and their numbers: %v", codes)
}
