package edge

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOrderedPromotionsOutliveTheirStewards guards against a record that is opened for a database while the
// promotion of another one, which a former steward has ordered, may still take effect. A replica receives
// nothing when the first promotion is ordered and has received all when the next one is, and each steward ends
// right after its order. Promotions take effect in the order of their calls, or in another one.
func TestOrderedPromotionsOutliveTheirStewards(t *testing.T) {
	const ms = time.Millisecond
	for _, takes := range [][]time.Duration{
		{600 * ms, 600 * ms, 600 * ms},
		{500 * ms, 1000 * ms, 1500 * ms},
		{1200 * ms, 300 * ms, 300 * ms},
		{200 * ms, 1500 * ms, 200 * ms},
	} {
		t.Run(fmt.Sprint(takes), func(t *testing.T) {
			newTakeover(t, takes).play()
		})
	}
}

// takeover is a change of primary whose stewards end right after they have ordered a promotion.
type takeover struct {
	*fleet
	orders atomic.Int64
	ends   sync.WaitGroup
	end    time.Time

	mu    sync.Mutex
	acked map[string]bool
}

func newTakeover(t *testing.T, takes []time.Duration) *takeover {
	t.Helper()
	o := &takeover{acked: make(map[string]bool)}
	var begun atomic.Int64
	o.fleet = startFleet(t, 3, func(f *fleet) {
		f.grace = noGrace
		f.group.DrawPromoteTime = func() time.Duration {
			return takes[min(int(begun.Add(1)), len(takes))-1]
		}
	})
	o.store.Promote = func(_, database, holder string, fence uint64) int {
		code := o.group.Promote(database, fence)
		if n := int(o.orders.Add(1)); n < len(takes) {
			o.ends.Go(func() {
				o.group.PauseReplication("db-2", false)
				o.replaceHost(holder)
			})
		}
		return code
	}
	return o
}

// replaceHost stops a host and starts it again.
func (o *takeover) replaceHost(name string) {
	for i := range 3 {
		h := o.host(i)
		if h.settings.Name != name {
			continue
		}
		h.stop()
		<-h.ended
		next := o.startHost(h.settings)
		o.mu.Lock()
		o.hosts[i] = next
		o.mu.Unlock()
	}
}

func (o *takeover) host(i int) *testHost {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.hosts[i]
}

func (o *takeover) play() {
	o.end = time.Now().Add(8 * time.Second)
	var callers sync.WaitGroup
	for i := range 6 {
		callers.Go(func() { o.write(i) })
	}
	o.group.PauseReplication("db-2", true)
	time.Sleep(300 * time.Millisecond)
	o.announce(0, "draining")
	callers.Wait()
	o.ends.Wait()
	assert.Assert(o.t, len(o.group.Promotions()) > 0)
	for _, run := range o.group.Runs() {
		if o.acked[run.ID] && run.Committed && !o.group.WasPrimary(run.Database, run.At) {
			o.t.Errorf("%s was committed at %s, which another database had replaced, and acknowledged", run.ID, run.Database)
		}
	}
	o.await("an open record for the database that leads", 5*time.Second, func() bool {
		p, ok := o.host(0).edge.groups.Primary("notices")
		return ok && p.Target.ID == o.group.Primary()
	})
}

// connect returns nil if the host does not listen, as it is being replaced.
func (o *takeover) connect(h *testHost) *client {
	conn, err := net.DialTimeout("tcp", h.settings.Listen, time.Second)
	if err != nil {
		return nil
	}
	c, _ := start(o.t, conn, "file", "key-arima")
	return c
}

// write sends writes until the end, each to an item of its own.
func (o *takeover) write(caller int) {
	for n := 0; time.Now().Before(o.end); n++ {
		c := o.connect(o.host(caller % 3))
		for ; c != nil && time.Now().Before(o.end); n++ {
			a := c.do(fmt.Sprintf("WRITE item-%d-%d %d", caller, n, n))
			if a.lost {
				break
			}
			if a.code == "" {
				o.mu.Lock()
				o.acked[fmt.Sprintf("%s-%d", c.name, c.n)] = true
				o.mu.Unlock()
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestDatabaseThatTookTheLeadIsFollowed guards against a record that stays open for a database while another one
// leads in a later term, for example because its promotion took effect late.
func TestDatabaseThatTookTheLeadIsFollowed(t *testing.T) {
	f := startFleet(t, 3, nil)
	f.group.Promote("db-2", 0)
	f.await("the database that leads", 2*time.Second, func() bool { return f.group.Primary() == "db-2" })
	f.announce(1, "ready")
	f.await("a record for it", 5*time.Second, func() bool {
		p, ok := f.hosts[0].edge.groups.Primary("notices")
		return ok && p.Target.ID == "db-2"
	})
}
