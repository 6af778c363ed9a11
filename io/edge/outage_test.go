package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/keyval"
)

// TestSessionsStayInAnOutageOfTheStore guards against hosts that close their idle sessions when the store is
// silent to all of them. The quota keeper is among them: it compared the silence with its own
// older answer and took itself for cut off.
func TestSessionsStayInAnOutageOfTheStore(t *testing.T) {
	f := startFleet(t, 3, func(f *fleet) { f.withdrawalLimit = 5 * time.Second })
	f.assertSessionsStay()
}

// TestSessionsStayOnAHostAlone guards against the same on the only host of a fleet, which is its own keeper.
func TestSessionsStayOnAHostAlone(t *testing.T) {
	f := startFleet(t, 1, func(f *fleet) { f.withdrawalLimit = 5 * time.Second })
	f.assertSessionsStay()
}

// assertSessionsStay has the store silent to all hosts for 2 s.
func (f *fleet) assertSessionsStay() {
	f.t.Helper()
	f.await("a quota keeper", 5*time.Second, func() bool {
		_, ok := f.hosts[0].edge.quota.First().Duty.Holder()
		return ok
	})
	sessions := make([]*client, len(f.hosts))
	for i, h := range f.hosts {
		sessions[i], _ = connect(f.t, h, "file", "key-arima")
		sessions[i].must("READ x")
	}
	f.store.SetFaults(keyval.Faults{NoAnswers: true})
	time.Sleep(2 * time.Second)
	f.store.SetFaults(keyval.Faults{})
	for i, h := range f.hosts {
		f.await("primary in use again", 5*time.Second, func() bool {
			_, ok := h.edge.groups.Primary("notices")
			return ok && h.edge.isReady()
		})
		f.await("read of the session", 5*time.Second, func() bool {
			a := sessions[i].do("READ x")
			assert.Assert(f.t, !a.lost, "session of host %d was closed", i)
			return a.code == ""
		})
	}
}
