package pool_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/pool"
	"coltsfootloft/stand/dbase"
)

// singleRight grants one right to connect at a time.
type singleRight struct{ free chan struct{} }

func (r singleRight) AcquireConnection(ctx context.Context, _ string) (func(), error) {
	select {
	case <-r.free:
		return func() { r.free <- struct{}{} }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (singleRight) Admit(context.Context, string, int) error { return nil }
func (singleRight) OnReclaim(func(string) bool)              {}

// TestRightIsHeldUntilTheUpstreamHasClosed aborts a connection whose statement waits
// behind the lock of another client. The database counts the connection until the
// statement has ended. The right to connect must not be released before, or the host
// opens one connection more than it may.
func TestRightIsHeldUntilTheUpstreamHasClosed(t *testing.T) {
	s := &dbase.Server{
		Name:           "a",
		InitialPrimary: "a",
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	<-s.Ready()
	url := func(user string) string { return "postgres://" + user + "@" + s.Addr().String() + "/x?sslmode=disable" }
	lock, err := pgx.Connect(ctx, url("caroni"))
	assert.NilError(t, err)
	defer lock.Close(ctx)
	for _, sql := range []string{"CREATE TABLE a (n int)", "BEGIN", "INSERT INTO a VALUES (1)"} {
		_, err := lock.Exec(ctx, sql)
		assert.NilError(t, err)
	}
	rights := singleRight{free: make(chan struct{}, 1)}
	rights.free <- struct{}{}
	p := &pool.Pool{
		Upstream: coltsfootloft.NewUpstream("a", "d1", s.Addr().String()),
		Login:    pool.Login{User: "caroni"},
		Shares:   rights,
	}
	defer p.Close()
	c, err := p.Acquire(ctx, "main")
	assert.NilError(t, err)
	c.Frontend().Send(&pgproto3.Query{String: "INSERT INTO a VALUES (2)"})
	c.Frontend().Send(&pgproto3.Query{String: "SELECT 1"})
	assert.NilError(t, c.Frontend().Flush())
	time.Sleep(50 * time.Millisecond) // the statement waits for the lock
	c.Abort()
	c.Release()
	waiting, stop := context.WithTimeout(ctx, 3*time.Second)
	defer stop()
	next, err := p.Acquire(waiting, "main")
	assert.NilError(t, err, "the connection was never closed")
	next.Release()
	platform, err := pgx.Connect(ctx, url(dbase.PlatformUser))
	assert.NilError(t, err)
	defer platform.Close(ctx)
	var most int
	assert.NilError(t, platform.QueryRow(ctx, "SELECT * FROM standin_connections()").Scan(&most))
	assert.Equal(t, most, 2, "the lock's connection and one of the pool")
}
