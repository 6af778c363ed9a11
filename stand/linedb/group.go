// Package linedb is a test double of database groups that speak the users' statement
// protocol, which is made of text lines. It keeps its state in memory.
//
// A [Group] has one primary and replicas that receive its commits at once and apply
// them after [Group.Lag]. Each promotion starts a new term. A database serves
// sessions with values, prepared statements and transactions, and limits its
// connections. Tests can take databases down, stop their replication, and have them
// lose answers, send them twice, or fail statements: see [Faults].
//
// Databases record the statements that they receive and run, so that tests can check what
// reached each of them: see [Group.Runs], [Group.Received] and [Group.Violations].
package linedb

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"
)

// The roles of a database, as STATUS reports them.
const (
	rolePrimary = "primary"
	roleReplica = "replica"
)

// Run is one statement that a database ran.
type Run struct {
	// Database is the id of the database, Account the client account of the
	// session, and ID the id of the statement.
	Database, Account, ID string
	// Text is the statement. For a prepared statement it holds the prepared text
	// instead of the name.
	Text string
	// Shape is the kind and the text of a prepared statement.
	Shape string
	// Rows are the rows that it gave.
	Rows []string
	// Values are the session values at that time.
	Values map[string]string
	// At is when the statement ran.
	At time.Time
	// Committed reports whether the statement is a write that took effect, or the
	// COMMIT of such writes.
	Committed bool
}

// Group is one database group. Its exported fields are set before use.
type Group struct {
	// Name is the name of the group, which sessions must give.
	Name string
	// Lag is the time from the commit of a write until replicas apply it.
	Lag time.Duration
	// MaxConns is the maximum number of connections to each database; unlimited if 0.
	MaxConns int
	// PromoteTime is the duration of a promotion. If DrawPromoteTime is not nil, it returns that of each one.
	PromoteTime     time.Duration
	DrawPromoteTime func() time.Duration
	// CountRequests makes databases record all requests that they receive, for [Group.Requests].
	CountRequests bool

	mu         sync.Mutex
	databases  map[string]*Database
	primary    string
	runs       []Run
	received   []Run
	requests   map[string][]Request
	violations []Violation
	maxFence   uint64
	promotions []string
	first      string      // the first primary
	history    []promotion // changes of the primary after it, in order
	late       []Arrival
}

// Database is one database of a group.
type Database struct {
	group    *Group
	id       string
	listener net.Listener

	// The fields below are guarded by group.mu.
	role          string
	term          uint64
	log           []commit
	down          bool
	receivePaused bool   // as a replica, receives no commits
	answersToLose int    // next data statements that are left unanswered
	failReads     bool   // reads outside transactions fail after they ran
	hook          func() // called before each data statement; may be nil
	faults        faults
	conns         map[net.Conn]struct{}
	closedFrom    time.Time // nothing may arrive from then on; zero if anything may
}

// commit is one committed write or transaction.
type commit struct {
	term  uint64
	items map[string]string
	at    time.Time
}

// Add starts a database that accepts connections of listener until ctx ends. The
// first database of a group is its primary, in term 1.
func (g *Group) Add(ctx context.Context, id string, listener net.Listener) *Database {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := &Database{
		group:    g,
		id:       id,
		listener: listener,
		role:     roleReplica,
		term:     1,
		conns:    make(map[net.Conn]struct{}),
	}
	if g.databases == nil {
		g.databases = make(map[string]*Database)
		b.role = rolePrimary
		g.primary = id
		g.first = id
	}
	g.databases[id] = b
	go b.accept()
	context.AfterFunc(ctx, func() {
		listener.Close()
		b.closeConns()
	})
	return b
}

// Addr returns the IP:port of the database.
func (b *Database) Addr() string { return b.listener.Addr().String() }

// ID returns the id of the database.
func (b *Database) ID() string { return b.id }

// Primary returns the id of the primary of the newest term.
func (g *Group) Primary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}

// Runs returns the statements that the databases have run, in order of execution.
// The statements of a transaction with writes appear twice: when they run, and
// again when it commits.
func (g *Group) Runs() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.runs...)
}

// Received returns the statements that came with the id of a caller, run or not, in order of
// arrival. The text of one that names no prepared statement holds its name.
func (g *Group) Received() []Run {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Run(nil), g.received...)
}

// Request is one request that a database received, of a caller or of a host itself.
type Request struct {
	// Word is its first word.
	Word string
	// At is when it arrived.
	At time.Time
}

// Requests returns what a database has received since CountRequests was set, in order, without the
// requests by which hosts check that answers are complete.
func (g *Group) Requests(id string) []Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Request(nil), g.requests[id]...)
}

// SetDown takes a database down, or up again if down is false. A database that is
// down closes its connections and accepts no new ones.
func (g *Group) SetDown(id string, down bool) {
	g.mu.Lock()
	b := g.databases[id]
	b.down = down
	g.mu.Unlock()
	if down {
		b.closeConns()
	}
}

// PauseReplication stops or resumes the replication to a database. When it resumes, the
// database takes over the log of the primary.
func (g *Group) PauseReplication(id string, paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.databases[id].receivePaused = paused
	if !paused {
		g.databases[id].log = append([]commit(nil), g.databases[g.primary].log...)
	}
}

// LoseAnswers makes a database run the next n data statements without answering them.
func (g *Group) LoseAnswers(id string, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.databases[id].answersToLose = n
}

// SetHook sets a function that a database calls before each data statement, for
// example to let time pass while the statement is on its way. Nil sets none.
func (g *Group) SetHook(id string, f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.databases[id].hook = f
}

// FailReads makes a database fail all reads outside transactions, or none if fail is
// false. It answers other statements as usual.
func (g *Group) FailReads(id string, fail bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.databases[id].failReads = fail
}

// SetLag changes the lag of replicas.
func (g *Group) SetLag(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Lag = d
}

// Promote makes a database the primary after the duration of a promotion, with the commits that it
// has received by then. It returns the HTTP status of the platform's answer: 409 if
// the database is unknown or down, else 200. A fence below the greatest one so far
// is not refused; [Group.Promotions] lists it.
func (g *Group) Promote(id string, fence uint64) int {
	const ok, refused = 200, 409
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.databases[id]
	if b == nil || b.down {
		return refused
	}
	if fence < g.maxFence {
		g.promotions = append(g.promotions, "stale fence "+strconv.FormatUint(fence, 10))
	}
	g.maxFence = max(g.maxFence, fence)
	if g.primary == id {
		return ok
	}
	g.promotions = append(g.promotions, id)
	takes := g.PromoteTime
	if g.DrawPromoteTime != nil {
		takes = g.DrawPromoteTime()
	}
	time.AfterFunc(takes, func() { g.finishPromotion(b) })
	return ok
}

// Promotions returns the ids of the databases that were promoted, and an entry
// "stale fence N" for each promotion with a fence below an earlier one.
func (g *Group) Promotions() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]string(nil), g.promotions...)
}

// formerTime is how long a former primary goes on once it can reach the new one.
const formerTime = time.Second

// finishPromotion makes b the primary of a new term and copies its log to
// the replicas whose replication is not stopped. Former primaries follow it after formerTime.
func (g *Group) finishPromotion(b *Database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	term := g.databases[g.primary].term + 1
	for _, x := range g.databases {
		term = max(term, x.term+1)
	}
	g.primary = b.id
	g.history = append(g.history, promotion{b.id, time.Now()})
	b.role = rolePrimary
	b.term = term
	for _, x := range g.databases {
		if x != b && !x.receivePaused && x.role == roleReplica {
			x.log = append([]commit(nil), b.log...)
			x.term = term
		}
	}
	time.AfterFunc(formerTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, x := range g.databases {
			if x.id != g.primary && x.role == rolePrimary && !x.down {
				x.follow()
			}
		}
	})
}

func (b *Database) closeConns() {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	for c := range b.conns {
		c.Close()
	}
}

func (b *Database) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.group.mu.Lock()
		down := b.down
		b.noteArrival(conn, "connection", "")
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
