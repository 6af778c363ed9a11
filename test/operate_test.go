package test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/admin"
)

// tool runs an operator command and returns its output and exit code.
func (f *fleet) tool(args ...string) (out string, exit int) {
	f.t.Helper()
	c := exec.Command(filepath.Join(binDir, "coltsfootloft"), args...)
	c.Env = append(c.Environ(), "COLTSFOOTLOFT_STORE="+f.store.Addresses[0])
	b, err := c.CombinedOutput()
	if c.ProcessState == nil {
		assert.NilError(f.t, err)
	}
	return string(b), c.ProcessState.ExitCode()
}

// toolStatus reads a host's status by the operator command.
func (f *fleet) toolStatus(e *entry) admin.Status {
	f.t.Helper()
	out, exit := f.tool("status", "-json", "-admin", e.admin)
	assert.Equal(f.t, exit, 0, out)
	var s admin.Status
	assert.NilError(f.t, json.Unmarshal([]byte(out), &s), out)
	return s
}

// TestApplyWaitsForEveryHost changes a setting by the operator command with -wait, which
// asks a single host whether the change is in force on all hosts.
func TestApplyWaitsForEveryHost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 2,
		hosts:   3,
		groups:  1,
	})
	dir := t.TempDir()
	apply := func(rate int) (string, int) {
		name := filepath.Join(dir, "teams", "alpha", "accounts", "main.jsonc")
		assert.NilError(t, os.MkdirAll(filepath.Dir(name), 0o700))
		assert.NilError(t, os.WriteFile(name, fmt.Appendf(nil, `{"rate": "%d/s"}`, rate), 0o600))
		return f.tool("config", "apply", "-wait", "-wait-limit", "6s", "-admin", f.hosts[0].admin, "-note", "test", dir)
	}
	f.await("all hosts", func() bool { return len(f.toolStatus(f.hosts[0]).Hosts) == 3 })

	out, exit := apply(900)
	assert.Equal(t, exit, 0, out)
	assert.Assert(t, strings.Contains(out, "in force on 3 hosts"), out)
	revision := f.toolStatus(f.hosts[0]).Settings.Revision
	for _, e := range f.hosts {
		s := f.toolStatus(e)
		assert.Equal(t, s.Settings.Revision, revision)
		assert.Assert(t, s.Settings.StoreReachable)
		for _, h := range s.Hosts {
			assert.Equal(t, h.Revision, revision, h.Name)
		}
	}
	f.await("the parts of the limits", func() bool { return showsShares(f.toolStatus(f.hosts[0])) })

	// A host that does not answer does not count as one that has the change.
	f.hosts[2].process.signal(syscall.SIGSTOP)
	out, exit = apply(800)
	f.hosts[2].process.signal(syscall.SIGCONT)
	assert.Assert(t, exit == 0 && strings.Contains(out, "in force on 2 hosts") || exit == 6 && strings.Contains(out, "h3"), out)
}

// showsShares reports whether a status shows the seats of the hosts and this host's
// shares of the limits.
func showsShares(s admin.Status) bool {
	taken := 0
	for _, h := range s.Hosts {
		taken += len(h.Seats)
	}
	return taken >= 2 && s.Accounts[0].Rate > 0 && s.Accounts[0].Tokens > 0 && s.Groups[0].Databases[0].Limit > 0
}
