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

// maxFleets bounds the fleets that run concurrently.
const maxFleets = 5

// fleetSlots is a semaphore with one token for each running fleet.
var fleetSlots = make(chan struct{}, maxFleets)

// acquireSlot waits until fewer than maxFleets fleets run. The end of the test
// releases the slot.
func acquireSlot(t testing.TB) {
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
}

// remove deletes settings.
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

// status reads a host's status; ok is false if the host does not answer.
func (*fleet) status(e *entry) (s admin.Status, ok bool) {
	b, err := get("http://" + e.admin + "/v1/status")
	return s, err == nil && json.Unmarshal(b, &s) == nil
}

// awaitRevision waits until the revision, or a later one, is in force on a host, and
// reports whether that was in time.
func (f *fleet) awaitRevision(e *entry, revision uint64, within time.Duration) bool {
	return eventually(within, func() bool {
		s, ok := f.status(e)
		return ok && s.Settings.Revision >= revision
	})
}

// eventually polls until check is true and reports whether that was in time.
func eventually(within time.Duration, check func() bool) bool {
	for end := time.Now().Add(within); !check(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// cutOneWay resets and refuses connections that a opens to b, or restores them if on
// is false.
func (n *network) cutOneWay(a, b int, on bool) {
	n.change(direction{a, b}, func(p *policy) { p.cut = on })
}

// eachRelay calls visit with every current relay.
func (n *network) eachRelay(visit func(r *relay.Relay)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, list := range n.relays {
		for _, r := range list {
			visit(r)
		}
	}
}

// dial opens a session with a key on a route of a host.
func (f *fleet) dial(e *entry, key, route string) (*pgx.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return pgx.Connect(ctx, f.dsn(e, key, route))
}

// mustDial is dial, and fails the test on an error.
func (f *fleet) mustDial(e *entry, key, route string) *pgx.Conn {
	f.t.Helper()
	c, err := f.dial(e, key, route)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

// setPlatformFaults sets the faults that the platform injects, given as JSON.
func (f *fleet) setPlatformFaults(faults string) {
	f.t.Helper()
	put(f.t, "http://"+f.control+"/standin/faults", faults)
}

// queryDatabase runs a query at a database directly, as the platform's user.
func (f *fleet) queryDatabase(t testing.TB, name, sql string, read func(rows pgx.Rows) error) {
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

// statementsExecuted returns how many callers' statements on the table history a
// database has run.
func (f *fleet) statementsExecuted(t testing.TB, name string) int {
	t.Helper()
	var kind, statement string
	var n, total int
	f.queryDatabase(t, name, "SELECT * FROM standin_executed()", func(rows pgx.Rows) error {
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

// peakConnections returns the largest number of connections that a database has had.
func (f *fleet) peakConnections(t testing.TB, name string) (most int) {
	t.Helper()
	f.queryDatabase(t, name, "SELECT * FROM standin_connections()", func(rows pgx.Rows) error {
		var err error
		most, err = pgx.CollectOneRow(rows, pgx.RowTo[int])
		return err
	})
	return most
}
