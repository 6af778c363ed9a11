// Package lines stands in for database groups that speak the users' statement
// protocol: one primary, replicas that receive its commits at once and apply them
// later, terms, promotions, sessions with values and prepared statements, a limit of
// connections, and lost answers. It keeps all in memory and records what it ran, so
// that tests can judge the system by what databases saw.
package lines

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"
)

// The roles of a database, as it reports them.
const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

// Run is one statement that a database ran.
type Run struct {
	// Database, Account and ID say where, for whom and which.
	Database, Account, ID string
	// Text is what ran, a prepared statement with its shape for its name.
	Text string
	// Values are the session values that it ran under.
	Values map[string]string
	// At is when.
	At time.Time
	// Committed tells writes that took effect.
	Committed bool
}

// Group is one database group. Its fields are set before use.
type Group struct {
	// Name is the group's.
	Name string
	// Lag is how much later than received a replica applies a commit.
	Lag time.Duration
	// MaxConns bounds the connections of each database; none if 0.
	MaxConns int
	// PromoteTime is how long a promotion takes.
	PromoteTime time.Duration

	mu      sync.Mutex
	bases   map[string]*Base
	primary string
	runs    []Run
	token   uint64
	promote []string
}

// Base is one database.
type Base struct {
	group    *Group
	id       string
	listener net.Listener

	// The fields below are guarded by group.mu.
	role  string
	term  uint64
	log   []commit
	down  bool
	deaf  bool // receives nothing
	lose  int  // answers to lose
	fail  bool // reads fail after they ran
	await func()
	conns map[net.Conn]struct{}
}

type commit struct {
	term  uint64
	items map[string]string
	at    time.Time
}

// Add starts a database at an address; the first is the primary.
func (g *Group) Add(ctx context.Context, id string, listener net.Listener) *Base {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := &Base{
		group:    g,
		id:       id,
		listener: listener,
		role:     roleReplica,
		term:     1,
		conns:    make(map[net.Conn]struct{}),
	}
	if g.bases == nil {
		g.bases = make(map[string]*Base)
		b.role = rolePrimary
		g.primary = id
	}
	g.bases[id] = b
	go b.accept()
	context.AfterFunc(ctx, func() {
		listener.Close()
		b.dropAll()
	})
	return b
}

// Addr is the database's IP:port.
func (b *Base) Addr() string { return b.listener.Addr().String() }

// ID is the database's id.
func (b *Base) ID() string { return b.id }

// Primary is the database that leads the newest term.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Runs returns all that the databases ran.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.runs...)
}

// Crash ends all connections of a database and takes no new ones until it is
// started again.
func (g *Group) Crash(id string, down bool) {
	g.mu.Lock()
	b := g.bases[id]
	b.down = down
	g.mu.Unlock()
	if down {
		b.dropAll()
	}
}

// Deafen stops a replica from receiving.
func (g *Group) Deafen(id string, deaf bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bases[id].deaf = deaf
	if !deaf {
		g.bases[id].log = append([]commit(nil), g.bases[g.primary].log...)
	}
}

// Lose has a database run the next n data statements without answering.
func (g *Group) Lose(id string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bases[id].lose = n
}

// Await has a database call f before each data statement that it runs, as if the
// statement had been under way for that long.
func (g *Group) Await(id string, f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bases[id].await = f
}

// FailReads has a database fail all reads outside transactions, or none, while it
// answers everything else.
func (g *Group) FailReads(id string, fail bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bases[id].fail = fail
}

// SetLag changes how late replicas apply.
func (g *Group) SetLag(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Lag = d
}

// Promote has a database take over, some time later, with what it has received. It
// returns the status of the platform's answer.
func (g *Group) Promote(id string, fence uint64) int {
	const ok, refused = 200, 409
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.bases[id]
	if b == nil || b.down {
		return refused
	}
	if fence < g.token {
		g.promote = append(g.promote, "stale fence "+strconv.FormatUint(fence, 10))
	}
	g.token = max(g.token, fence)
	if g.primary == id {
		return ok
	}
	g.promote = append(g.promote, id)
	time.AfterFunc(g.PromoteTime, func() { g.lead(b) })
	return ok
}

// Promotions lists the databases that were promoted, and every stale fence.
func (g *Group) Promotions() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.promote...)
}

func (g *Group) lead(b *Base) {
	g.mu.Lock()
	defer g.mu.Unlock()
	term := g.bases[g.primary].term + 1
	for _, x := range g.bases {
		term = max(term, x.term+1)
	}
	g.primary = b.id
	b.role = rolePrimary
	b.term = term
	for _, x := range g.bases {
		if x != b && !x.deaf && x.role == roleReplica {
			x.log = append([]commit(nil), b.log...)
			x.term = term
		}
	}
}

func (b *Base) dropAll() {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}

func (b *Base) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.group.mu.Lock()
		down := b.down
		if !down {
			b.conns[conn] = struct{}{}
		}
		b.group.mu.Unlock()
		if down {
			conn.Close()
			continue
		}
		go func() {
			b.serve(conn)
			conn.Close()
			b.group.mu.Lock()
			delete(b.conns, conn)
			b.group.mu.Unlock()
		}()
	}
}
