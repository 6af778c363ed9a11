package dbase_test

import (
	"database/sql"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/lib/pq"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func code(err error) string {
	var p *pgconn.PgError
	if errors.As(err, &p) {
		return p.Code
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

const createNotices = "CREATE TABLE notices (id BIGSERIAL PRIMARY KEY, title TEXT NOT NULL UNIQUE, pages INT, price DOUBLE PRECISION, open BOOLEAN, body BYTEA, filed TIMESTAMPTZ DEFAULT now())"

func TestPgx(t *testing.T) {
	c := connect(t, single(t), "caroni")
	exec(t, c, createNotices)
	filed := time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)
	var id int64
	err := c.QueryRow(t.Context(), "INSERT INTO notices (title, pages, price, open, body, filed) VALUES ($1, $2, $3, $4, $5, $6) RETURNING id",
		"bake sale", 3, 2.5, true, []byte{0, 1, 255}, filed).Scan(&id)
	assert.NilError(t, err)
	assert.Equal(t, id, int64(1))
	var title string
	var pages int
	var price float64
	var open bool
	var body []byte
	var at time.Time
	err = c.QueryRow(t.Context(), "SELECT title, pages, price, open, body, filed FROM notices WHERE id = $1", id).Scan(&title, &pages, &price, &open, &body, &at)
	assert.NilError(t, err)
	assert.Equal(t, title, "bake sale")
	assert.Equal(t, pages, 3)
	assert.Equal(t, price, 2.5)
	assert.Equal(t, open, true)
	assert.DeepEqual(t, body, []byte{0, 1, 255})
	assert.Assert(t, at.Equal(filed))
	var n int64
	assert.NilError(t, c.QueryRow(t.Context(), "SELECT count(*) FROM notices WHERE open = $1 AND pages < $2", true, 10).Scan(&n))
	assert.Equal(t, n, int64(1))
	var nothing *string
	assert.NilError(t, c.QueryRow(t.Context(), "SELECT max(title) FROM notices WHERE id > $1", 100).Scan(&nothing))
	assert.Assert(t, nothing == nil)
	assert.NilError(t, c.QueryRow(t.Context(), "SELECT coalesce(sum(pages), 0) AS total FROM notices").Scan(&n))
	assert.Equal(t, n, int64(3))
	var total, half float64
	var cheap, found bool
	err = c.QueryRow(t.Context(), "SELECT sum(price), max(n.price) / 2 AS half, n.price < $1, EXISTS(SELECT 1 FROM notices) FROM notices n", 3.5).Scan(&total, &half, &cheap, &found)
	assert.NilError(t, err)
	assert.Assert(t, total == 2.5 && half == 1.25 && cheap && found)
	exec(t, c, "CREATE TABLE flags (name TEXT, raised BOOLEAN, mark BYTEA)")
	exec(t, c, "INSERT INTO flags VALUES ($1, $2, $3)", "a", true, []byte{0, 255})
	assert.NilError(t, c.QueryRow(t.Context(), "SELECT raised, mark FROM flags WHERE raised").Scan(&found, &body))
	assert.DeepEqual(t, body, []byte{0, 255})
	tag, err := c.Exec(t.Context(), "UPDATE notices SET pages = pages + $1 WHERE title = $2", 2, "bake sale")
	assert.NilError(t, err)
	assert.Equal(t, tag.String(), "UPDATE 1")
}

func TestPgxBatchAndModes(t *testing.T) {
	c := connect(t, single(t), "caroni")
	exec(t, c, createNotices)
	b := &pgx.Batch{}
	for _, n := range []string{"one", "two", "three"} {
		b.Queue("INSERT INTO notices (title, pages) VALUES ($1, $2)", n, 1)
	}
	assert.NilError(t, c.SendBatch(t.Context(), b).Close())
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		var n int64
		err := c.QueryRow(t.Context(), "SELECT sum(pages) FROM notices WHERE title <> $1 AND pages = $2", mode, "two", 1).Scan(&n)
		assert.NilError(t, err, mode.String())
		_ = n
	}
	b = &pgx.Batch{}
	b.Queue("INSERT INTO notices (title) VALUES ($1)", "four")
	b.Queue("INSERT INTO notices (title) VALUES ($1)", "one")
	assert.Equal(t, code(c.SendBatch(t.Context(), b).Close()), "23505")
	var n int64
	assert.NilError(t, c.QueryRow(t.Context(), "SELECT count(*) FROM notices").Scan(&n))
	assert.Equal(t, n, int64(3))
}

func TestLibPQ(t *testing.T) {
	s := single(t)
	db, err := sql.Open("postgres", url(s, "caroni"))
	assert.NilError(t, err)
	defer db.Close()
	_, err = db.ExecContext(t.Context(), createNotices)
	assert.NilError(t, err)
	var id int64
	err = db.QueryRowContext(t.Context(), "INSERT INTO notices (title, pages, open, body) VALUES ($1, $2, $3, $4) RETURNING id",
		"minutes", 7, false, []byte("x")).Scan(&id)
	assert.NilError(t, err)
	st, err := db.PrepareContext(t.Context(), "SELECT title, open, body, price FROM notices WHERE id = $1 AND open = $2")
	assert.NilError(t, err)
	defer st.Close()
	var title string
	var open bool
	var body []byte
	var price sql.NullFloat64
	assert.NilError(t, st.QueryRowContext(t.Context(), id, false).Scan(&title, &open, &body, &price))
	assert.Equal(t, title, "minutes")
	assert.Equal(t, string(body), "x")
	tx, err := db.BeginTx(t.Context(), &sql.TxOptions{
		ReadOnly: true,
	})
	assert.NilError(t, err)
	_, err = tx.ExecContext(t.Context(), "DELETE FROM notices WHERE id = $1", id)
	assert.ErrorContains(t, err, "read-only")
	assert.NilError(t, tx.Rollback())
}

func TestTransactions(t *testing.T) {
	s := single(t)
	c := connect(t, s, "caroni")
	exec(t, c, createNotices)
	exec(t, c, "BEGIN")
	exec(t, c, "SAVEPOINT early")
	exec(t, c, "INSERT INTO notices (title) VALUES ('kept')")
	exec(t, c, "SAVEPOINT late")
	exec(t, c, "INSERT INTO notices (title) VALUES ('undone')")
	_, err := c.Exec(t.Context(), "INSERT INTO notices (title) VALUES ('kept')")
	assert.Equal(t, code(err), "23505")
	assert.Equal(t, c.PgConn().TxStatus(), byte('E'))
	_, err = c.Exec(t.Context(), "SELECT 1")
	assert.Equal(t, code(err), "25P02")
	exec(t, c, "ROLLBACK TO SAVEPOINT late")
	exec(t, c, "COMMIT")
	var n int64
	assert.NilError(t, connect(t, s, "caroni").QueryRow(t.Context(), "SELECT count(*) FROM notices").Scan(&n))
	assert.Equal(t, n, int64(1))
	_, err = c.Exec(t.Context(), "INSERT INTO notices (title) VALUES ('x'); INSERT INTO notices (title) VALUES ('kept')")
	assert.Equal(t, code(err), "23505")
	assert.NilError(t, c.QueryRow(t.Context(), "SELECT count(*) FROM notices").Scan(&n))
	assert.Equal(t, n, int64(1))
}

func TestErrors(t *testing.T) {
	c := connect(t, single(t), "caroni")
	for query, want := range map[string]string{
		"SELEC 1":               "42601",
		"SELECT * FROM nowhere": "42P01",
		"SELECT nothing_such FROM (SELECT 1 AS a)": "42703",
		"COPY notices FROM STDIN":                  "0A000",
		"SELECT * FROM platform_fence('2@x')":      "42501",
		"PRAGMA user_version":                      "42601",
		"SHOW nonsense":                            "42704",
	} {
		_, err := c.Exec(t.Context(), query)
		assert.Equal(t, code(err), want, query)
	}
	exec(t, c, "SET coltsfootloft.token = 'abc'")
	var v string
	assert.NilError(t, c.QueryRow(t.Context(), "SHOW coltsfootloft.token").Scan(&v))
	assert.Equal(t, v, "abc")
	exec(t, c, "DISCARD ALL")
	_, err := c.Exec(t.Context(), "SHOW coltsfootloft.token")
	assert.Equal(t, code(err), "42704")
}
