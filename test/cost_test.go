package test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkStatement measures a point read through one host with 16 sessions:
// elapsed time, and processor time of the host as host-us/op.
func BenchmarkStatement(b *testing.B) {
	f := newFleet(b, layout{
		domains:  1,
		hosts:    1,
		groups:   1,
		settings: map[string]string{"teams/alpha/accounts/main": `{"rate": "900000/s", "burst": 900000}`},
	})
	c := f.connect(f.hosts[0])
	mustExec(b, c, "CREATE TABLE items (id int4 PRIMARY KEY, body text)")
	mustExec(b, c, "INSERT INTO items VALUES (1, 'bake sale on Saturday')")
	time.Sleep(200 * time.Millisecond)
	var left atomic.Int64
	left.Store(int64(b.N))
	before, _ := processUsage(f.hosts[0].process.cmd.Process.Pid)
	b.ResetTimer()
	var sessions sync.WaitGroup
	for range 16 {
		c := f.connect(f.hosts[0])
		sessions.Go(func() {
			for left.Add(-1) >= 0 {
				var body string
				err := c.QueryRow(context.Background(), "SELECT body FROM items WHERE id = $1", 1).Scan(&body)
				assert.Check(b, err)
			}
		})
	}
	sessions.Wait()
	after, _ := processUsage(f.hosts[0].process.cmd.Process.Pid)
	b.ReportMetric(float64((after-before).Microseconds())/float64(b.N), "host-us/op")
}
