// Package memdb is a database group in memory, for tests of decisions such as
// elections and failovers.
//
// Its members, the databases, keep terms and logs as the platform's databases do. A
// member refuses operations of terms below its fence term. A promotion writes the
// first record of its term. In each term, a replica first truncates the part of its
// log that differs from the primary's, and then receives records.
//
// Nothing is replicated by itself: a test ships each record with [Group.Receive], or
// all of them with [Group.Run]. Faults are set by name: members can be frozen and
// stopped, and each direction between a host and a member, or between two members,
// can be cut.
package memdb

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// Errors of a member.
var (
	// ErrNotPrimary is the error of a commit that was refused and has not run.
	ErrNotPrimary = errors.New("not a primary in its own term")
	// ErrStopped is the error of a call to a stopped member.
	ErrStopped = errors.New("connection refused")
)

// Group is a database group. Its methods may be called concurrently.
type Group struct {
	mu      sync.Mutex
	members map[string]*member
	names   []string
	cuts    map[link]bool
	changed chan struct{}
	calls   int
}

// link is one direction between two hosts or members, by name.
type link struct {
	from string
	to   string
}

// record is one entry of a log. The first record of a term has no value.
type record struct {
	term  coltsfootloft.Term
	value string
}

// member is the state of one database.
type member struct {
	role        coltsfootloft.Role
	fence       coltsfootloft.Term
	primaryTerm coltsfootloft.Term // as a primary, the term of its promotion
	log         []record
	applied     int                // number of records that reads see
	primary     string             // as a replica, the member it follows
	syncedTerm  coltsfootloft.Term // as a replica, the term in which its log was truncated last
	version     uint64             // raised by each change
	stateLost   bool               // refuses all changes
	frozen      bool
	stopped     bool
}

// New returns a group of empty replicas that follow no primary.
func New(names ...string) *Group {
	g := &Group{
		members: make(map[string]*member, len(names)),
		names:   names,
		cuts:    make(map[link]bool),
		changed: make(chan struct{}),
	}
	for _, n := range names {
		g.members[n] = &member{
			version: 1,
		}
	}
	return g
}

// Start makes the first member the primary of term and the others its replicas. It
// panics if a member refuses.
func (g *Group) Start(term coltsfootloft.Term) {
	for _, n := range g.names {
		g.must(g.Fence(n, term))
	}
	g.must(g.Promote(g.names[0], term))
	for _, n := range g.names[1:] {
		g.must(g.Follow(n, term, g.names[0]))
	}
}

func (*Group) must(_ coltsfootloft.Reading, err error) {
	if err != nil {
		panic(err)
	}
}

// Reading returns the present state of the member, whatever its faults.
func (g *Group) Reading(name string) coltsfootloft.Reading {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[name].reading()
}

// Fence raises the fence term of the member. It returns
// [coltsfootloft.ErrFenced] if the fence is above term or the member has lost its
// state, as Promote and Follow do.
func (g *Group) Fence(name string, term coltsfootloft.Term) (coltsfootloft.Reading, error) {
	return g.change(name, term, func(*member) {})
}

// Promote makes the member the primary of term.
func (g *Group) Promote(name string, term coltsfootloft.Term) (coltsfootloft.Reading, error) {
	return g.change(name, term, func(m *member) {
		if m.role == coltsfootloft.Primary && m.primaryTerm == term {
			return
		}
		m.role = coltsfootloft.Primary
		m.primaryTerm = term
		m.primary = ""
		m.log = append(m.log, record{
			term: term,
		})
		m.applied = len(m.log)
	})
}

// Follow makes the member a replica of primary.
func (g *Group) Follow(name string, term coltsfootloft.Term, primary string) (coltsfootloft.Reading, error) {
	return g.change(name, term, func(m *member) {
		m.role = coltsfootloft.Replica
		m.primary = primary
		m.syncedTerm = coltsfootloft.Term{}
	})
}

// Commit appends a write to the log of a primary and returns its position. It
// returns [ErrNotPrimary] if the member is frozen, stopped, or not a primary in its
// own term.
func (g *Group) Commit(name, value string) (coltsfootloft.Position, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[name]
	if m.down() || m.role != coltsfootloft.Primary || m.primaryTerm != m.fence {
		return coltsfootloft.Position{}, ErrNotPrimary
	}
	m.log = append(m.log, record{
		term:  m.primaryTerm,
		value: value,
	})
	m.applied = len(m.log)
	g.bump(m)
	return m.received(), nil
}

// Receive carries out one step of replication: the first call in a term truncates
// the log of the replica to what it shares with the primary's, and each further call
// receives one record. It reports whether anything changed.
func (g *Group) Receive(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[name]
	p := g.members[m.primary]
	if p == nil || m.role != coltsfootloft.Replica || p.role != coltsfootloft.Primary || p.primaryTerm != m.fence {
		return false
	}
	if m.down() || p.down() || g.cuts[link{from: m.primary, to: name}] {
		return false
	}
	if m.syncedTerm != p.primaryTerm {
		m.truncate(p)
		g.bump(m)
		return true
	}
	if len(m.log) >= len(p.log) {
		return false
	}
	m.log = append(m.log, p.log[len(m.log)])
	g.bump(m)
	return true
}

// Apply makes all records that the member has received visible to its reads.
func (g *Group) Apply(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[name]
	if m.down() || m.applied == len(m.log) {
		return
	}
	m.applied = len(m.log)
	g.bump(m)
}

// Values returns the writes that reads of the member can see, in order of the log.
func (g *Group) Values(name string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[name]
	var v []string
	for _, r := range m.log[:m.applied] {
		if r.value != "" {
			v = append(v, r.value)
		}
	}
	return v
}

// Run ships and applies all records at the given period until ctx ends.
func (g *Group) Run(ctx context.Context, period time.Duration) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, n := range g.names {
			for g.Receive(n) {
				continue
			}
			g.Apply(n)
		}
	}
}

// change raises the fence of a member to term and runs f on it. It returns
// [coltsfootloft.ErrFenced] if the fence is above term or the state is lost.
func (g *Group) change(name string, term coltsfootloft.Term, f func(*member)) (coltsfootloft.Reading, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[name]
	if m.stateLost || term.Compare(m.fence) < 0 {
		return m.reading(), coltsfootloft.ErrFenced
	}
	m.fence = term
	f(m)
	g.bump(m)
	return m.reading(), nil
}

// bump raises the version of m and wakes all calls that wait for a change. The caller
// holds the lock.
func (g *Group) bump(m *member) {
	m.version++
	close(g.changed)
	g.changed = make(chan struct{})
}

func (m *member) down() bool { return m.frozen || m.stopped }

// received returns the position of the last record of the log.
func (m *member) received() coltsfootloft.Position { return m.position(len(m.log)) }

// position returns the position of the nth record.
func (m *member) position(n int) coltsfootloft.Position {
	if n == 0 {
		return coltsfootloft.Position{}
	}
	return coltsfootloft.NewPosition(m.log[n-1].term, uint64(n))
}

func (m *member) reading() coltsfootloft.Reading {
	r := coltsfootloft.NewReading(m.role, m.fence, m.received(), m.position(m.applied))
	return r.WithPrimary(m.primary).WithVersion(m.version)
}

// truncate removes the records after the prefix that the logs of m and p share.
func (m *member) truncate(p *member) {
	n := 0
	for n < len(m.log) && n < len(p.log) && m.log[n] == p.log[n] {
		n++
	}
	m.log = slices.Clone(m.log[:n])
	m.applied = min(m.applied, n)
	m.syncedTerm = p.primaryTerm
}
