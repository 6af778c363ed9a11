package child

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func start(t *testing.T, script string) (p *Process, log string) {
	t.Helper()
	log = filepath.Join(t.TempDir(), "log")
	p, err := Start(log, []string{"PATH=" + os.Getenv("PATH")}, "sh", "-c", script)
	assert.NilError(t, err)
	t.Cleanup(func() {
		p.Signal(syscall.SIGKILL)
		<-p.Done()
	})
	return p, log
}

// TestEndsAreTold guards against an end whose code or signal is lost.
func TestEndsAreTold(t *testing.T) {
	p, log := start(t, "echo out; echo err >&2; exit 3")
	assert.Equal(t, p.End().String(), "exit 3")
	for name, want := range map[string]string{log: "out\n", log + ".err": "err\n"} {
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if b, _ := os.ReadFile(name); string(b) == want {
				break
			}
		}
		b, err := os.ReadFile(name)
		assert.NilError(t, err)
		assert.Equal(t, string(b), want)
	}
	p, _ = start(t, "trap '' HUP; exec sleep 100")
	for end := time.Now().Add(5 * time.Second); !p.Handles(syscall.SIGHUP); {
		assert.Assert(t, time.Now().Before(end), "SIGHUP is ignored")
	}
	assert.Assert(t, !p.Handles(syscall.SIGTERM))
	assert.Assert(t, p.SamplePeak() > 0)
	p.Signal(syscall.SIGTERM)
	assert.Equal(t, p.End().Signal, syscall.SIGTERM)
	assert.Assert(t, p.End().PeakKB > 0)
	p.Signal(syscall.SIGTERM) // an ended process gets none
}

// TestOutputIsHeldAndClosed guards against faults of the standard output that do not reach the process.
func TestOutputIsHeldAndClosed(t *testing.T) {
	p, log := start(t, "trap '' PIPE; while :; do echo line || exit 7; done")
	size := func() int {
		b, _ := os.ReadFile(log)
		return len(b)
	}
	await := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !ok(); {
			assert.Assert(t, time.Now().Before(end), what)
		}
	}
	p.HoldOutput(2 * time.Second)
	var held int
	await("output that is left", func() bool {
		held = size()
		time.Sleep(50 * time.Millisecond)
		return size() == held
	})
	await("output that is read again", func() bool { return size() > held })
	p.CloseOutput()
	assert.Equal(t, p.End().Code, 7)
}
