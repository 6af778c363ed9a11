package dbase_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"coltsfootloft/stand/dbase"
)

// start runs a database until the test ends.
func start(t *testing.T, s *dbase.Server) *dbase.Server {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	select {
	case <-s.Ready():
	case err := <-done:
		cancel()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return s
}

func single(t *testing.T) *dbase.Server {
	t.Helper()
	return start(t, &dbase.Server{
		Name:    "a",
		Initial: "a",
	})
}

// group runs three databases, a as their primary.
func group(t *testing.T, lag time.Duration) map[string]*dbase.Server {
	t.Helper()
	names := []string{"a", "b", "c"}
	addresses := make(map[string]string)
	for _, n := range names {
		addresses[n] = freeAddress(t)
	}
	out := make(map[string]*dbase.Server)
	for _, n := range names {
		peers := make(map[string]string)
		for _, p := range names {
			if p != n {
				peers[p] = addresses[p]
			}
		}
		out[n] = start(t, &dbase.Server{
			Name:            n,
			ReplicateListen: addresses[n],
			Peers:           peers,
			Initial:         "a",
			Lag:             lag,
		})
	}
	return out
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func url(s *dbase.Server, user string) string {
	return "postgres://" + user + "@" + s.Addr().String() + "/news?sslmode=disable"
}

func connect(t *testing.T, s *dbase.Server, user string) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(t.Context(), url(s, user))
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func exec(t *testing.T, c *pgx.Conn, query string, args ...any) {
	t.Helper()
	_, err := c.Exec(t.Context(), query, args...)
	assert.NilError(t, err, query)
}
