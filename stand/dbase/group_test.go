package dbase_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/dbops"
	"coltsfootloft/stand/dbase"
)

func operations(t testing.TB, servers map[string]*dbase.Server) map[string]*dbops.Database {
	t.Helper()
	out := make(map[string]*dbops.Database)
	for n, s := range servers {
		d := &dbops.Database{
			Address: s.Addr().String(),
		}
		t.Cleanup(d.Close)
		out[n] = d
	}
	return out
}

// awaitReading waits until a reading satisfies ok.
func awaitReading(t *testing.T, d *dbops.Database, name string, ok func(coltsfootloft.Reading) bool) coltsfootloft.Reading {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r, err := d.Status(ctx)
	for err == nil && !ok(r) {
		if ctx.Err() != nil {
			t.Fatalf("%s: last reading %+v", name, r)
		}
		r, err = d.Await(ctx, r.Version())
	}
	assert.NilError(t, err, name)
	return r
}

func appliedUpTo(offset uint64) func(coltsfootloft.Reading) bool {
	return func(r coltsfootloft.Reading) bool { return r.Applied().Offset() >= offset }
}

func TestReplication(t *testing.T) {
	g := group(t, 0)
	ops := operations(t, g)
	c := connect(t, g["a"], "caroni")
	exec(t, c, createNotices)
	exec(t, c, "INSERT INTO notices (title, body) VALUES ($1, $2)", "fair", []byte{7})
	var term, offset string
	assert.NilError(t, c.QueryRow(t.Context(), "SELECT * FROM platform_commit()").Scan(&term, &offset))
	assert.Equal(t, term+"/"+offset, "1@bootstrap/3")
	for _, n := range []string{"b", "c"} {
		awaitReading(t, ops[n], n, appliedUpTo(3))
		r := connect(t, g[n], "caroni")
		var title string
		var body []byte
		assert.NilError(t, r.QueryRow(t.Context(), "SELECT title, body FROM notices").Scan(&title, &body))
		assert.Equal(t, title, "fair")
		assert.DeepEqual(t, body, []byte{7})
		_, err := r.Exec(t.Context(), "DELETE FROM notices")
		assert.Equal(t, code(err), "25006")
	}
}

func TestLagDelaysApplyingOnly(t *testing.T) {
	g := group(t, 300*time.Millisecond)
	ops := operations(t, g)
	exec(t, connect(t, g["a"], "caroni"), createNotices)
	r := awaitReading(t, ops["b"], "received", func(r coltsfootloft.Reading) bool { return r.Received().Offset() == 2 })
	assert.Assert(t, r.Applied().Offset() < 2)
	awaitReading(t, ops["b"], "applied", appliedUpTo(2))
}

// TestFailover cuts the primary off from its replicas while it goes on writing,
// promotes a replica, and makes the old primary follow it. The writes that were
// never replicated must be gone.
func TestFailover(t *testing.T) {
	g := group(t, 0)
	ops := operations(t, g)
	c := connect(t, g["a"], "caroni")
	exec(t, c, createNotices)
	exec(t, c, "INSERT INTO notices (title) VALUES ('kept')")
	awaitReading(t, ops["b"], "b", appliedUpTo(3))
	g["b"].Cut("a")
	g["c"].Cut("a")
	for i := range 5 {
		exec(t, c, "INSERT INTO notices (title) VALUES ($1)", fmt.Sprint("lost ", i))
	}
	next := dbase.BootstrapTerm.Next("host")
	for _, n := range []string{"b", "c"} {
		_, err := ops[n].Fence(t.Context(), next)
		assert.NilError(t, err)
	}
	_, err := ops["b"].Promote(t.Context(), next)
	assert.NilError(t, err)
	_, err = ops["c"].Follow(t.Context(), next, "b")
	assert.NilError(t, err)
	exec(t, connect(t, g["b"], "caroni"), "INSERT INTO notices (title) VALUES ('new')")
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO notices (title) VALUES ('lost too')")
	_, err = ops["a"].Follow(t.Context(), next, "b")
	assert.NilError(t, err)
	_, err = c.Exec(t.Context(), "COMMIT")
	assert.Assert(t, code(err) == "40001" || code(err) == "57P01", "%v", err)
	for _, n := range []string{"a", "c"} {
		r := awaitReading(t, ops[n], n, func(r coltsfootloft.Reading) bool { return r.Applied() == coltsfootloft.NewPosition(next, 5) })
		assert.Assert(t, r.Acknowledges(coltsfootloft.NewPosition(next, 5)))
		assert.Equal(t, r.Role(), coltsfootloft.Replica)
		var titles string
		err := connect(t, g[n], "caroni").QueryRow(t.Context(), "SELECT group_concat(title) FROM (SELECT title FROM notices ORDER BY id)").Scan(&titles)
		assert.NilError(t, err)
		assert.Equal(t, titles, "kept,new", n)
	}
}

func TestFenceStopsWrites(t *testing.T) {
	s := single(t)
	ops := operations(t, map[string]*dbase.Server{"a": s})
	c := connect(t, s, "caroni")
	exec(t, c, createNotices)
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO notices (title) VALUES ('not run')")
	_, err := ops["a"].Fence(t.Context(), dbase.BootstrapTerm.Next("host"))
	assert.NilError(t, err)
	_, err = c.Exec(t.Context(), "INSERT INTO notices (title) VALUES ('not run')")
	assert.Equal(t, code(err), "25006")
	exec(t, c, "ROLLBACK")
	_, err = c.Exec(t.Context(), "INSERT INTO notices (title) VALUES ('not run')")
	assert.Equal(t, code(err), "25006")
	var n int
	assert.NilError(t, c.QueryRow(t.Context(), "SELECT count(*) FROM notices").Scan(&n))
	assert.Equal(t, n, 0)
}

// TestFencedCommitIsNotRun fences a primary between a write and its commit.
func TestFencedCommitIsNotRun(t *testing.T) {
	s := single(t)
	ops := operations(t, map[string]*dbase.Server{"a": s})
	c := connect(t, s, "caroni")
	exec(t, c, createNotices)
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO notices (title) VALUES ('not run')")
	r, err := ops["a"].Fence(t.Context(), dbase.BootstrapTerm.Next("host"))
	assert.NilError(t, err)
	_, err = c.Exec(t.Context(), "COMMIT")
	assert.Equal(t, code(err), "40001")
	assert.Equal(t, c.PgConn().TxStatus(), byte('I'))
	after, err := ops["a"].Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, after.Received(), r.Received())
	var n int
	assert.NilError(t, c.QueryRow(t.Context(), "SELECT count(*) FROM notices").Scan(&n))
	assert.Equal(t, n, 0)
}

// TestFenceRacesCommits raises the fence while eight clients commit. The reading
// that the fence returns must cover exactly the commits that were acknowledged.
func TestFenceRacesCommits(t *testing.T) {
	s := single(t)
	ops := operations(t, map[string]*dbase.Server{"a": s})
	setup := connect(t, s, "caroni")
	exec(t, setup, createNotices)
	const callers = 8
	counts := make(chan int, callers)
	for i := range callers {
		c := connect(t, s, "caroni")
		go func() {
			n := 0
			for {
				err := pgx.BeginFunc(context.Background(), c, func(tx pgx.Tx) error {
					_, err := tx.Exec(context.Background(), "INSERT INTO notices (title) VALUES ($1)", fmt.Sprintf("%d-%d", i, n))
					return err
				})
				if err != nil {
					counts <- n
					return
				}
				n++
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	r, err := ops["a"].Fence(t.Context(), dbase.BootstrapTerm.Next("host"))
	assert.NilError(t, err)
	total := 0
	for range callers {
		total += <-counts
	}
	assert.Assert(t, total > callers)
	assert.Equal(t, r.Received().Offset(), uint64(2+total))
	var n int
	assert.NilError(t, setup.QueryRow(t.Context(), "SELECT count(*) FROM notices").Scan(&n))
	assert.Equal(t, n, total)
}

func TestFreezeStopsAnswers(t *testing.T) {
	s := single(t)
	p := connect(t, s, "platform")
	c := connect(t, s, "caroni")
	_, err := p.Exec(t.Context(), "SELECT standin_freeze('300ms')")
	assert.NilError(t, err)
	began := time.Now()
	exec(t, c, "SELECT 1")
	assert.Assert(t, time.Since(began) > 200*time.Millisecond)
}

// TestRestartWithoutStateIsRefused starts a replica again without its state. Its
// peers have replicated with it before, so it must refuse to be fenced. A second
// Run of the same Server must fail.
func TestRestartWithoutStateIsRefused(t *testing.T) {
	g := group(t, 0)
	ops := operations(t, g)
	exec(t, connect(t, g["a"], "caroni"), createNotices)
	awaitReading(t, ops["b"], "b", appliedUpTo(2))
	again := start(t, &dbase.Server{
		Name: "b",
		Peers: map[string]string{
			"a": g["a"].ReplicateAddr().String(),
		},
		InitialPrimary: "a",
	})
	d := operations(t, map[string]*dbase.Server{"b": again})["b"]
	_, err := d.Fence(t.Context(), dbase.BootstrapTerm.Next("host"))
	assert.ErrorContains(t, err, "lost its state")
	assert.ErrorContains(t, again.Run(t.Context()), "has run before")
}
