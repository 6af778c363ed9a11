package main

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSettingsThatAreBeingWritten guards against a host that ends at its start, because the
// platform has not yet written all of its settings.
func TestSettingsThatAreBeingWritten(t *testing.T) {
	for name, first := range map[string]func(source []byte) []byte{
		"missing": func([]byte) []byte { return nil },
		"empty":   func([]byte) []byte { return []byte{} },
		"partial": func(s []byte) []byte { return s[:len(s)/2] },
	} {
		t.Run(name, func(t *testing.T) {
			p := prepare(t)
			source := p.source(t)
			if part := first(source); part == nil {
				assert.NilError(t, os.Remove(p.path))
			} else {
				assert.NilError(t, os.WriteFile(p.path, part, 0o600))
			}
			p.start(t)
			p.awaitLine(t, "settings file not valid; reading it again")
			assert.NilError(t, os.WriteFile(p.path, source, 0o600))
			p.awaitLine(t, "host starting")
			p.signal(syscall.SIGTERM)
			assert.Equal(t, p.await(t, 5*time.Second), 0)
		})
	}
}

// TestSettingsThatStayBad guards against a process that neither serves nor ends.
func TestSettingsThatStayBad(t *testing.T) {
	t.Parallel()
	p := prepare(t)
	p.settings.Domain = ""
	assert.NilError(t, os.WriteFile(p.path, p.source(t), 0o600))
	p.start(t)
	assert.Equal(t, p.await(t, settingsWait+5*time.Second), 2)
	p.awaitEnd(t, `"reason":"settings not valid","exit_code":2`)
}

// TestStopWhileSettingsAreAwaited guards against a host that has to be killed while it waits for
// its settings.
func TestStopWhileSettingsAreAwaited(t *testing.T) {
	p := prepare(t)
	assert.NilError(t, os.Remove(p.path))
	p.start(t)
	p.awaitLine(t, "settings file not valid; reading it again")
	p.signal(syscall.SIGTERM)
	assert.Equal(t, p.await(t, time.Second), 0)
}

// TestChangedSettingsFileEndsNoHost guards against a running host that ends because its file of
// settings is bad or missing, and against a change that is not logged.
func TestChangedSettingsFileEndsNoHost(t *testing.T) {
	t.Parallel()
	p := prepare(t)
	p.start(t)
	awaitConnect(t, p.settings.Listen)
	assert.NilError(t, os.WriteFile(p.path, []byte("{"), 0o600))
	p.signal(syscall.SIGHUP)
	p.awaitLine(t, "settings file not valid; reading it again")
	p.settings.Domain = "south"
	assert.NilError(t, os.WriteFile(p.path, p.source(t), 0o600))
	p.awaitLine(t, `"event":"settings file read again","signal":true,"changed":true`)
	p.settings.Domain = "north"
	next := filepath.Join(filepath.Dir(p.path), "next")
	assert.NilError(t, os.WriteFile(next, p.source(t), 0o600))
	assert.NilError(t, os.Rename(next, p.path))
	p.awaitLine(t, `"event":"settings file read again","signal":false,"changed":false`)
	assert.NilError(t, os.Remove(p.path))
	p.signal(syscall.SIGHUP)
	p.awaitLine(t, "settings file not reloaded; keeping the running settings")
	assert.Assert(t, !p.ended())
	assert.Equal(t, strings.Count(p.out.String(), "settings file read again"), 2)
	p.signal(syscall.SIGTERM)
	assert.Equal(t, p.await(t, 5*time.Second), 0)
}
