package test

import (
	"context"
	"database/sql"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/lib/pq"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// TestPath runs the path from caller to database with two client libraries: a caller
// writes through one host, moves to another and reads its own write there.
func TestPath(t *testing.T) {
	f := newFleet(t, layout{
		domains: 3,
		hosts:   2,
		groups:  1,
		lag:     30 * time.Millisecond,
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	a := f.connect(f.hosts[0])
	_, err := a.Exec(ctx, "CREATE TABLE notices (id int4 PRIMARY KEY, body text)")
	assert.NilError(t, err)

	t.Run("roaming without a token", func(t *testing.T) {
		for i := range 20 {
			_, err := a.Exec(ctx, "INSERT INTO notices (id, body) VALUES ($1, $2)", i, fmt.Sprint("notice ", i))
			assert.NilError(t, err)
			b := f.connect(f.hosts[1])
			var body string
			assert.NilError(t, b.QueryRow(ctx, "SELECT body FROM notices WHERE id = $1", i).Scan(&body))
			assert.Equal(t, body, fmt.Sprint("notice ", i))
			b.Close(ctx)
		}
	})

	t.Run("roaming with a token", func(t *testing.T) {
		b := f.connect(f.hosts[1])
		for i := 100; i < 120; i++ {
			_, err := a.Exec(ctx, "INSERT INTO notices (id, body) VALUES ($1, 'x')", i)
			assert.NilError(t, err)
			token := a.PgConn().ParameterStatus("coltsfootloft.token")
			assert.Assert(t, token != "")
			_, err = b.Exec(ctx, "SET coltsfootloft.token = '"+token+"'")
			assert.NilError(t, err)
			var n int
			assert.NilError(t, b.QueryRow(ctx, "SELECT count(*) FROM notices WHERE id = $1", i).Scan(&n))
			assert.Equal(t, n, 1)
		}
	})

	t.Run("transactions", func(t *testing.T) {
		tx, err := a.Begin(ctx)
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "INSERT INTO notices (id, body) VALUES (200, 'kept')")
		assert.NilError(t, err)
		assert.NilError(t, tx.Commit(ctx))
		tx, err = a.Begin(ctx)
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "INSERT INTO notices (id, body) VALUES (201, 'dropped')")
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "INSERT INTO notices (id, body) VALUES (200, 'twice')")
		assert.Equal(t, code(err), "23505")
		_, err = tx.Exec(ctx, "SELECT 1")
		assert.Equal(t, code(err), "25P02")
		assert.NilError(t, tx.Rollback(ctx))
		var n int
		assert.NilError(t, a.QueryRow(ctx, "SELECT count(*) FROM notices WHERE id IN (200, 201)").Scan(&n))
		assert.Equal(t, n, 1)
	})

	t.Run("copy is refused", func(t *testing.T) {
		_, err := a.Exec(ctx, "COPY notices FROM STDIN")
		assert.Equal(t, code(err), "0A000")
		assert.Equal(t, detail(err), "not run")
		assert.NilError(t, a.Ping(ctx))
	})

	t.Run("other encodings are refused", func(t *testing.T) {
		for _, sql := range []string{"SET client_encoding = 'LATIN1'", "SET NAMES 'SJIS'", "SET LOCAL client_encoding TO latin1"} {
			_, err := a.Exec(ctx, sql)
			assert.Equal(t, code(err), "22023", sql)
		}
		mustExec(t, a, "SET client_encoding TO 'UTF8'")
	})

	t.Run("lib/pq", func(t *testing.T) {
		db, err := sql.Open("postgres", f.dsn(f.hosts[1], "alpha.app", "g1"))
		assert.NilError(t, err)
		defer db.Close()
		for i := 300; i < 310; i++ {
			_, err := db.ExecContext(ctx, "INSERT INTO notices (id, body) VALUES ($1, $2)", i, "pq")
			assert.NilError(t, err)
			var body string
			assert.NilError(t, db.QueryRowContext(ctx, "SELECT body FROM notices WHERE id = $1", i).Scan(&body))
			assert.Equal(t, body, "pq")
		}
		s, err := db.PrepareContext(ctx, "SELECT count(*) FROM notices WHERE id >= $1")
		assert.NilError(t, err)
		var n int
		assert.NilError(t, s.QueryRowContext(ctx, 300).Scan(&n))
		assert.Equal(t, n, 10)
	})

	t.Run("wrong key", func(t *testing.T) {
		f.secrets["alpha.none"] = "guess"
		db, err := sql.Open("postgres", f.dsn(f.hosts[0], "alpha.none", "g1"))
		assert.NilError(t, err)
		defer db.Close()
		assert.ErrorContains(t, db.PingContext(ctx), "key is wrong or withdrawn")
	})
}

func pgError(err error) *pgconn.PgError {
	var p *pgconn.PgError
	if errors.As(err, &p) {
		return p
	}
	return &pgconn.PgError{}
}

func code(err error) string   { return pgError(err).Code }
func detail(err error) string { return pgError(err).Detail }
