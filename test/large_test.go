package test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// TestResultsAreComplete slowly reads results of 32 MiB on every host, while links to
// callers and databases are held and replicas are killed. Every answer that ends without
// an error is complete.
func TestResultsAreComplete(t *testing.T) {
	t.Parallel()
	const bodies, bodySize = 128, 256 << 10
	f := newFleet(t, layout{
		domains: 3,
		hosts:   3,
		groups:  1,
		network: true,
	})
	c := f.connect(f.hosts[0])
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	mustExec(t, c, "CREATE TABLE large (id int4, body text)")
	for i := range bodies {
		_, err := c.Exec(ctx, "INSERT INTO large VALUES ($1, $2)", i, strings.Repeat(fmt.Sprintf("%08d", i), bodySize/8))
		assert.NilError(t, err)
	}
	var mu sync.Mutex
	var complete, truncated, failed int
	var readers sync.WaitGroup
	for i := range 6 {
		c := f.connect(f.hosts[i%3])
		readers.Go(func() {
			for range 3 {
				ok, err := readSlowly(ctx, c, bodies, bodySize)
				mu.Lock()
				switch {
				case err != nil:
					failed++
				case ok:
					complete++
				default:
					truncated++
				}
				mu.Unlock()
				if c.IsClosed() {
					return
				}
			}
		})
	}
	for round := range 2 {
		for place := 1; place <= 3; place++ {
			time.Sleep(100 * time.Millisecond)
			f.network.hold(outside, place, true)
			f.network.holdPlace(place, 3, true)
			time.Sleep(300 * time.Millisecond)
			f.network.holdPlace(place, 3, false)
			f.network.hold(outside, place, false)
		}
		if round == 0 {
			f.databases["g1-2"].process.kill()
			f.databases["g1-3"].process.kill()
			f.startDatabase(f.databases["g1-2"])
			f.startDatabase(f.databases["g1-3"])
		}
	}
	readers.Wait()
	t.Logf("%d complete answers of %d MiB, %d truncated, %d failed", complete, bodies*bodySize>>20, truncated, failed)
	assert.Equal(t, truncated, 0)
	assert.Assert(t, complete >= 9)
}

// readSlowly reads all rows with pauses, and reports whether all are there, in order and
// with the expected contents.
func readSlowly(ctx context.Context, c *pgx.Conn, bodies, bodySize int) (ok bool, err error) {
	rows, err := c.Query(ctx, "SELECT id, body FROM large ORDER BY id")
	if err != nil {
		return false, err
	}
	defer rows.Close()
	next := 0
	ok = true
	for rows.Next() {
		var id int
		var body string
		if err := rows.Scan(&id, &body); err != nil {
			return false, err
		}
		ok = ok && id == next && body == strings.Repeat(fmt.Sprintf("%08d", id), bodySize/8)
		next++
		if next%16 == 0 {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return ok && next == bodies, rows.Err()
}
