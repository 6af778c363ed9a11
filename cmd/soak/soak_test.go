package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/child"
)

// TestNoProcessEndsByItself guards against hosts that end by themselves, or break a promise, beside
// signals, faults of their surroundings and callers that misuse the protocol.
func TestNoProcessEndsByItself(t *testing.T) {
	o := options{
		seed:     20261206,
		duration: 40 * time.Second,
		hosts:    8,
		faults:   allMoves(),
		out:      os.TempDir(), // stays if the run fails
		memoryMB: 136,
	}
	assert.NilError(t, o.run(t.Context()))
}

// TestEndsAreNamed guards against an end that is taken for one of those which were caused.
func TestEndsAreNamed(t *testing.T) {
	for _, c := range []struct {
		cause cause
		end   child.End
		own   bool
	}{
		{cause{}, child.End{Code: 0}, true},
		{cause{}, child.End{Code: 2}, true},
		{cause{}, child.End{Code: -1, Signal: syscall.SIGKILL}, true},
		{cause{term: true}, child.End{Code: 0}, false},
		{cause{term: true}, child.End{Code: 1}, true},
		{cause{term: true}, child.End{Code: -1, Signal: syscall.SIGTERM}, false},
		{cause{term: true}, child.End{Code: -1, Signal: syscall.SIGPIPE}, true},
		{cause{kill: true}, child.End{Code: -1, Signal: syscall.SIGKILL}, false},
		{cause{kill: true}, child.End{Code: -1, Signal: syscall.SIGHUP}, true},
		{cause{kill: true}, child.End{Code: 2}, true},
		{cause{kill: true, memory: true}, child.End{Code: -1, Signal: syscall.SIGKILL}, true},
		{cause{}, child.End{Code: -1, Signal: syscall.SIGHUP}, true},
		{cause{unloaded: true}, child.End{Code: -1, Signal: syscall.SIGHUP}, false},
		{cause{unloaded: true}, child.End{Code: 2}, true},
		{cause{term: true, kill: true}, child.End{Code: 0}, false},
	} {
		reason, own := c.cause.classify(c.end)
		assert.Equal(t, own, c.own, reason)
	}
}
