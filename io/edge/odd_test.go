package edge

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/lease"
	"coltsfootloft/stand/keyval"
)

// TestOverwrittenHostRegistersAgain guards against a host that goes on with its rights, and stays out
// for ever, after another writer has overwritten or removed its registration.
func TestOverwrittenHostRegistersAgain(t *testing.T) {
	f := startFleet(t, 3, nil)
	const key = "coltsfootloft/host/host-3"
	h := f.hosts[2]
	writes := []func(){
		func() { f.store.Put(key, []byte("{}")) },
		func() { f.store.Put(key, []byte("{")) },
		func() {
			i, _ := f.store.Get(key)
			f.store.Put(key, i.Value) // without its lease
		},
		func() { f.store.Remove(key) },
	}
	for i, write := range writes {
		before := h.edge.lease.ID()
		write()
		f.await("another lease of the host", 3*time.Second, func() bool {
			return h.edge.lease.ID() != before && h.edge.lease.Valid()
		})
		entry, ok := f.store.Get(key)
		own := h.edge.mirror.View().Hosts["host-3"]
		if !ok || entry.Lease == 0 || own.Revision != coltsfootloft.RevisionAt(1, entry.Revision) {
			t.Fatalf("write %d: the store has %+v, the host %+v", i, entry, own)
		}
		c, code := connect(t, h, "file", "key-arima")
		if code != "" || c.do("WRITE page a").code != "" {
			t.Fatalf("write %d: the host does not serve: %s", i, code)
		}
		c.conn.Close()
	}
}

// TestOverwrittenHostLosesNoWrite guards against a write that the old primary acknowledges after its
// successor was promoted: by a host that can't see that its registration was overwritten, renews its
// lease and alone reaches the old primary.
func TestOverwrittenHostLosesNoWrite(t *testing.T) {
	for _, value := range []string{"{", `{"address":"127.0.62.9:1","domain":"domain-1","lease":"1.7","size":1}`} {
		var promoted atomic.Int64 // Unix nanoseconds; 0 if not yet
		f := startFleet(t, 3, func(f *fleet) {
			f.addLinks(t.Context())
			delete(f.links, "") // the store tells hosts by their IPs
			promote := f.store.Promote
			f.store.Promote = func(group, database, holder string, fence uint64) int {
				promoted.CompareAndSwap(0, time.Now().UnixNano())
				return promote(group, database, holder, fence)
			}
		})
		f.awaitDutyHeld(1, time.Second)
		if f.holderOf() == f.hosts[0] {
			f.restart(0) // another host holds the duty from then on
			f.awaitDutyHeld(1, time.Second)
		}
		h := f.hosts[0] // in the domain of the primary, so that it keeps the connections to it
		assert.Assert(t, f.holderOf() != h)
		c, _ := connect(t, h, "file", "key-arima")
		c.must("WRITE page a")
		f.store.SetFaults(keyval.Faults{BlindHosts: map[string]bool{hostIP(0): true}})
		f.changeSettings(nil) // answers the watch that waits
		time.Sleep(300 * time.Millisecond)
		f.store.Put("coltsfootloft/host/host-1", []byte(value))
		for i := 1; i < 3; i++ {
			f.links["db-1"].From(hostIP(i)).Cut(true)
		}
		acked := make(map[string]bool)
		began := time.Now()
		for promoted.Load() == 0 || time.Now().UnixNano() < promoted.Load()+time.Second.Nanoseconds() {
			if time.Since(began) > 8*time.Second {
				t.Fatalf("%s: no promotion within 8s", value)
			}
			if a := c.do("WRITE page b"); a.code == "" && !a.lost {
				acked[fmt.Sprintf("%s-%d", c.name, c.n)] = true
			}
			time.Sleep(2 * time.Millisecond)
		}
		t.Logf("%d writes acknowledged, promotion after %s", len(acked), time.Unix(0, promoted.Load()).Sub(began))
		assert.Assert(t, len(acked) > 0)
		for _, r := range f.group.Runs() {
			late := r.At.UnixNano() >= promoted.Load()
			assert.Assert(t, !late || r.Database != "db-1" || !acked[r.ID], "%s: written to the old primary: %+v", value, r)
		}
		f.store.SetFaults(keyval.Faults{})
		f.await("service of the host", 5*time.Second, func() bool {
			p, ok := h.edge.groups.Primary("notices")
			return ok && p.Target.ID != "db-1"
		})
	}
}

// TestOverwrittenSilentHostIsWaitedFor guards against a promotion while a host may use the old primary
// that answers no calls and whose registration was overwritten, and against one that is never made.
func TestOverwrittenSilentHostIsWaitedFor(t *testing.T) {
	f := startFleet(t, 3, nil)
	f.registerSilent()
	f.store.Put("coltsfootloft/host/silent", []byte("{}"))
	written := time.Now()
	f.group.SetDown(f.group.Primary(), true)
	f.await("a promotion", 8*time.Second, func() bool { return len(f.group.Promotions()) > 0 })
	t.Logf("promotion after %s", time.Since(written))
	assert.Assert(t, time.Since(written) >= lease.TTL, "promoted while a host may use the old primary")
	f.await("the end of the entry", 3*time.Second, func() bool {
		_, ok := f.store.Get("coltsfootloft/host/silent")
		return !ok
	})
}
