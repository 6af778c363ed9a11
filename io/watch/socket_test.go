package watch

import (
	"context"
	"flag"
	"fmt"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/dbops"
	"coltsfootloft/io/peer"
	"coltsfootloft/stand/dbase"
	"coltsfootloft/stand/memdb"
)

// measure makes tests print the figures for docs/CAPACITY.md.
var measure = flag.Bool("measure", false, "print measured figures")

// startStandIns runs three database stand-ins over sockets and returns their
// group.
func startStandIns(t *testing.T) coltsfootloft.Group {
	addresses := make(map[string]string)
	for _, n := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addresses[n] = l.Addr().String()
		l.Close()
	}
	var upstreams []coltsfootloft.Upstream
	for i, n := range names {
		d := &dbase.Server{
			Name:            n,
			ReplicateListen: addresses[n],
			Peers:           make(map[string]string),
			InitialPrimary:  "a",
		}
		for o, a := range addresses {
			if o != n {
				d.Peers[o] = a
			}
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- d.Run(ctx) }()
		<-d.Ready()
		t.Cleanup(func() {
			cancel()
			assert.NilError(t, <-done)
		})
		upstreams = append(upstreams, coltsfootloft.NewUpstream(n, fmt.Sprint("d", i), d.Addr().String()))
	}
	return coltsfootloft.NewGroup(groupName, 35, upstreams...)
}

// startLinked runs two hosts of one failure domain that are linked over
// sockets.
func startLinked(t *testing.T, g coltsfootloft.Group) map[string]*Watcher {
	fleet := memdb.NewHosts(memdb.New())
	addresses := make(map[string]string)
	watchers := make(map[string]*Watcher)
	for _, n := range []string{"h0", "h1"} {
		links := &peer.Links{
			Self:   n,
			Listen: "127.0.0.1:0",
			Resolve: func(host string) (string, bool) {
				a, ok := addresses[host]
				return a, ok
			},
		}
		members := fleet.Add(n, "d0")
		w := &Watcher{
			Self:    members.Self(),
			Members: members,
			Peers:   links,
			Open: func(u coltsfootloft.Upstream) coltsfootloft.Database {
				return &dbops.Database{
					Address: u.Address(),
				}
			},
		}
		w.Register()
		w.Configure([]coltsfootloft.Group{g})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- links.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			assert.NilError(t, <-done)
		})
		addresses[n], watchers[n] = links.Addr(), w
	}
	for _, w := range watchers {
		t.Cleanup(run(w))
	}
	for _, w := range watchers {
		waitUntil(t, func() bool { return len(w.Readings(groupName)) == len(names) })
	}
	return watchers
}

// writer is one connection to the primary.
type writer struct {
	t    *testing.T
	conn *pgx.Conn
}

func newWriter(t *testing.T, g coltsfootloft.Group) *writer {
	c, err := pgx.Connect(t.Context(), "postgres://caller@"+g.Upstreams()[0].Address()+"/main?sslmode=disable")
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close(context.Background()) })
	return &writer{
		t:    t,
		conn: c,
	}
}

func (w *writer) exec(query string) coltsfootloft.Position {
	w.t.Helper()
	_, err := w.conn.Exec(w.t.Context(), query, pgx.QueryExecModeSimpleProtocol)
	assert.NilError(w.t, err)
	var term, offset string
	row := w.conn.QueryRow(w.t.Context(), dbops.CommitQuery, pgx.QueryExecModeSimpleProtocol)
	assert.NilError(w.t, row.Scan(&term, &offset))
	at, err := coltsfootloft.ParseTerm(term)
	assert.NilError(w.t, err)
	n, err := strconv.ParseUint(offset, 10, 64)
	assert.NilError(w.t, err)
	return coltsfootloft.NewPosition(at, n)
}

// TestHeldOverSockets writes to database stand-ins and waits for a majority, at
// the host that observes them and at a host linked to it. With the flag measure
// it prints the times.
func TestHeldOverSockets(t *testing.T) {
	writes := 20
	if *measure {
		writes = 2000
	}
	g := startStandIns(t)
	watchers := startLinked(t, g)
	c := newWriter(t, g)
	c.exec("CREATE TABLE notes (id integer)")
	for n, w := range watchers {
		h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		barriers := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		for i := range writes {
			p := c.exec(fmt.Sprint("INSERT INTO notes (id) VALUES (", i, ")"))
			at := time.Now()
			assert.NilError(t, w.AwaitMajority(t.Context(), groupName, p))
			h.RecordValue(time.Since(at).Microseconds())
			at = time.Now()
			b, err := w.Barrier(t.Context(), groupName)
			assert.NilError(t, err)
			assert.Assert(t, b.Covers(p))
			barriers.RecordValue(time.Since(at).Microseconds())
		}
		how := "direct"
		g := w.group(groupName)
		g.mu.Lock()
		if g.observer.host != "" {
			how = "relayed by " + g.observer.host
		}
		g.mu.Unlock()
		t.Logf("%s %s: held p50 %d us, p99 %d us; barrier p50 %d us, p99 %d us", n, how,
			h.ValueAtQuantile(50), h.ValueAtQuantile(99), barriers.ValueAtQuantile(50), barriers.ValueAtQuantile(99))
	}
}

// meteredConn counts the bytes that pass through a connection.
type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts received bytes.
func (m *meteredConn) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	m.bytes.Add(int64(n))
	return n, err
}

// Write counts sent bytes.
func (m *meteredConn) Write(b []byte) (int, error) {
	n, err := m.Conn.Write(b)
	m.bytes.Add(int64(n))
	return n, err
}
