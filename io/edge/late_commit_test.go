package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/io/lease"
	"coltsfootloft/stand/relay"
)

// moveSteward restarts host 1 until another host changes primaries.
func (f *fleet) moveSteward() {
	f.t.Helper()
	holds := func(i int) bool {
		_, ok := f.hosts[i].edge.failover.Duty.Holds()
		return ok
	}
	f.await("another steward", 10*time.Second, func() bool {
		if holds(0) {
			f.restart(0)
		}
		return holds(1) || holds(2)
	})
}

// TestCommitAfterTheSuccessorLeadsIsInDoubt guards against the acknowledgement of a write that the old primary
// commits after its successor leads. The old primary is cut off from the steward, which can't demote it, but not from
// the host of the caller, and a promotion is short.
func TestCommitAfterTheSuccessorLeadsIsInDoubt(t *testing.T) {
	f := startFleet(t, 3, func(f *fleet) {
		f.group.PromoteTime = 10 * time.Millisecond
		f.addLinks(t.Context())
	})
	f.moveSteward()
	const old = "db-1"
	assert.Equal(t, f.group.Primary(), old)
	c, _ := connect(t, f.hosts[0], "file", "key-arima")
	c.must("WRITE x 0")
	release := make(chan struct{})
	f.group.SetHook(old, func() { <-release })
	answers := make(chan answer)
	go func() { answers <- c.do("WRITE x 1") }()
	for i := 1; i < 3; i++ {
		f.links[old].From(hostIP(i)).Cut(true)
	}
	f.await("a successor", 3*lease.TTL, func() bool { return f.group.Primary() != old })
	close(release)
	a := <-answers
	assert.Equal(t, a.code, "INDOUBT")
	f.group.SetHook(old, nil)
	f.await("writes again", 5*time.Second, func() bool {
		c, code := connect(t, f.hosts[0], "file", "key-arima")
		return code == "" && c.do("WRITE x 2").code == ""
	})
}

// TestCommitBeforeTheDemotionIsAcknowledged guards against a write that is answered INDOUBT although its answer, however
// late, can only be of a commit before another database led.
func TestCommitBeforeTheDemotionIsAcknowledged(t *testing.T) {
	f := startFleet(t, 3, func(f *fleet) { f.addLinks(t.Context()) })
	f.moveSteward()
	const old = "db-1"
	c, _ := connect(t, f.hosts[0], "file", "key-arima")
	c.must("WRITE x 0")
	link := f.links[old].From(hostIP(0))
	link.Hold(relay.ToCaller, true)
	answers := make(chan answer)
	go func() { answers <- c.do("WRITE x 1") }()
	time.Sleep(50 * time.Millisecond) // it has run
	f.announce(0, "draining")
	f.await("a record for the successor", 3*time.Second, func() bool {
		p, ok := f.hosts[0].edge.groups.Primary("notices")
		return ok && p.Target.ID != old
	})
	link.Hold(relay.ToCaller, false)
	a := <-answers
	assert.Equal(t, a.code, "")
	f.await("the write at the successor", time.Second, func() bool {
		r := c.do("READ x")
		return r.code == "" && len(r.rows) == 1 && r.rows[0] == "1"
	})
}
