package main

import (
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/keyval"
)

// TestEndOfEarlierRunIsLogged guards against a host that was killed without a trace in any log. The
// host that is started again says so, and one that left in good order does not.
func TestEndOfEarlierRunIsLogged(t *testing.T) {
	first := prepare(t)
	l, err := net.Listen("tcp", first.settings.Store)
	assert.NilError(t, err)
	store := &keyval.Server{Listener: l}
	go func() { _ = store.Run(t.Context()) }()
	const event = "registration of an earlier run"
	run := func(end syscall.Signal) *process {
		p := &process{
			settings: first.settings,
			path:     first.path,
			done:     make(chan struct{}),
		}
		p.prepareCommand()
		p.start(t)
		p.awaitLine(t, "lease gained")
		p.signal(end)
		p.await(t, 5*time.Second)
		return p
	}
	assert.Assert(t, !run(syscall.SIGTERM).out.contains(event))
	assert.Assert(t, !run(syscall.SIGKILL).out.contains(event))
	assert.Assert(t, run(syscall.SIGTERM).out.contains(event))
	assert.Assert(t, !run(syscall.SIGTERM).out.contains(event))
}
