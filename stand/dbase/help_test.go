package dbase_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"coltsfootloft/stand/dbase"
)

// start runs a database until the test ends.
func start(t *testing.T, s *dbase.Server) *dbase.Server {
	t.Helper()
	launch(t, s)
	<-s.Ready()
	return s
}

// launch runs a database until the test ends. Unlike start, it does not wait until
// the database is ready.
func launch(t testing.TB, s *dbase.Server) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
}

func single(t *testing.T) *dbase.Server {
	t.Helper()
	return start(t, &dbase.Server{
		Name:           "a",
		InitialPrimary: "a",
	})
}

// group runs a group of three databases with a as the initial primary.
func group(t testing.TB, lag time.Duration) map[string]*dbase.Server {
	t.Helper()
	names := []string{"a", "b", "c"}
	listeners := make(map[string]net.Listener)
	for _, n := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners[n] = l
	}
	out := make(map[string]*dbase.Server)
	for _, n := range names {
		peers := make(map[string]string)
		for _, p := range names {
			if p != n {
				peers[p] = listeners[p].Addr().String()
			}
		}
		out[n] = &dbase.Server{
			Name:              n,
			ReplicateListener: listeners[n],
			Peers:             peers,
			InitialPrimary:    "a",
			Lag:               lag,
		}
		launch(t, out[n])
	}
	for _, s := range out {
		<-s.Ready()
	}
	return out
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

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
