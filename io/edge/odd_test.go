package edge

import (
	"testing"
	"time"

	"coltsfootloft"
)

// TestOverwrittenHostRegistersAgain guards against a host that goes on with its rights, and stays out
// for ever, after another writer has overwritten or removed its registration.
func TestOverwrittenHostRegistersAgain(t *testing.T) {
	f := startFleet(t, 3, nil)
	const key = "coltsfootloft/host/host-3"
	h := f.hosts[2]
	writes := []func(){
		func() { f.store.Put(key, []byte("{}")) },
		func() {
			i, _ := f.store.Get(key)
			f.store.Put(key, i.Value) // without its lease
		},
		func() { f.store.Remove(key) },
	}
	for i, write := range writes {
		before := h.edge.lease.ID()
		write()
		f.await("another lease of the host", 2*time.Second, func() bool {
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
