package test

import (
	"encoding/json"
	"os/exec"
	"path/filepath"

	"coltsfootloft/io/admin"

	"gotest.tools/v3/assert"
)

// tool runs an operators' command and returns what it prints and its exit code.
func (f *fleet) tool(args ...string) (out string, exit int) {
	f.t.Helper()
	c := exec.Command(filepath.Join(binaries, "coltsfootloft"), args...)
	c.Env = append(c.Environ(), "COLTSFOOTLOFT_STORE="+f.store.Addresses[0])
	b, err := c.CombinedOutput()
	if c.ProcessState == nil {
		assert.NilError(f.t, err)
	}
	return string(b), c.ProcessState.ExitCode()
}

// status asks a host.
func (f *fleet) status(e *entry) admin.Status {
	f.t.Helper()
	out, exit := f.tool("status", "-json", "-admin", e.admin)
	assert.Equal(f.t, exit, 0, out)
	var s admin.Status
	assert.NilError(f.t, json.Unmarshal([]byte(out), &s), out)
	return s
}
