package elect

import (
	"context"
	"flag"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/dbops"
	"coltsfootloft/io/watch"
	"coltsfootloft/stand/dbase"
	"coltsfootloft/stand/memdb"
)

// runs is how often each fault is tried; the gaps are printed as percentiles.
var runs = flag.Int("runs", 1, "failovers of each kind on the database stand-ins")

// socketCluster is a group of database stand-ins over sockets, with one host in
// each failure domain and a caller at each host.
type socketCluster struct {
	t       *testing.T
	servers map[string]*dbase.Server
	stops   map[string]func()
	group   coltsfootloft.Group
	hosts   *memdb.Hosts
	nodes   map[string]*node
}

func newSocketCluster(t *testing.T) *socketCluster {
	s := &socketCluster{
		t:       t,
		servers: make(map[string]*dbase.Server),
		stops:   make(map[string]func()),
		hosts:   memdb.NewHosts(memdb.New()),
		nodes:   make(map[string]*node),
	}
	addresses := make(map[string]string)
	for _, n := range names {
		addresses[n] = freeAddress(t)
	}
	var upstreams []coltsfootloft.Upstream
	for i, n := range names {
		s.serve(n, addresses)
		upstreams = append(upstreams, coltsfootloft.NewUpstream(n, fmt.Sprint("d", i), s.servers[n].Addr().String()))
	}
	s.group = coltsfootloft.NewGroup(groupName, 80, upstreams...)
	for i := range names {
		s.add(fmt.Sprint("h", i), fmt.Sprint("d", i))
	}
	for _, n := range s.nodes {
		n.start(t)
	}
	return s
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func (s *socketCluster) serve(name string, addresses map[string]string) {
	peers := make(map[string]string)
	for n, a := range addresses {
		if n != name {
			peers[n] = a
		}
	}
	d := &dbase.Server{
		Name:            name,
		ReplicateListen: addresses[name],
		Peers:           peers,
		InitialPrimary:  "a",
		ConnectDelay:    12 * time.Millisecond,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	<-d.Ready()
	s.servers[name] = d
	s.stops[name] = sync.OnceFunc(func() {
		cancel()
		assert.Check(s.t, <-done)
	})
	s.t.Cleanup(s.stops[name])
}

func (s *socketCluster) add(name, domain string) {
	h := s.hosts.Add(name, domain)
	open := func(u coltsfootloft.Upstream) coltsfootloft.Database {
		return &dbops.Database{
			Address: u.Address(),
		}
	}
	n := &node{
		host: h,
		watcher: &watch.Watcher{
			Self:    h.Self(),
			Members: h,
			Peers:   h,
			Open:    open,
		},
	}
	n.elector = &Elector{
		Self:        h.Self(),
		Incarnation: "1",
		Members:     h,
		Peers:       h,
		Source:      n.watcher,
		Open:        open,
	}
	n.watcher.Register()
	n.elector.Register()
	n.watcher.Configure([]coltsfootloft.Group{s.group})
	n.elector.Configure([]coltsfootloft.Group{s.group})
	s.nodes[name] = n
}

// writeLog is the outcome of writes as callers saw it.
type writeLog struct {
	mu      sync.Mutex
	acked   map[string]time.Time
	unknown int
}

// runCaller runs one caller until ctx ends.
func (s *socketCluster) runCaller(ctx context.Context, host string, l *writeLog) {
	c := &client{
		t:       s.t,
		watcher: s.nodes[host].watcher,
		group:   s.group,
	}
	defer c.disconnect()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprint(host, "-", i)
		held, ran := c.insert(ctx, id)
		l.mu.Lock()
		switch {
		case held:
			l.acked[id] = time.Now()
		case ran && ctx.Err() == nil:
			l.unknown++
		}
		l.mu.Unlock()
		if !ran {
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// client is a caller with one connection to the database that its host
// considers to be the primary.
type client struct {
	t       *testing.T
	watcher *watch.Watcher
	group   coltsfootloft.Group
	conn    *pgx.Conn
	primary string
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close(context.Background())
		c.conn = nil
	}
}

// insert writes one row and waits until a majority holds it. It gives up once
// the primary changes.
func (c *client) insert(ctx context.Context, id string) (held, ran bool) {
	name, term, ok := primaryOf(c.watcher.Readings(groupName))
	if !ok {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	go c.cancelOnNewPrimary(ctx, cancel, term)
	if name != c.primary || c.conn == nil {
		c.disconnect()
		i := slices.IndexFunc(c.group.Upstreams(), func(u coltsfootloft.Upstream) bool { return u.Name() == name })
		conn, err := pgx.Connect(ctx, "postgres://caller@"+c.group.Upstreams()[i].Address()+"/main?sslmode=disable")
		if err != nil {
			return false, false
		}
		c.conn, c.primary = conn, name
	}
	if _, err := c.conn.Exec(ctx, "INSERT INTO orders (id) VALUES ('"+id+"')", pgx.QueryExecModeSimpleProtocol); err != nil {
		c.disconnect()
		return false, !notExecuted(err)
	}
	var at, text string
	if err := c.conn.QueryRow(ctx, "SELECT * FROM platform_commit()", pgx.QueryExecModeSimpleProtocol).Scan(&at, &text); err != nil {
		c.disconnect()
		return false, true
	}
	wrote, err := coltsfootloft.ParseTerm(at)
	assert.NilError(c.t, err)
	offset, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(c.t, err)
	return c.watcher.AwaitMajority(ctx, groupName, coltsfootloft.NewPosition(wrote, offset)) == nil, true
}

// notExecuted reports whether the database has refused a write without running
// it.
func notExecuted(err error) bool {
	var p *pgconn.PgError
	return errors.As(err, &p) && (p.Code == "25006" || p.Code == "40001")
}

// cancelOnNewPrimary cancels a request once a later primary is known.
func (c *client) cancelOnNewPrimary(ctx context.Context, cancel func(), term coltsfootloft.Term) {
	for ctx.Err() == nil {
		changed := c.watcher.Changed(groupName)
		if _, now, ok := primaryOf(c.watcher.Readings(groupName)); ok && now.Compare(term) > 0 {
			// Leave time for an acknowledgement that is in flight.
			time.Sleep(20 * time.Millisecond)
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *socketCluster) exec(name, user, query string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, "postgres://"+user+"@"+s.servers[name].Addr().String()+"/main?sslmode=disable")
	assert.NilError(s.t, err)
	defer c.Close(ctx)
	_, err = c.Exec(ctx, query, pgx.QueryExecModeSimpleProtocol)
	assert.NilError(s.t, err)
}

// runFailover runs one fault under writes at every host and returns the longest
// time without an acknowledgement.
func runFailover(t *testing.T, fault func(s *socketCluster)) (gap time.Duration, unknown int) {
	s := newSocketCluster(t)
	s.exec("a", "caller", "CREATE TABLE orders (id text PRIMARY KEY)")
	l := &writeLog{
		acked: make(map[string]time.Time),
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	for h := range s.nodes {
		wait.Go(func() { s.runCaller(ctx, h, l) })
	}
	time.Sleep(500 * time.Millisecond)
	at := time.Now()
	fault(s)
	time.Sleep(2500 * time.Millisecond)
	cancel()
	wait.Wait()
	name, term, ok := primaryOf(s.nodes["h1"].watcher.Readings(groupName))
	assert.Assert(t, ok && name != "a", "primary %q of term %v", name, term)
	s.check(name, l)
	return l.gap(at), l.unknown
}

// check checks that every acknowledged write is at the primary.
func (s *socketCluster) check(primary string, l *writeLog) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, "postgres://caller@"+s.servers[primary].Addr().String()+"/main?sslmode=disable")
	assert.NilError(s.t, err)
	defer c.Close(ctx)
	rows, err := c.Query(ctx, "SELECT id FROM orders", pgx.QueryExecModeSimpleProtocol)
	assert.NilError(s.t, err)
	ids, err := pgx.CollectRows(rows, pgx.RowTo[string])
	assert.NilError(s.t, err)
	have := make(map[string]bool)
	for _, id := range ids {
		have[id] = true
	}
	for id := range l.acked {
		assert.Assert(s.t, have[id], "acknowledged write %s lost", id)
	}
	assert.Assert(s.t, len(l.acked) > 100)
}

// gap returns the longest time without an acknowledgement that ends after
// since.
func (l *writeLog) gap(since time.Time) time.Duration {
	at := make([]time.Time, 0, len(l.acked))
	for _, a := range l.acked {
		at = append(at, a)
	}
	slices.SortFunc(at, time.Time.Compare)
	longest := time.Duration(0)
	for i := 1; i < len(at); i++ {
		if at[i].After(since) {
			longest = max(longest, at[i].Sub(at[i-1]))
		}
	}
	return longest
}

// TestFailoverOnStandIns runs each fault as often as the flag runs says, and
// prints the gaps in service.
func TestFailoverOnStandIns(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		limit time.Duration
		fault func(s *socketCluster)
	}{
		{"killed", 2 * time.Second, func(s *socketCluster) { s.stops["a"]() }},
		{"frozen then resumed", 2 * time.Second, func(s *socketCluster) { s.exec("a", "platform", "SELECT * FROM standin_freeze('1500ms')") }},
		{"cut from its replicas", 3 * time.Second, func(s *socketCluster) {
			s.servers["b"].Cut("a")
			s.servers["c"].Cut("a")
		}},
		{"handed over", 300 * time.Millisecond, func(s *socketCluster) { s.hosts.AnnounceLeaving("a") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			total := 0
			for i := range *runs {
				t.Run(fmt.Sprint(i), func(t *testing.T) {
					gap, unknown := runFailover(t, c.fault)
					total += unknown
					h.RecordValue(gap.Microseconds())
					assert.Assert(t, gap < c.limit, "gap %v", gap)
				})
			}
			t.Logf("%d runs: gap p50 %v ms, p99 %v ms, longest %v ms; %d writes of unknown outcome", *runs,
				h.ValueAtQuantile(50)/1000, h.ValueAtQuantile(99)/1000, h.Max()/1000, total)
		})
	}
}
