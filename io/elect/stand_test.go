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

// stand is a group of database stand-ins over sockets, with one host in each
// failure domain and a caller at each host.
type stand struct {
	t       *testing.T
	servers map[string]*dbase.Server
	stops   map[string]func()
	group   coltsfootloft.Group
	hosts   *memdb.Hosts
	nodes   map[string]*node
}

func newStand(t *testing.T) *stand {
	s := &stand{
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

func (s *stand) serve(name string, addresses map[string]string) {
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
		Initial:         "a",
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

func (s *stand) add(name, domain string) {
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
	n.duty = &Elector{
		Self:        h.Self(),
		Incarnation: "1",
		Members:     h,
		Peers:       h,
		Source:      n.watcher,
		Open:        open,
	}
	n.watcher.Register()
	n.duty.Register()
	n.watcher.Configure([]coltsfootloft.Group{s.group})
	n.duty.Configure([]coltsfootloft.Group{s.group})
	s.nodes[name] = n
}

// ledger is what the callers were told.
type ledger struct {
	mu      sync.Mutex
	acked   map[string]time.Time
	unknown int
}

// write runs one caller until ctx ends.
func (s *stand) write(ctx context.Context, host string, l *ledger) {
	c := &client{
		t:       s.t,
		watcher: s.nodes[host].watcher,
		group:   s.group,
	}
	defer c.drop()
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

// client is a caller with one connection to whatever its host holds to be the
// primary.
type client struct {
	t       *testing.T
	watcher *watch.Watcher
	group   coltsfootloft.Group
	conn    *pgx.Conn
	primary string
}

func (c *client) drop() {
	if c.conn != nil {
		c.conn.Close(context.Background())
		c.conn = nil
	}
}

// insert writes one row and waits until it is held. What was under way when the
// primary changed is given up.
func (c *client) insert(ctx context.Context, id string) (held, ran bool) {
	name, term, ok := primaryOf(c.watcher.Readings(groupName))
	if !ok {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	go c.giveUp(ctx, cancel, term)
	if name != c.primary || c.conn == nil {
		c.drop()
		i := slices.IndexFunc(c.group.Upstreams(), func(u coltsfootloft.Upstream) bool { return u.Name() == name })
		conn, err := pgx.Connect(ctx, "postgres://caller@"+c.group.Upstreams()[i].Address()+"/main?sslmode=disable")
		if err != nil {
			return false, false
		}
		c.conn, c.primary = conn, name
	}
	if _, err := c.conn.Exec(ctx, "INSERT INTO orders (id) VALUES ('"+id+"')", pgx.QueryExecModeSimpleProtocol); err != nil {
		c.drop()
		return false, !refused(err)
	}
	var at, text string
	if err := c.conn.QueryRow(ctx, "SELECT * FROM platform_commit()", pgx.QueryExecModeSimpleProtocol).Scan(&at, &text); err != nil {
		c.drop()
		return false, true
	}
	wrote, err := coltsfootloft.ParseTerm(at)
	assert.NilError(c.t, err)
	offset, err := strconv.ParseUint(text, 10, 64)
	assert.NilError(c.t, err)
	return c.watcher.AwaitMajority(ctx, groupName, coltsfootloft.NewPosition(wrote, offset)) == nil, true
}

// refused reports whether the database says that a write has not run.
func refused(err error) bool {
	var p *pgconn.PgError
	return errors.As(err, &p) && (p.Code == "25006" || p.Code == "40001")
}

// giveUp cancels a request once a later primary is known.
func (c *client) giveUp(ctx context.Context, cancel func(), term coltsfootloft.Term) {
	for ctx.Err() == nil {
		changed := c.watcher.Changed(groupName)
		if _, now, ok := primaryOf(c.watcher.Readings(groupName)); ok && now.Compare(term) > 0 {
			// Time for an acknowledgement that is on its way.
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

func (s *stand) exec(name, user, query string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, "postgres://"+user+"@"+s.servers[name].Addr().String()+"/main?sslmode=disable")
	assert.NilError(s.t, err)
	defer c.Close(ctx)
	_, err = c.Exec(ctx, query, pgx.QueryExecModeSimpleProtocol)
	assert.NilError(s.t, err)
}

// failover runs one fault under writes at every host and returns the longest time
// without an acknowledgement.
func failover(t *testing.T, fault func(s *stand)) (gap time.Duration, unknown int) {
	s := newStand(t)
	s.exec("a", "caller", "CREATE TABLE orders (id text PRIMARY KEY)")
	l := &ledger{
		acked: make(map[string]time.Time),
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	for h := range s.nodes {
		wait.Go(func() { s.write(ctx, h, l) })
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

// check looks for every acknowledged write at the primary.
func (s *stand) check(primary string, l *ledger) {
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

// gap is the longest time without an acknowledgement that ends after the moment.
func (l *ledger) gap(since time.Time) time.Duration {
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

// TestFailoverOnStandIns: see the flag runs for a measurement.
func TestFailoverOnStandIns(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		limit time.Duration
		fault func(s *stand)
	}{
		{"killed", 2 * time.Second, func(s *stand) { s.stops["a"]() }},
		{"frozen then resumed", 2 * time.Second, func(s *stand) { s.exec("a", "platform", "SELECT * FROM standin_freeze('1500ms')") }},
		{"cut from its replicas", 3 * time.Second, func(s *stand) {
			s.servers["b"].Cut("a")
			s.servers["c"].Cut("a")
		}},
		{"handed over", 300 * time.Millisecond, func(s *stand) { s.hosts.Leave("a") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			total := 0
			for i := range *runs {
				t.Run(fmt.Sprint(i), func(t *testing.T) {
					gap, unknown := failover(t, c.fault)
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
