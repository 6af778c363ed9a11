package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

// usage returns the processor time and the resident memory in bytes of a process.
func usage(b *testing.B, p *process) (spent time.Duration, resident int64) {
	b.Helper()
	const tick = 10 * time.Millisecond
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	assert.NilError(b, err)
	_, rest, _ := strings.Cut(string(stat), ") ")
	f := strings.Fields(rest)
	user, err := strconv.ParseInt(f[11], 10, 64)
	assert.NilError(b, err)
	system, err := strconv.ParseInt(f[12], 10, 64)
	assert.NilError(b, err)
	pages, err := strconv.ParseInt(f[21], 10, 64)
	assert.NilError(b, err)
	return time.Duration(user+system) * tick, pages * int64(os.Getpagesize())
}

// BenchmarkDatabaseProcess measures a database in a separate process: statement rates
// with 16 callers, processor time per statement, and memory per connection.
func BenchmarkDatabaseProcess(b *testing.B) {
	binary := build(b)
	p := launch(b, binary, "database", "-name", "a", "-initial", "a", "-connect-delay", "0")
	conns := make([]*pgx.Conn, 16)
	_, before := usage(b, p)
	for i := range conns {
		conns[i] = connect(b, p.address())
		_, err := conns[i].Exec(b.Context(), "SELECT 1")
		assert.NilError(b, err)
	}
	_, after := usage(b, p)
	_, err := conns[0].Exec(b.Context(), "CREATE TABLE orders (id BIGSERIAL PRIMARY KEY, n BIGINT)")
	assert.NilError(b, err)
	for _, c := range []struct {
		name      string
		statement string
	}{
		{name: "commits", statement: "INSERT INTO orders (n) VALUES ($1)"},
		{name: "reads", statement: "SELECT n FROM orders WHERE id = $1"},
	} {
		b.Run(c.name, func(b *testing.B) {
			spent, _ := usage(b, p)
			start := time.Now()
			var wg sync.WaitGroup
			for i, conn := range conns {
				wg.Go(func() {
					for n := i; n < b.N; n += len(conns) {
						if _, err := conn.Exec(context.Background(), c.statement, n); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "statements/s")
			now, _ := usage(b, p)
			b.ReportMetric(float64((now-spent).Microseconds())/float64(b.N), "cpu-us/statement")
			b.ReportMetric(float64(after-before)/float64(len(conns))/1024, "KiB/conn")
		})
	}
}
