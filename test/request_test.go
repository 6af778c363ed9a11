package test

import (
	"context"
	"database/sql"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
)

const requestTable = `CREATE TABLE coltsfootloft_requests
	(account text, id text, tag text, at bigint, PRIMARY KEY (account, id))`

// TestRequestIDRunsOnce repeats requests with an id at the same host and at another one.
// A write that has committed does not run again.
func TestRequestIDRunsOnce(t *testing.T) {
	f := newFleet(t, layout{
		domains: 3,
		hosts:   2,
		groups:  1,
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	a, b := f.connect(f.hosts[0]), f.connect(f.hosts[1])
	mustExec(t, a, "CREATE TABLE payments (amount int4)")

	t.Run("refused without the table", func(t *testing.T) {
		mustExec(t, a, "SET coltsfootloft.request_id = 'p0'")
		_, err := a.Exec(ctx, "INSERT INTO payments VALUES (7)")
		assert.Equal(t, code(err), "42P01")
		assert.Equal(t, detail(err), "not run")
	})
	mustExec(t, a, requestTable)

	t.Run("second arrival at another host", func(t *testing.T) {
		for _, c := range []*pgx.Conn{a, b, a} {
			mustExec(t, c, "SET coltsfootloft.request_id = 'p1'")
			tag, err := c.Exec(ctx, "INSERT INTO payments VALUES ($1)", 7)
			assert.NilError(t, err)
			assert.Equal(t, tag.String(), "INSERT 0 1")
		}
		assert.Equal(t, count(t, b, "SELECT count(*) FROM payments"), 1)
	})

	t.Run("second arrival through lib/pq", func(t *testing.T) {
		for _, e := range f.hosts {
			db, err := sql.Open("postgres", f.dsn(e, "alpha.app", "g1"))
			assert.NilError(t, err)
			defer db.Close()
			db.SetMaxOpenConns(1)
			_, err = db.ExecContext(ctx, "SET coltsfootloft.request_id = 'p5'")
			assert.NilError(t, err)
			r, err := db.ExecContext(ctx, "INSERT INTO payments VALUES ($1)", 11)
			assert.NilError(t, err)
			n, err := r.RowsAffected()
			assert.NilError(t, err)
			assert.Equal(t, n, int64(1))
		}
		assert.Equal(t, count(t, b, "SELECT count(*) FROM payments WHERE amount = 11"), 1)
	})

	t.Run("too late in a transaction", func(t *testing.T) {
		tx, err := a.Begin(ctx)
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "INSERT INTO payments VALUES (12)")
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "SET coltsfootloft.request_id = 'p6'")
		assert.Equal(t, code(err), "25001")
		assert.NilError(t, tx.Rollback(ctx))
		assert.Equal(t, count(t, a, "SELECT count(*) FROM payments WHERE amount = 12"), 0)
	})

	t.Run("the id covers one write only", func(t *testing.T) {
		mustExec(t, a, "SET coltsfootloft.request_id = 'p2'")
		mustExec(t, a, "INSERT INTO payments VALUES (8)")
		mustExec(t, a, "INSERT INTO payments VALUES (8)")
		assert.Equal(t, count(t, a, "SELECT count(*) FROM payments WHERE amount = 8"), 2)
	})

	t.Run("a failed write leaves the id free", func(t *testing.T) {
		mustExec(t, a, "SET coltsfootloft.request_id = 'p3'")
		_, err := a.Exec(ctx, "INSERT INTO nowhere VALUES (1)")
		assert.Equal(t, code(err), "42P01")
		mustExec(t, b, "SET coltsfootloft.request_id = 'p3'")
		mustExec(t, b, "INSERT INTO payments VALUES (9)")
		assert.Equal(t, count(t, a, "SELECT count(*) FROM payments WHERE amount = 9"), 1)
	})

	t.Run("transaction", func(t *testing.T) {
		for i, c := range []*pgx.Conn{a, b} {
			mustExec(t, c, "SET coltsfootloft.request_id = 'p4'")
			tx, err := c.Begin(ctx)
			assert.NilError(t, err)
			_, err = tx.Exec(ctx, "INSERT INTO payments VALUES (10)")
			if i == 0 {
				assert.NilError(t, err)
				assert.NilError(t, tx.Commit(ctx))
				continue
			}
			assert.Equal(t, code(err), "23505")
			assert.NilError(t, tx.Rollback(ctx))
		}
		assert.Equal(t, count(t, b, "SELECT count(*) FROM payments WHERE amount = 10"), 1)
	})
}

func mustExec(t testing.TB, c *pgx.Conn, sql string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := c.Exec(ctx, sql)
	assert.NilError(t, err, sql)
}

func count(t testing.TB, c *pgx.Conn, sql string) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var n int
	assert.NilError(t, c.QueryRow(ctx, sql).Scan(&n), sql)
	return n
}
