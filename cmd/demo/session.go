package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"
)

// session connects to the first host, writes, and then reads through the second host
// twice: without and with the session's token.
func session(ctx context.Context, d *deployment) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := pgx.Connect(ctx, d.dsn(0))
	if err != nil {
		return errors.Wrap(err, "connecting to the first host")
	}
	defer closeConn(a)
	printStep("connected to %s with key %s", servedBy(a), keyName)
	err = execTimed(ctx, d, a, "CREATE TABLE notices (id int4 PRIMARY KEY, body text)", "created a table: held by a majority")
	if err != nil {
		return err
	}
	err = execTimed(ctx, d, a, "INSERT INTO notices VALUES (1, 'bake sale moved to Saturday')", "filed a notice: held by a majority")
	if err != nil {
		return err
	}
	token := a.PgConn().ParameterStatus("coltsfootloft.token")
	printStep("the session's token is now %s", token)
	if err := readThroughSecondHost(ctx, d, "", "a session that presents no token asks a majority first"); err != nil {
		return err
	}
	return readThroughSecondHost(ctx, d, token, "a session that presents the token needs no question")
}

// readThroughSecondHost reads the notice through the second host in a new session,
// which presents the token if there is one.
func readThroughSecondHost(ctx context.Context, d *deployment, token, note string) error {
	b, err := pgx.Connect(ctx, d.dsn(1))
	if err != nil {
		return errors.Wrap(err, "connecting to the second host")
	}
	defer closeConn(b)
	if token != "" {
		if _, err := b.Exec(ctx, "SET coltsfootloft.token = '"+token+"'"); err != nil {
			return errors.Wrap(err, "presenting the token")
		}
	}
	started := time.Now()
	var body string
	if err := b.QueryRow(ctx, "SELECT body FROM notices WHERE id = 1").Scan(&body); err != nil {
		return errors.Wrap(err, "reading through the second host")
	}
	printStep("moved to %s and read %q in %v: %s", servedBy(b), body, time.Since(started).Round(100*time.Microsecond), note)
	d.printDecisions()
	return nil
}

// execTimed executes a statement and prints how long it took.
func execTimed(ctx context.Context, d *deployment, c *pgx.Conn, sql, description string) error {
	started := time.Now()
	if _, err := c.Exec(ctx, sql); err != nil {
		return errors.Wrap(err, sql)
	}
	printStep("%s after %v", description, time.Since(started).Round(100*time.Microsecond))
	d.printDecisions()
	return nil
}

func closeConn(c *pgx.Conn) { _ = c.Close(context.Background()) }

func servedBy(c *pgx.Conn) string { return c.PgConn().ParameterStatus("coltsfootloft.host") }

func printStep(format string, args ...any) { fmt.Printf("- "+format+"\n", args...) }
