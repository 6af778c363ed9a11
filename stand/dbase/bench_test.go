package dbase_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"coltsfootloft/stand/dbase"
)

// cpuTime returns the CPU time of this process, which includes the clients.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// run distributes statements over two connections for each CPU, 16 on a machine
// with 8 CPUs, and reports their rate and CPU time.
func run(b *testing.B, s *dbase.Server, statement func(c *pgx.Conn, n int64) error) {
	b.Helper()
	b.SetParallelism(2)
	var n atomic.Int64
	began, spent := time.Now(), cpuTime()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		c, err := pgx.Connect(context.Background(), url(s, "caroni"))
		if err != nil {
			b.Error(err)
			return
		}
		defer c.Close(context.Background())
		for pb.Next() {
			if err := statement(c, n.Add(1)); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "statements/s")
	b.ReportMetric(float64((cpuTime()-spent).Microseconds())/float64(b.N), "cpu-us/statement")
}

func prepare(b *testing.B, s *dbase.Server) {
	b.Helper()
	launch(b, s)
	<-s.Ready()
	fill(b, s)
}

// fill creates a table of 1000 rows.
func fill(b *testing.B, s *dbase.Server) {
	b.Helper()
	ctx := context.Background()
	c, err := pgx.Connect(ctx, url(s, "caroni"))
	assert.NilError(b, err)
	defer c.Close(ctx)
	_, err = c.Exec(ctx, createNotices)
	assert.NilError(b, err)
	for i := range 1000 {
		_, err := c.Exec(ctx, "INSERT INTO notices (title, pages) VALUES ($1, $2)", fmt.Sprintf("first %d", i), i)
		assert.NilError(b, err)
	}
}

func server(b *testing.B, dir string) *dbase.Server {
	b.Helper()
	s := &dbase.Server{
		Name:           "a",
		InitialPrimary: "a",
		Dir:            dir,
	}
	prepare(b, s)
	return s
}

func insert(c *pgx.Conn, n int64) error {
	_, err := c.Exec(context.Background(), "INSERT INTO notices (title, pages) VALUES ($1, $2)", fmt.Sprint(n), n)
	return err
}

func BenchmarkCommits(b *testing.B) { run(b, server(b, ""), insert) }

func BenchmarkCommitsWithDir(b *testing.B) { run(b, server(b, b.TempDir()), insert) }

func BenchmarkReads(b *testing.B) {
	run(b, server(b, ""), func(c *pgx.Conn, n int64) error {
		var title string
		return c.QueryRow(context.Background(), "SELECT title FROM notices WHERE id = $1", n%1000+1).Scan(&title)
	})
}

func BenchmarkSimpleReads(b *testing.B) {
	run(b, server(b, ""), func(c *pgx.Conn, n int64) error {
		var title string
		return c.QueryRow(context.Background(), "SELECT title FROM notices WHERE id = $1", pgx.QueryExecModeSimpleProtocol, n%1000+1).Scan(&title)
	})
}

// BenchmarkCommitsWithReplicas commits while two replicas pull the log.
func BenchmarkCommitsWithReplicas(b *testing.B) {
	g := group(b, 0)
	fill(b, g["a"])
	run(b, g["a"], insert)
}

// BenchmarkReceived measures the time from sending a write until a replica reports
// that it has received it.
func BenchmarkReceived(b *testing.B) {
	g := group(b, 0)
	fill(b, g["a"])
	d := operations(b, g)["b"]
	r, err := d.Status(b.Context())
	assert.NilError(b, err)
	c, err := pgx.Connect(b.Context(), url(g["a"], "caroni"))
	assert.NilError(b, err)
	defer c.Close(context.Background())
	n := int64(0)
	for b.Loop() {
		n++
		assert.NilError(b, insert(c, n))
		for r.Received().Offset() < uint64(1002+n) {
			r, err = d.Await(b.Context(), r.Version())
			assert.NilError(b, err)
		}
	}
}

func BenchmarkConnect(b *testing.B) {
	s := server(b, "")
	b.ResetTimer()
	for b.Loop() {
		c, err := pgx.Connect(context.Background(), url(s, "caroni"))
		assert.NilError(b, err)
		assert.NilError(b, c.Close(context.Background()))
	}
}
