package feed

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/consul"
)

func TestBothRelaysOfADomainDie(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 15, 3)
	f.startAll()
	f.await("start", f.mustApply(value("0")), changeLimit, nil)
	if *naive {
		return // a poller has no relays
	}
	for _, name := range f.hosts["h000"].source.(*Feed).relaysOf("d0") {
		f.remove(name)
	}
	f.await("change", f.mustApply(value("1")), changeLimit, nil)
	assert.Equal(t, f.regressions.Load(), int64(0), "steps back")
}

// remove disconnects a host without notice and stops it.
func (f *fleet) remove(name string) {
	f.mesh.Leave(name)
	f.hosts[name].stop()
	delete(f.hosts, name)
}

// TestFaultsTogether makes changes during random concurrent faults of the store,
// the network and hosts, ends all faults, and checks that every host then has the
// last change and that none ever went back to an older revision.
func TestFaultsTogether(t *testing.T) {
	t.Parallel()
	const seed = 20261204
	t.Logf("seed %d", seed)
	r := rand.New(rand.NewSource(seed))
	f := newFleet(t, 12, 3)
	f.startAll()
	newest := f.mustApply(value("0"))
	f.await("start", newest, changeLimit, nil)
	accepted, failed := 0, 0
	for i := range 40 {
		switch d := fmt.Sprintf("d%d", r.Intn(3)); r.Intn(8) {
		case 0:
			f.isolate(d, r.Intn(2) == 0)
		case 1:
			f.cut[d].Store(r.Intn(2) == 0)
		case 2:
			record := f.records[r.Intn(len(f.records))]
			f.remove(record.Name())
			f.start(record)
		case 3, 4:
			f.server.SetFaults([]consul.Faults{
				{Delay: 300 * time.Millisecond},
				{ReadLag: 5 * time.Second},
				{LoseAnswers: 1},
				{Down: consul.Refuse},
				{ReadLag: 5 * time.Second},
			}[r.Intn(5)])
		case 5:
			f.server.SetFaults(consul.Faults{})
		default:
			revision, err := f.apply(value(fmt.Sprint(i)))
			if err == nil {
				newest = max(newest, revision)
				accepted++
			} else {
				failed++
			}
		}
		time.Sleep(time.Duration(r.Intn(300)) * time.Millisecond)
	}
	for d := range f.cut {
		f.isolate(d, false)
		f.cut[d].Store(false)
	}
	f.server.SetFaults(consul.Faults{})
	f.await("healed", newest, changeLimit, nil)
	newest = f.mustApply(value("last"))
	f.await("last", newest, changeLimit, nil)
	t.Logf("%d changes accepted, %d not, %d steps back", accepted, failed, f.regressions.Load())
	for _, h := range f.hosts {
		_, entries := h.source.Snapshot()
		assert.Equal(t, string(entries["teams/a"]), "last")
	}
	assert.Equal(t, f.regressions.Load(), int64(0), "steps back")
}
