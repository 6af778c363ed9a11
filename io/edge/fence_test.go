package edge

import (
	"encoding/json"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/lease"
	"coltsfootloft/io/mirror"
	"coltsfootloft/platform"
)

// registerSilent registers a host that answers no calls, and returns its lease.
func (f *fleet) registerSilent() (c *platform.Client, lease string) {
	f.t.Helper()
	c = &platform.Client{
		Store: f.store.Listener.Addr().String(),
		Dial:  (&net.Dialer{}).DialContext,
	}
	c.Start()
	lease, err := c.OpenSession(f.t.Context(), "silent", 10*time.Second)
	assert.NilError(f.t, err)
	b, err := json.Marshal(mirror.Registration{
		Address: freeAddress(f.t, "127.0.62.9"),
		Domain:  "domain-1",
		Lease:   lease,
	})
	assert.NilError(f.t, err)
	_, err = c.Apply(f.t.Context(), []coltsfootloft.Change{coltsfootloft.Put(mirror.HostKey("silent"), b, 0).WithLock(lease)})
	assert.NilError(f.t, err)
	f.await("the silent host known", time.Second, func() bool {
		_, ok := f.hosts[0].edge.mirror.View().Hosts["silent"]
		return ok
	})
	return c, lease
}

// TestSilentHostIsWaitedFor registers a host that answers no calls, like one that is
// suspended or cut off. It may still use the primary, so no database may be promoted
// before its lease has ended.
func TestSilentHostIsWaitedFor(t *testing.T) {
	f := startFleet(t, 3, nil)
	c, lease := f.registerSilent()
	f.group.SetDown(f.group.Primary(), true)
	f.await("the record closing", 5*time.Second, func() bool {
		return f.hosts[0].edge.mirror.View().Groups["notices"].Closing
	})
	time.Sleep(1500 * time.Millisecond)
	assert.Equal(t, len(f.group.Promotions()), 0, "promoted while a host may use the old primary")
	assert.NilError(t, c.CloseSession(t.Context(), lease))
	f.await("a promotion", 2*time.Second, func() bool { return len(f.group.Promotions()) > 0 })
}

// TestAnswerAcrossASuspension suspends a host while a statement is at the primary. The
// host's lease has expired when the answer arrives. Another database may have become
// primary and acknowledged writes before the statement was sent, so neither a read nor
// the BEGIN of a transaction may be answered as if it came from the primary.
func TestAnswerAcrossASuspension(t *testing.T) {
	f := startFleet(t, 3, nil)
	h := f.hosts[0]
	reader, _ := connect(t, h, "file", "key-arima")
	reader.must("WRITE x 1")
	between, _ := connect(t, h, "file", "key-arima")
	between.must("BEGIN")
	f.group.SetHook(f.group.Primary(), func() { h.clock.advance(2 * lease.TTL) })
	assert.Assert(t, reader.do("READ x").code != "", "read across a suspension")
	assert.Assert(t, between.do("READ x").code != "", "transaction begun across a suspension")
	f.group.SetHook(f.group.Primary(), nil)
	f.await("reads again", 3*time.Second, func() bool { return reader.do("READ x").code == "" })
}
