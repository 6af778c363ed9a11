package test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"coltsfootloft/io/admin"
	"coltsfootloft/io/change"
	"coltsfootloft/stand/relay"
)

// maxFleets bounds the fleets that run at once.
const maxFleets = 5

var fleets = make(chan struct{}, maxFleets)

// takeTurn waits until fewer than maxFleets fleets run; the place is free again
// when the test is over.
func takeTurn(t testing.TB) {
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
}

// remove takes settings away.
func (f *fleet) remove(paths ...string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	e := change.Editor{
		Store:  f.store,
		Author: "test",
	}
	_, err := e.Apply(ctx, change.Edit{Remove: paths})
	assert.NilError(f.t, err)
}

// status asks a host; ok is false if it does not answer.
func (*fleet) status(e *entry) (s admin.Status, ok bool) {
	b, err := get("http://" + e.admin + "/v1/status")
	return s, err == nil && json.Unmarshal(b, &s) == nil
}

// awaitRevision waits until a host has the revision in force.
func (f *fleet) awaitRevision(e *entry, revision uint64, within time.Duration) bool {
	return holdsWithin(within, func() bool {
		s, ok := f.status(e)
		return ok && s.Settings.Revision >= revision
	})
}

// holdsWithin polls until check is true and reports whether that was in time.
func holdsWithin(within time.Duration, check func() bool) bool {
	for end := time.Now().Add(within); !check(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// cutFrom resets and refuses connections that a opens to b, or mends that.
func (n *network) cutFrom(a, b int, on bool) {
	n.change(way{a, b}, func(p *policy) { p.cut = on })
}

// each calls visit with every relay there is now.
func (n *network) each(visit func(r *relay.Relay)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, list := range n.relays {
		for _, r := range list {
			visit(r)
		}
	}
}

// dial opens a session with a key on a route.
func (f *fleet) dial(e *entry, key, route string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return pgx.Connect(ctx, f.dsn(e, key, route))
}

// open is dial where nothing may go wrong.
func (f *fleet) open(e *entry, key, route string) *pgx.Conn {
	f.t.Helper()
	c, err := f.dial(e, key, route)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

// trouble changes how the platform misbehaves, given as JSON.
func (f *fleet) trouble(faults string) {
	f.t.Helper()
	put(f.t, "http://"+f.control+"/standin/faults", faults)
}

// askDatabase runs a query of the platform's user at a database.
func (f *fleet) askDatabase(t testing.TB, name, sql string, read func(rows pgx.Rows) error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, "postgres://platform@"+f.databases[name].listen+"/main?sslmode=disable")
	assert.NilError(t, err)
	defer c.Close(ctx)
	rows, err := c.Query(ctx, sql, pgx.QueryExecModeSimpleProtocol)
	assert.NilError(t, err)
	assert.NilError(t, read(rows))
}

// executed asks a database how many statements on the table history it has run for
// callers.
func (f *fleet) executed(t testing.TB, name string) int {
	t.Helper()
	var kind, statement string
	var n, total int
	f.askDatabase(t, name, "SELECT * FROM standin_executed()", func(rows pgx.Rows) error {
		_, err := pgx.ForEachRow(rows, []any{&kind, &statement, &n}, func() error {
			if strings.Contains(statement, "history") {
				total += n
			}
			return nil
		})
		return err
	})
	return total
}

// mostConnections asks a database how many connections it had at most.
func (f *fleet) mostConnections(t testing.TB, name string) (most int) {
	t.Helper()
	f.askDatabase(t, name, "SELECT * FROM standin_connections()", func(rows pgx.Rows) error {
		var err error
		most, err = pgx.CollectOneRow(rows, pgx.RowTo[int])
		return err
	})
	return most
}
