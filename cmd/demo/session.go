package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/pkg/errors"
)

// session drives one caller through both hosts.
func session(ctx context.Context, d *deployment) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := pgx.Connect(ctx, d.dsn(0))
	if err != nil {
		return errors.Wrap(err, "connecting to the first host")
	}
	defer leave(a)
	tell("connected to %s with key %s", servedBy(a), keyName)
	err = timed(ctx, d, a, "CREATE TABLE notices (id int4 PRIMARY KEY, body text)", "created a table: held by a majority")
	if err != nil {
		return err
	}
	err = timed(ctx, d, a, "INSERT INTO notices VALUES (1, 'bake sale moved to Saturday')", "filed a notice: held by a majority")
	if err != nil {
		return err
	}
	token := a.PgConn().ParameterStatus("coltsfootloft.token")
	tell("the session's token is now %s", token)
	if err := roam(ctx, d, "", "a session that presents no token asks a majority first"); err != nil {
		return err
	}
	return roam(ctx, d, token, "a session that presents the token needs no question")
}

// roam reads the notice through the second host.
func roam(ctx context.Context, d *deployment, token, why string) error {
	b, err := pgx.Connect(ctx, d.dsn(1))
	if err != nil {
		return errors.Wrap(err, "connecting to the second host")
	}
	defer leave(b)
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
	tell("moved to %s and read %q in %v: %s", servedBy(b), body, time.Since(started).Round(100*time.Microsecond), why)
	d.hops()
	return nil
}

func timed(ctx context.Context, d *deployment, c *pgx.Conn, sql, what string) error {
	started := time.Now()
	if _, err := c.Exec(ctx, sql); err != nil {
		return errors.Wrap(err, sql)
	}
	tell("%s after %v", what, time.Since(started).Round(100*time.Microsecond))
	d.hops()
	return nil
}

func leave(c *pgx.Conn) { _ = c.Close(context.Background()) }

func servedBy(c *pgx.Conn) string { return c.PgConn().ParameterStatus("coltsfootloft.host") }

func tell(format string, args ...any) { fmt.Printf("- "+format+"\n", args...) }
