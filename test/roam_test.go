package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

const roamSeed = 20261204

// TestRoamingReadsOwnWrites moves callers between hosts, with and without a token, while
// replicas lag, the primary changes and failure domains are cut off. Every read that is
// answered returns all of its caller's acknowledged writes.
func TestRoamingReadsOwnWrites(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 3,
		hosts:   3,
		groups:  1,
		lag:     50 * time.Millisecond,
		network: true,
	})
	mustExec(t, f.connect(f.hosts[0]), "CREATE TABLE filed (caller int4, n int4)")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var reads, stale, refused atomic.Int64
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() {
			r := &roamingCaller{
				fleet:     f,
				random:    rand.New(rand.NewPCG(roamSeed, uint64(i))),
				id:        i,
				withToken: i%2 == 0,
				reads:     &reads,
				stale:     &stale,
				refused:   &refused,
			}
			for ctx.Err() == nil {
				r.step()
			}
		})
	}
	f.partitionAndFreeze(time.Second)
	cancel()
	callers.Wait()
	t.Logf("seed %d: %d reads, %d of them stale, %d requests refused or unknown", roamSeed, reads.Load(), stale.Load(), refused.Load())
	assert.Equal(t, stale.Load(), int64(0))
	assert.Assert(t, reads.Load() > 300)
}

// partitionAndFreeze cuts off failure domains, and freezes and kills databases, one
// fault after another.
func (f *fleet) partitionAndFreeze(each time.Duration) {
	time.Sleep(each)
	f.network.isolate(2, 3, true)
	time.Sleep(each)
	f.network.isolate(2, 3, false)
	time.Sleep(each)
	f.databases["g1-1"].process.signal(syscall.SIGSTOP)
	time.Sleep(2 * each)
	f.databases["g1-1"].process.signal(syscall.SIGCONT)
	time.Sleep(each)
	f.network.isolate(3, 3, true)
	time.Sleep(2 * each)
	f.network.isolate(3, 3, false)
	time.Sleep(each)
	f.databases["g1-2"].process.kill()
	time.Sleep(each)
	f.startDatabase(f.databases["g1-2"])
	time.Sleep(2 * each)
}

// roamingCaller is a caller that counts its acknowledged writes.
type roamingCaller struct {
	fleet     *fleet
	random    *rand.Rand
	id        int
	withToken bool
	token     string
	acked     int
	next      int
	reads     *atomic.Int64
	stale     *atomic.Int64
	refused   *atomic.Int64
}

// step connects to a random host, reads and writes there, and disconnects.
func (r *roamingCaller) step() {
	e := r.fleet.hosts[r.random.IntN(len(r.fleet.hosts))]
	c := tryConnect(context.Background(), r.fleet, e)
	if c == nil {
		time.Sleep(5 * time.Millisecond)
		return
	}
	defer c.Close(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if r.withToken && r.token != "" {
		if _, err := c.Exec(ctx, "SET coltsfootloft.token = '"+r.token+"'"); err != nil {
			return
		}
	}
	for range 1 + r.random.IntN(3) {
		r.read(ctx, c)
		r.write(ctx, c)
	}
	r.read(ctx, c)
}

func (r *roamingCaller) read(ctx context.Context, c *pgx.Conn) {
	var n int
	if err := c.QueryRow(ctx, "SELECT count(*) FROM filed WHERE caller = $1", r.id).Scan(&n); err != nil {
		r.refused.Add(1)
		return
	}
	r.reads.Add(1)
	if n < r.acked {
		r.stale.Add(1)
	}
}

func (r *roamingCaller) write(ctx context.Context, c *pgx.Conn) {
	r.next++
	if _, err := c.Exec(ctx, fmt.Sprintf("INSERT INTO filed VALUES (%d, %d)", r.id, r.next)); err != nil {
		r.refused.Add(1)
		return
	}
	r.acked++
	r.token = c.PgConn().ParameterStatus("coltsfootloft.token")
}
