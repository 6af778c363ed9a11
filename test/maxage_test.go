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

// maxAge is the max_age of the route board.
const maxAge = 600 * time.Millisecond

// ackedWrites holds acknowledged writes in order.
type ackedWrites struct {
	mu   sync.Mutex
	list []ackedWrite
}

// ackedWrite is the number of a write and when it was acknowledged.
type ackedWrite struct {
	n     int
	acked time.Time
}

// newestBefore returns the last write acknowledged at or before t, or 0.
func (s *ackedWrites) newestBefore(t time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.list) - 1; i >= 0; i-- {
		if !s.list[i].acked.After(t) {
			return s.list[i].n
		}
	}
	return 0
}

func (s *ackedWrites) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.list)
}

// write inserts ascending numbers through the second host until ctx ends.
func (s *ackedWrites) write(ctx context.Context, f *fleet) {
	var c *pgx.Conn
	for n := 1; ctx.Err() == nil; n++ {
		if c == nil || c.IsClosed() {
			if c = tryConnect(ctx, f, f.hosts[1]); c == nil {
				continue
			}
		}
		writeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := c.Exec(writeCtx, "INSERT INTO stamps VALUES ("+strconv.Itoa(n)+")")
		cancel()
		if err == nil {
			s.mu.Lock()
			s.list = append(s.list, ackedWrite{
				n:     n,
				acked: time.Now(),
			})
			s.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestMaxAge reads on a route with a maximum age while replicas lag, are cut off or
// frozen, hosts are frozen and resumed, and a failure domain is cut off. No answer
// may miss a write that was acknowledged longer ago than the maximum age, and a
// domain that is cut off refuses reads once that age has passed.
func TestMaxAge(t *testing.T) {
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
	var s ackedWrites
	var callers sync.WaitGroup
	callers.Go(func() { s.write(ctx, f) })
	readers := make([]*maxAgeReader, len(f.hosts))
	for i, e := range f.hosts {
		readers[i] = &maxAgeReader{
			fleet:  f,
			entry:  e,
			writes: &s,
		}
		callers.Go(func() { readers[i].run(ctx) })
	}
	primary := func() string {
		s, _ := f.status(f.hosts[1])
		return s.Groups[0].Primary
	}
	phase := func(name string, length time.Duration) {
		for _, r := range readers {
			r.phaseRefusals.Store(0)
			r.phaseAnswers.Store(0)
		}
		before := s.count()
		time.Sleep(length)
		t.Logf("%s: %d writes acknowledged, primary %s", name, s.count()-before, primary())
		for _, r := range readers {
			t.Logf("%s: %s answered %d, refused %d", name, r.entry.name, r.phaseAnswers.Load(), r.phaseRefusals.Load())
		}
	}
	lag := func(name, lag string) {
		f.queryDatabase(t, name, "SELECT standin_lag('"+lag+"')", func(rows pgx.Rows) error {
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
	phase("domain 3 is cut off, within the age", maxAge/2)
	assert.Check(t, readers[2].phaseAnswers.Load() > 0, "a cut-off domain did not answer within the maximum age")
	time.Sleep(maxAge + 200*time.Millisecond)
	phase("domain 3 is cut off, past the age", 1500*time.Millisecond)
	assert.Check(t, readers[2].phaseAnswers.Load() == 0, "a cut-off domain answered past the maximum age")
	assert.Check(t, readers[2].phaseRefusals.Load() > 0, "a cut-off domain did not refuse past the maximum age")
	f.network.isolate(3, 3, false)
	phase("healed", 1500*time.Millisecond)
	assert.Check(t, readers[2].phaseAnswers.Load() > 0)
	f.network.isolate(1, 3, true)
	time.Sleep(maxAge + 200*time.Millisecond)
	phase("domain 1 is cut off with the primary, past the age", 2*time.Second)
	assert.Check(t, readers[0].phaseAnswers.Load() == 0, "a cut-off primary answered past the maximum age")
	f.network.isolate(1, 3, false)
	phase("healed again", 1500*time.Millisecond)
	cancel()
	callers.Wait()
	var reads, stale int64
	for _, r := range readers {
		reads += r.answered.Load()
		stale += r.stale.Load()
	}
	t.Logf("%d reads, %d older than %v, the oldest by %v writes", reads, stale, maxAge, max(readers[0].maxLag.Load(), readers[1].maxLag.Load(), readers[2].maxLag.Load()))
	assert.Equal(t, stale, int64(0))
	assert.Assert(t, reads > 500)
}

// maxAgeReader reads on the route with a maximum age. The phase counters are reset at
// the start of every phase; stale counts answers older than the maximum age, and
// maxLag is the largest number of writes that such an answer missed.
type maxAgeReader struct {
	fleet         *fleet
	entry         *entry
	writes        *ackedWrites
	answered      atomic.Int64
	phaseAnswers  atomic.Int64
	phaseRefusals atomic.Int64
	stale         atomic.Int64
	maxLag        atomic.Int64
}

func (r *maxAgeReader) run(ctx context.Context) {
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
		oldest := r.writes.newestBefore(started.Add(-maxAge))
		var n int
		if err := c.QueryRow(ctx, "SELECT coalesce(max(n), 0) FROM stamps").Scan(&n); err != nil {
			r.phaseRefusals.Add(1)
			continue
		}
		r.answered.Add(1)
		r.phaseAnswers.Add(1)
		if n < oldest {
			r.stale.Add(1)
			r.maxLag.Store(max(r.maxLag.Load(), int64(oldest-n)))
		}
		time.Sleep(2 * time.Millisecond)
	}
}
