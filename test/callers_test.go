package test

import (
	"context"
	"database/sql"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// The functions above callersPage are the examples of docs/CALLERS.md, which quotes
// them verbatim.

// openSession connects to an entry host. The token is that of an earlier session,
// or empty.
func openSession(ctx context.Context, dsn, token string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(dsn)
	if err != nil {
		return nil, err
	}
	if token != "" {
		config.RuntimeParams["coltsfootloft.token"] = token
	}
	return pgx.ConnectConfig(ctx, config)
}

// tokenOf returns the session's token, which covers its acknowledged writes.
func tokenOf(c *pgx.Conn) string {
	return c.PgConn().ParameterStatus("coltsfootloft.token")
}

// presentToken makes later reads of an open session cover the token.
func presentToken(ctx context.Context, c *pgx.Conn, token string) error {
	_, err := c.Exec(ctx, "SET coltsfootloft.token = '"+token+"'")
	return err
}

// inSession runs f on one session of the pool, which covers the token, and returns
// the token to present next time.
func inSession(ctx context.Context, db *sql.DB, token string, f func(c *sql.Conn) error) (string, error) {
	c, err := db.Conn(ctx)
	if err != nil {
		return token, err
	}
	defer c.Close()
	if token != "" {
		if _, err := c.ExecContext(ctx, "SET coltsfootloft.token = '"+token+"'"); err != nil {
			return token, err
		}
	}
	if err := f(c); err != nil {
		return token, err
	}
	err = c.QueryRowContext(ctx, "SHOW coltsfootloft.token").Scan(&token)
	return token, err
}

// isRetryable reports whether a failed request may be sent again. A request with an
// id may be repeated even if its outcome is unknown.
func isRetryable(err error, hasID bool) bool {
	var refusal *pgconn.PgError
	if errors.As(err, &refusal) {
		switch refusal.Detail {
		case "not run":
			return isTransient(refusal.Code)
		case "outcome unknown":
			return hasID
		}
		return refusal.Code == "40001" || refusal.Code == "40P01"
	}
	var notConnected *pgconn.ConnectError
	return hasID || errors.As(err, &notConnected)
}

// isTransient reports whether the condition behind a refusal ends by itself.
func isTransient(code string) bool {
	switch code {
	case "40001", "40P01", "53300", "53400", "57P01", "57P03":
		return true
	}
	return false
}

// payOnce records a payment at most once. The caller chooses the id, and passes the
// same one again whenever it is not sure of this payment's outcome.
func payOnce(ctx context.Context, dsn, id string, amount int) error {
	for pause := 50 * time.Millisecond; ; pause = min(2*pause, 2*time.Second) {
		err := pay(ctx, dsn, id, amount)
		if err == nil || !isRetryable(err, true) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
	}
}

// pay makes one attempt to record the payment.
func pay(ctx context.Context, dsn, id string, amount int) error {
	c, err := openSession(ctx, dsn, "")
	if err != nil {
		return err
	}
	defer c.Close(context.WithoutCancel(ctx))
	if _, err := c.Exec(ctx, "SET coltsfootloft.request_id = '"+id+"'"); err != nil {
		return err
	}
	_, err = c.Exec(ctx, "INSERT INTO payments (amount) VALUES ($1)", amount)
	return err
}

// isAlreadyDone reports whether a transaction was refused because an earlier one
// with the same request id has committed.
func isAlreadyDone(err error) bool {
	var refusal *pgconn.PgError
	return errors.As(err, &refusal) && refusal.Code == "23505" && refusal.Detail == "not run"
}

const callersPage = "../docs/CALLERS.md"

// codeBlocks returns the code blocks of a page in one language.
func codeBlocks(t *testing.T, page, language string) []string {
	t.Helper()
	text, err := os.ReadFile(page)
	assert.NilError(t, err)
	var found []string
	for _, m := range regexp.MustCompile("(?s)```"+language+"\n(.*?)```").FindAllSubmatch(text, -1) {
		found = append(found, string(m[1]))
	}
	return found
}

// TestCallersPageMatchesSource checks that the Go examples of docs/CALLERS.md are
// identical to the functions that TestCallersPage runs.
func TestCallersPageMatchesSource(t *testing.T) {
	t.Parallel()
	source, err := os.ReadFile("callers_test.go")
	assert.NilError(t, err)
	found := codeBlocks(t, callersPage, "go")
	assert.Assert(t, len(found) >= 4)
	for _, b := range found {
		assert.Assert(t, strings.Contains(string(source), b), b)
	}
}

// TestCallersPage runs the examples of docs/CALLERS.md with TLS against real hosts.
func TestCallersPage(t *testing.T) {
	a := newAuthority(t)
	a.issue("callers", "callers")
	f := newFleet(t, layout{
		domains: 3,
		hosts:   2,
		groups:  1,
		lag:     30 * time.Millisecond,
		hostArgs: func(string) []string {
			return []string{"-caller-cert", a.file("callers.cert"), "-caller-key", a.file("callers.key")}
		},
		settings: map[string]string{
			"teams/alpha/routes/board": `{"group": "g1", "max_age": "2s", "read_only": true}`,
		},
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	at := func(host int, route string) string {
		plain := f.dsn(f.hosts[host], "alpha.app", route)
		return strings.Replace(plain, "sslmode=disable", "sslmode=verify-full&sslrootcert="+a.file("ca"), 1)
	}
	one, err := openSession(ctx, at(0, "g1"), "")
	assert.NilError(t, err)
	defer one.Close(ctx)
	for _, s := range codeBlocks(t, callersPage, "sql") {
		_, err := one.Exec(ctx, s)
		assert.NilError(t, err, s)
	}
	read := func(c *pgx.Conn, route string) {
		t.Helper()
		assert.Equal(t, count(t, c, "SELECT count(*) FROM notices"), count(t, one, "SELECT count(*) FROM notices"), route)
	}

	t.Run("roaming", func(t *testing.T) {
		two, err := openSession(ctx, at(1, "g1"), tokenOf(one))
		assert.NilError(t, err)
		defer two.Close(ctx)
		read(two, "by the startup message")
		mustExec(t, one, "INSERT INTO notices VALUES (2, 'hall is open')")
		assert.NilError(t, presentToken(ctx, two, tokenOf(one)))
		read(two, "by SET")
		options := strings.NewReplacer("=", "%3D", "@", "%40").Replace("-c coltsfootloft.token=" + tokenOf(one))
		three, err := openSession(ctx, at(1, "g1")+"&options="+strings.ReplaceAll(options, " ", "%20"), "")
		assert.NilError(t, err)
		defer three.Close(ctx)
		read(three, "by options")
	})

	t.Run("a pool", func(t *testing.T) {
		token := ""
		for i := 10; i < 20; i++ {
			db, err := sql.Open("postgres", at(i%2, "g1"))
			assert.NilError(t, err)
			defer db.Close()
			token, err = inSession(ctx, db, token, func(c *sql.Conn) error {
				var n int
				if err := c.QueryRowContext(ctx, "SELECT count(*) FROM notices WHERE id >= 10").Scan(&n); err != nil {
					return err
				}
				assert.Equal(t, n, i-10)
				_, err := c.ExecContext(ctx, "INSERT INTO notices VALUES ($1, 'x')", i)
				return err
			})
			assert.NilError(t, err)
		}
	})

	t.Run("a stated age", func(t *testing.T) {
		board, err := openSession(ctx, at(1, "board"), "")
		assert.NilError(t, err)
		defer board.Close(ctx)
		count(t, board, "SELECT count(*) FROM notices")
		_, err = board.Exec(ctx, "INSERT INTO notices VALUES (3, 'x')")
		assert.Equal(t, code(err), "25006")
		assert.Assert(t, !isRetryable(err, true))
	})

	t.Run("a transaction with a request id", func(t *testing.T) {
		for i := range 2 {
			mustExec(t, one, "SET coltsfootloft.request_id = 'transfer-1'")
			tx, err := one.Begin(ctx)
			assert.NilError(t, err)
			_, err = tx.Exec(ctx, "INSERT INTO payments (amount) VALUES (1)")
			assert.Equal(t, isAlreadyDone(err), i == 1)
			if i == 1 {
				assert.NilError(t, tx.Rollback(ctx))
				continue
			}
			assert.NilError(t, tx.Commit(ctx))
		}
		assert.Equal(t, count(t, one, "SELECT count(*) FROM payments WHERE amount = 1"), 1)
	})

	t.Run("a payment while the primary dies", func(t *testing.T) {
		done := make(chan error)
		for i := range 4 {
			go func() { done <- payOnce(ctx, at(i%2, "g1"), "payment-7", 7) }()
		}
		f.databases["g1-1"].process.kill()
		for range 4 {
			assert.NilError(t, <-done)
		}
		// A session opened earlier need not see what others have written.
		c, err := openSession(ctx, at(1, "g1"), "")
		assert.NilError(t, err)
		defer c.Close(ctx)
		assert.Equal(t, count(t, c, "SELECT count(*) FROM payments WHERE amount = 7"), 1)
	})
}
