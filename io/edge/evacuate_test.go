package edge

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootloft/stand/linedb"
	"coltsfootloft/stand/opset"
)

// evacuateBound is the time within which evacuations of tests must be in effect.
const evacuateBound = 3 * time.Second

// startEvacuating starts a fleet whose operators may evacuate domains.
func startEvacuating(t *testing.T, n int, change func(*fleet)) *fleet {
	t.Helper()
	return startFleet(t, n, func(f *fleet) {
		f.evacuate = evacuateBound
		if change != nil {
			change(f)
		}
	})
}

// evacuateDomain evacuates domain n. From the bound on, nothing may arrive at its database.
func (f *fleet) evacuateDomain(n int) {
	f.store.Put(opset.EvacuationKey(fmt.Sprintf("domain-%d", n)), struct{}{})
	f.group.Close(f.databases[n-1].ID(), time.Now().Add(f.evacuate))
}

// cancelEvacuation ends the evacuation of domain n.
func (f *fleet) cancelEvacuation(n int) {
	f.group.Reopen(f.databases[n-1].ID())
	f.store.Remove(opset.EvacuationKey(fmt.Sprintf("domain-%d", n)))
}

// checkLate fails the test if something arrived at a database of an evacuated domain.
func (f *fleet) checkLate() {
	f.t.Helper()
	late := f.group.Late()
	for _, v := range late[:min(len(late), 5)] {
		f.t.Errorf("%d late, %s", len(late), v.Text)
	}
}

// burst is callers that read, write and open transactions at all hosts.
type burst struct {
	f     *fleet
	halt  func() // stops the callers
	stop  chan struct{}
	wait  sync.WaitGroup
	mu    sync.Mutex
	acked map[linedb.Write]bool
}

// startBurst starts several callers at each host that runs.
func (f *fleet) startBurst() *burst {
	b := &burst{
		f:     f,
		stop:  make(chan struct{}),
		acked: make(map[linedb.Write]bool),
	}
	b.halt = sync.OnceFunc(func() {
		close(b.stop)
		b.wait.Wait()
	})
	f.t.Cleanup(b.halt)
	for i, h := range f.hosts {
		for j := range 4 {
			b.wait.Go(func() { b.call(h, fmt.Sprintf("i%d-%d", i, j), j) })
		}
	}
	return b
}

func (b *burst) call(h *testHost, name string, kind int) {
	database := []string{"file", "board", "minutes", "file"}[kind]
	var c *client
	for n := 0; ; n++ {
		select {
		case <-b.stop:
			return
		case <-time.After(3 * time.Millisecond):
		}
		if c == nil {
			if c, _ = connect(b.f.t, h, database, "key-arima"); c == nil {
				continue
			}
		}
		item, data := fmt.Sprintf("%s-%d", name, n), fmt.Sprint(n)
		c.do("READ " + item)
		var a answer
		if kind == 3 {
			c.do("BEGIN")
			c.do("WRITE " + item + " " + data)
			time.Sleep(5 * time.Millisecond)
			a = c.do("COMMIT")
		} else {
			a = c.do("WRITE " + item + " " + data)
		}
		if a.lost {
			c = nil
		}
		if a.code == "" && !a.lost {
			b.mu.Lock()
			b.acked[linedb.Write{
				Item: item,
				Data: data,
			}] = true
			b.mu.Unlock()
		}
	}
}

// end stops the callers and checks that each acknowledged write is in the log of the primary once.
func (b *burst) end() {
	b.f.t.Helper()
	b.halt()
	log := b.f.group.Log()
	lost := 0
	for w := range b.acked {
		if log[w] != 1 {
			lost++
			if lost <= 5 {
				b.f.t.Errorf("write %v is %d times in the log", w, log[w])
			}
		}
	}
	b.f.t.Logf("%d writes acknowledged, %d lost, primary %s", len(b.acked), lost, b.f.group.Primary())
	assert.Assert(b.f.t, len(b.acked) > 0)
}

// awaitPrimary waits until all hosts use a primary that allowed accepts.
func (f *fleet) awaitPrimary(limit time.Duration, allowed ...string) {
	f.t.Helper()
	f.await(fmt.Sprintf("primary of %v", allowed), limit, func() bool {
		for _, h := range f.hosts {
			p, ok := h.edge.groups.Primary("notices")
			found := false
			for _, id := range allowed {
				found = found || p.Target.ID == id
			}
			if !ok || !found {
				return false
			}
		}
		return true
	})
}

// addGroupIn starts a group with a database in each of the domains, the first of which is its primary.
func (f *fleet) addGroupIn(name string, domains ...int) *linedb.Group {
	g := &linedb.Group{
		Name:        name,
		PromoteTime: 200 * time.Millisecond,
	}
	for i, n := range domains {
		d := g.Add(f.t.Context(), fmt.Sprintf("%s-%d", name, i+1), listen(f.t, "127.0.61.9"))
		role := "replica"
		if i == 0 {
			role = "primary"
		}
		f.announceAs(d, name, role, fmt.Sprintf("domain-%d", n), "ready")
	}
	f.config.Services = append(f.config.Services, service{
		Name:     name,
		MaxConns: 30,
	})
	f.config.Routes = append(f.config.Routes, route{
		Name:            "r-" + name,
		Host:            name,
		RouteType:       "primary",
		Service:         name,
		TimeoutMs:       timeoutMS,
		TargetLatencyMs: targetMS,
	})
	return g
}
