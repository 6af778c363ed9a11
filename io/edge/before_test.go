package edge

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/keyval"
)

// TestHostStartedAgainUsesNothingOfBefore guards against a host that is started again and accepts a key,
// or uses a database, that was taken away while it was down.
func TestHostStartedAgainUsesNothingOfBefore(t *testing.T) {
	t.Parallel()
	const again, neighbour = 3, 0 // in one failure domain
	for _, c := range []struct {
		name   string
		faults keyval.Faults
		serves bool
	}{
		{
			name:   "the store is in reach",
			serves: true,
		},
		{
			name: "a host that may tell it the state of before is cut off from the store",
			faults: keyval.Faults{
				RefusedHosts: map[string]bool{hostIP(neighbour): true},
				StallWatches: true,
			},
			serves: true,
		},
		{
			name: "the store answers neither its listings nor its watches",
			faults: keyval.Faults{
				RefusedHosts: map[string]bool{hostIP(neighbour): true},
				BlindHosts:   map[string]bool{hostIP(again): true},
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 6, nil)
			h := f.hosts[again]
			h.stop()
			assert.NilError(t, <-h.ended)
			f.store.SetFaults(c.faults)
			f.changeSettings(func(c *config) { c.Tenants[1].ApiKeys = []string{"key-new"} })
			f.store.Remove("servers/" + f.databases[1].ID())
			time.Sleep(f.withdrawalLimit)
			ran := len(f.group.Runs())
			h = f.startHost(h.settings)
			f.hosts[again] = h
			f.await("the host's listener", time.Second, h.isListening)
			served := 0
			for started := time.Now(); time.Since(started) < 2*f.withdrawalLimit; time.Sleep(5 * time.Millisecond) {
				if s, code := connect(t, h, "board", "key-siparia"); code == "" {
					assert.Assert(t, s.do("READ news").code != "", "a read for a key that was taken away")
				}
				if s, code := connect(t, h, "board", "key-new"); code == "" && s.do("READ news").code == "" {
					served++
				}
			}
			assert.Equal(t, served > 0, c.serves, "%d reads", served)
			for _, r := range f.group.Runs()[ran:] {
				assert.Assert(t, r.Account != "siparia" || r.Database != f.databases[1].ID(), "%+v", r)
			}
		})
	}
}

func (h *testHost) isListening() bool {
	c, err := net.Dial("tcp", h.settings.Listen)
	if err == nil {
		c.Close()
	}
	return err == nil
}
