// Package memdb is a database group in memory, for tests of decisions.
//
// Its members keep terms and logs as the platform's databases do: a fence term
// refuses everything below it, a promotion writes the first record of its term,
// and a replica cuts back what its log doesn't share with the primary in each
// term before it receives more. Nothing moves by itself: a test ships each record with
// [Group.Receive], or lets [Group.Run] do it. Faults are set by name: members
// freeze and stop, and each direction between a host and a member, or between two
// members, can be cut.
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
	// ErrNotPrimary: a commit was refused and has not run.
	ErrNotPrimary = errors.New("not a primary in its own term")
	// ErrStopped: the member is down.
	ErrStopped = errors.New("connection refused")
)

// Group is a database group. Its methods may be called concurrently.
type Group struct {
	mu      sync.Mutex
	members map[string]*member
	names   []string
	cuts    map[link]bool
	moved   chan struct{}
	calls   int
}

type link struct {
	from string
	to   string
}

type record struct {
	term  coltsfootloft.Term
	value string
}

type member struct {
	role    coltsfootloft.Role
	fence   coltsfootloft.Term
	reign   coltsfootloft.Term
	log     []record
	applied int
	primary string
	synced  coltsfootloft.Term
	version uint64
	lost    bool
	frozen  bool
	stopped bool
}

// New returns a group of empty replicas that follow nobody.
func New(names ...string) *Group {
	g := &Group{
		members: make(map[string]*member, len(names)),
		names:   names,
		cuts:    make(map[link]bool),
		moved:   make(chan struct{}),
	}
	for _, n := range names {
		g.members[n] = &member{
			version: 1,
		}
	}
	return g
}

// Start makes the first member primary of term and the others its replicas.
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

// Reading returns what the member would report now.
func (g *Group) Reading(name string) coltsfootloft.Reading {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[name].reading()
}

// Fence raises the fence term.
func (g *Group) Fence(name string, term coltsfootloft.Term) (coltsfootloft.Reading, error) {
	return g.change(name, term, func(*member) {})
}

// Promote makes the member primary of term.
func (g *Group) Promote(name string, term coltsfootloft.Term) (coltsfootloft.Reading, error) {
	return g.change(name, term, func(m *member) {
		if m.role == coltsfootloft.Primary && m.reign == term {
			return
		}
		m.role = coltsfootloft.Primary
		m.reign = term
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
		m.synced = coltsfootloft.Term{}
	})
}

// Commit appends a write to the log of a primary.
func (g *Group) Commit(name, value string) (coltsfootloft.Position, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[name]
	if m.down() || m.role != coltsfootloft.Primary || m.reign != m.fence {
		return coltsfootloft.Position{}, ErrNotPrimary
	}
	m.log = append(m.log, record{
		term:  m.reign,
		value: value,
	})
	m.applied = len(m.log)
	g.bump(m)
	return m.received(), nil
}

// Receive lets a replica take one step of replication: it cuts back its log once,
// and then takes one record a call. It reports whether anything changed.
func (g *Group) Receive(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[name]
	p := g.members[m.primary]
	if p == nil || m.role != coltsfootloft.Replica || p.role != coltsfootloft.Primary || p.reign != m.fence {
		return false
	}
	if m.down() || p.down() || g.cuts[link{from: m.primary, to: name}] {
		return false
	}
	if m.synced != p.reign {
		m.cutBack(p)
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

// Apply makes all that the member received visible to its reads.
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

// Values returns the writes in the log of the member that its reads can see.
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

// Run ships and applies every record, until ctx ends, at the given period.
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

// change runs f on a member under a term, if its fence allows that.
func (g *Group) change(name string, term coltsfootloft.Term, f func(*member)) (coltsfootloft.Reading, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.members[name]
	if m.lost || term.Compare(m.fence) < 0 {
		return m.reading(), coltsfootloft.ErrFenced
	}
	m.fence = term
	f(m)
	g.bump(m)
	return m.reading(), nil
}

// bump tells everyone who awaits m that it changed. The lock is held.
func (g *Group) bump(m *member) {
	m.version++
	close(g.moved)
	g.moved = make(chan struct{})
}

func (m *member) down() bool { return m.frozen || m.stopped }

func (m *member) received() coltsfootloft.Position { return m.position(len(m.log)) }

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

// cutBack drops what m doesn't share with p.
func (m *member) cutBack(p *member) {
	n := 0
	for n < len(m.log) && n < len(p.log) && m.log[n] == p.log[n] {
		n++
	}
	m.log = slices.Clone(m.log[:n])
	m.applied = min(m.applied, n)
	m.synced = p.reign
}
