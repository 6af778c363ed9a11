package edge

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRudeCallersLeaveNoMemoryTaken guards against memory that is never given back, which makes a host
// refuse for ever, or given back twice, which ends it.
func TestRudeCallersLeaveNoMemoryTaken(t *testing.T) {
	f := startFleet(t, 3, nil)
	var callers sync.WaitGroup
	end := time.Now().Add(2 * time.Second)
	for i := range 24 {
		r := rand.New(rand.NewPCG(7, uint64(i)))
		h := f.hosts[i%len(f.hosts)]
		callers.Go(func() {
			for time.Now().Before(end) {
				c, code := connect(t, h, "file", "key-arima")
				if code != "" {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				beRude(c, r)
				c.conn.Close()
			}
		})
	}
	callers.Go(func() {
		r := rand.New(rand.NewPCG(7, 99))
		for time.Now().Before(end) {
			f.group.LoseAnswers(fmt.Sprintf("db-%d", r.IntN(3)+1), r.IntN(3))
			time.Sleep(50 * time.Millisecond)
		}
	})
	callers.Wait()
	for _, h := range f.hosts {
		e := h.edge
		f.await("memory given back", 20*time.Second, func() bool { return e.messages.Used() == 0 && e.server.Sessions() == 0 })
		c, code := connect(t, h, "file", "key-arima")
		assert.Equal(t, code, "")
		c.must("WRITE k done")
	}
}

// beRude sends some statements, large and small ones, and then leaves, maybe in the middle of one.
func beRude(c *client, r *rand.Rand) {
	large := func() string { return strings.Repeat("x", 1<<(r.IntN(11)+10)-60) }
	for range r.IntN(12) {
		switch k := fmt.Sprint("k", r.IntN(4)); r.IntN(12) {
		case 0, 1:
			c.do("WRITE " + k + " " + large())
		case 2, 3:
			c.do("READ " + k)
		case 4:
			c.do("BEGIN")
		case 5:
			c.do("COMMIT")
		case 6:
			c.do("ROLLBACK")
		case 7:
			c.do("SET " + k + " " + large())
		case 8:
			c.do("PREPARE " + k + " WRITE " + large())
		case 9:
			c.do("EXEC " + k + " i " + large())
		case 10:
			c.do("DEALLOC " + k)
		case 11:
			writeSomeFor(c, "QUERY a READ "+k+"\r\nQUERY b WRITE "+k+" "+large(), 20*time.Millisecond)
			return
		}
	}
}
