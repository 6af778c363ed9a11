package test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

const statedAge = 600 * time.Millisecond

// stamps are acknowledged writes, in order.
type stamps struct {
	mu   sync.Mutex
	list []stamp
}

type stamp struct {
	n     int
	acked time.Time
}

// newestBefore is the last write that was acknowledged by then.
func (s *stamps) newestBefore(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.list) - 1; i >= 0; i-- {
		if !s.list[i].acked.After(t) {
			return s.list[i].n
		}
	}
	return 0
}

func (s *stamps) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.list)
}

func (s *stamps) write(ctx context.Context, f *fleet) {
	var c *pgx.Conn
	for n := 1; ctx.Err() == nil; n++ {
		if c == nil || c.IsClosed() {
			if c = tryConnect(ctx, f, f.hosts[1]); c == nil {
				continue
			}
		}
		within, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := c.Exec(within, "INSERT INTO stamps VALUES ("+strconv.Itoa(n)+")")
		cancel()
		if err == nil {
			s.mu.Lock()
			s.list = append(s.list, stamp{
				n:     n,
				acked: time.Now(),
			})
			s.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestStatedAge reads on a route with a stated age while replicas lag, are cut off
// or frozen, hosts are frozen and resumed, and a failure domain is cut off.
func TestStatedAge(t *testing.T) {
	t.Parallel()
	f := newFleet(t, layout{
		domains: 3,
		hosts:   3,
		groups:  1,
		network: true,
		settings: map[string]string{
			"teams/alpha/routes/board": `{"group": "g1", "max_age": "600ms", "read_only": true}`,
			"fleet/defaults":           `{"pool_wait": "500ms"}`,
		},
	})
	mustExec(t, f.connect(f.hosts[0]), "CREATE TABLE stamps (n int4)")
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var s stamps
	var callers sync.WaitGroup
	callers.Go(func() { s.write(ctx, f) })
	readers := make([]*boardReader, len(f.hosts))
	for i, e := range f.hosts {
		readers[i] = &boardReader{
			fleet:  f,
			entry:  e,
			stamps: &s,
		}
		callers.Go(func() { readers[i].run(ctx) })
	}
	primary := func() string {
		s, _ := f.status(f.hosts[1])
		return s.Groups[0].Primary
	}
	phase := func(name string, length time.Duration) {
		for _, r := range readers {
			r.refused.Store(0)
			r.phase.Store(0)
		}
		before := s.count()
		time.Sleep(length)
		t.Logf("%s: %d writes acknowledged, primary %s", name, s.count()-before, primary())
		for _, r := range readers {
			t.Logf("%s: %s answered %d, refused %d", name, r.entry.name, r.phase.Load(), r.refused.Load())
		}
	}
	lag := func(name, lag string) {
		f.askDatabase(t, name, "SELECT standin_lag('"+lag+"')", func(rows pgx.Rows) error {
			rows.Close()
			return rows.Err()
		})
	}
	phase("all well", time.Second)
	lag("g1-2", "300ms")
	lag("g1-3", "5s")
	phase("replicas lag 0.3 and 5 s", 2*time.Second)
	lag("g1-3", "0s")
	f.databases["g1-2"].process.signal(syscall.SIGSTOP)
	phase("a replica is frozen", time.Second)
	f.databases["g1-2"].process.signal(syscall.SIGCONT)
	f.hosts[1].process.signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	f.hosts[1].process.signal(syscall.SIGCONT)
	phase("a host was frozen", 500*time.Millisecond)
	f.network.isolate(3, 3, true)
	phase("domain 3 is cut off, within the age", statedAge/2)
	assert.Check(t, readers[2].phase.Load() > 0, "a cut-off domain serves within the age")
	time.Sleep(statedAge + 200*time.Millisecond)
	phase("domain 3 is cut off, past the age", 1500*time.Millisecond)
	assert.Check(t, readers[2].phase.Load() == 0, "a cut-off domain serves past the age")
	assert.Check(t, readers[2].refused.Load() > 0, "a cut-off domain refuses past the age")
	f.network.isolate(3, 3, false)
	phase("healed", 1500*time.Millisecond)
	assert.Check(t, readers[2].phase.Load() > 0)
	f.network.isolate(1, 3, true)
	time.Sleep(statedAge + 200*time.Millisecond)
	phase("domain 1 is cut off with the primary, past the age", 2*time.Second)
	assert.Check(t, readers[0].phase.Load() == 0, "a cut-off primary serves past the age")
	f.network.isolate(1, 3, false)
	phase("healed again", 1500*time.Millisecond)
	cancel()
	callers.Wait()
	var reads, old int64
	for _, r := range readers {
		reads += r.answered.Load()
		old += r.old.Load()
	}
	t.Logf("%d reads, %d older than %v, the oldest by %v writes", reads, old, statedAge, max(readers[0].worst.Load(), readers[1].worst.Load(), readers[2].worst.Load()))
	assert.Equal(t, old, int64(0))
	assert.Assert(t, reads > 500)
}

// boardReader reads on the route with a stated age.
type boardReader struct {
	fleet    *fleet
	entry    *entry
	stamps   *stamps
	answered atomic.Int64
	phase    atomic.Int64
	refused  atomic.Int64
	old      atomic.Int64
	worst    atomic.Int64
}

func (r *boardReader) run(ctx context.Context) {
	var c *pgx.Conn
	for ctx.Err() == nil {
		if c == nil || c.IsClosed() {
			var err error
			if c, err = r.fleet.dial(r.entry, "alpha.app", "board"); err != nil {
				c = nil
				continue
			}
		}
		started := time.Now()
		oldest := r.stamps.newestBefore(started.Add(-statedAge))
		var n int
		if err := c.QueryRow(ctx, "SELECT coalesce(max(n), 0) FROM stamps").Scan(&n); err != nil {
			r.refused.Add(1)
			continue
		}
		r.answered.Add(1)
		r.phase.Add(1)
		if n < oldest {
			r.old.Add(1)
			r.worst.Store(max(r.worst.Load(), int64(oldest-n)))
		}
		time.Sleep(2 * time.Millisecond)
	}
}
