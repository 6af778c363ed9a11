// Package beat decides, from heartbeats and from the platform's lagging list, which
// hosts are live and which upstreams leave.
//
// # What is said of a host
//
// A [Member] is a claim about one name, with an incarnation that only the host
// itself raises: at its start, and to contradict a claim that it is suspect or
// dead. Of two claims the one with the higher incarnation is believed, at the same
// one the worse. Hosts that have heard the same claims therefore agree, in
// whatever order they came. The platform's list is a claim with incarnation 0, so
// it adds hosts and is overruled by all that hosts say.
//
// # Neighbours
//
// Each host heartbeats a constant number of others: in its failure domain the
// hosts at three distances on the ring of names, and the host at its own place in
// each of two other domains. Distances of 1, about n^(1/3) and about n^(2/3) make
// any host reachable from any other in few steps. Where domains are of one size
// every host has neighbours in two other domains, of which one is in the other half
// of the domains, so that hosts on both sides notice when domains or regions are
// cut from each other.
//
// # Rumours
//
// A claim that changed something is passed on with the next heartbeats, a bounded
// number of times. Digests of all claims show whether two hosts differ after
// rumours were lost, as after a partition; they then exchange everything.
package beat

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"math/bits"
	"slices"
	"time"

	"coltsfootloft"
)

const (
	// SuspicionTime is how long a suspect may contradict before it is dead.
	SuspicionTime = 2 * time.Second
	// ForgetTime is how long a dead host that the list doesn't have is kept.
	ForgetTime = 10 * time.Minute
	// extraSends plus the logarithm of the fleet is how often a rumour is sent:
	// once to each neighbour and with some answers.
	extraSends = 5
)

// Table is what one host holds of the fleet. It is not safe for concurrent use.
type Table struct {
	self    string
	listLag time.Duration
	members map[string]*slot
	digest  uint64
	// neighbours are kept until a claim changes.
	neighbours []string
}

// slot is a member with its local state.
type slot struct {
	Member
	since  time.Time
	sends  int
	listed bool
}

// New returns a table that knows this host only. What the platform's list says of
// an upstream is believed over a later announcement only after listLag.
func New(self coltsfootloft.HostRecord, incarnation uint64, listLag time.Duration, now time.Time) *Table {
	t := &Table{
		self:    self.Name(),
		listLag: listLag,
		members: make(map[string]*slot),
	}
	t.put(NewMember(self, incarnation), now)
	return t
}

// Self is what this host says of itself.
func (t *Table) Self() Member { return t.members[t.self].Member }

// Hear takes in a claim and reports whether it changed anything. A claim against
// this host is contradicted. That a host is dead is no news where it is unknown:
// otherwise hosts would remind each other of it for ever.
func (t *Table) Hear(m Member, now time.Time) bool {
	old := t.members[m.record.Name()]
	if old == nil && m.status == Dead {
		return false
	}
	if old != nil && m.compare(old.Member) <= 0 {
		return false
	}
	if m.record.Name() == t.self {
		return t.contradict(m, now)
	}
	t.put(m, now)
	return true
}

// contradict raises this host's incarnation above a claim that is wrong. That it
// leaves is taken in.
func (t *Table) contradict(m Member, now time.Time) bool {
	self := t.Self()
	self.incarnation = m.incarnation + 1
	if m.record.Leaving() {
		self.record = self.record.AsLeaving()
	}
	t.put(self, now)
	return true
}

// Leave makes this host say that it leaves.
func (t *Table) Leave(now time.Time) {
	self := t.Self()
	if self.record.Leaving() {
		return
	}
	self.incarnation++
	self.record = self.record.AsLeaving()
	t.put(self, now)
}

// MergeList takes in the platform's list and reports whether it changed anything. Of
// upstreams only those that leave, or have left, are kept.
func (t *Table) MergeList(hosts []coltsfootloft.HostRecord, now time.Time) bool {
	changed := false
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name()] = true
		if t.listOne(h, now) {
			changed = true
		}
	}
	for n, s := range t.members {
		s.listed = listed[n]
	}
	return changed
}

// Quiet takes all claims so far as known to the others. A host that starts has
// nothing to pass on but what it says of itself.
func (t *Table) Quiet() {
	for n, s := range t.members {
		if n != t.self {
			s.sends = math.MaxInt32
		}
	}
}

func (t *Table) listOne(h coltsfootloft.HostRecord, now time.Time) bool {
	old := t.members[h.Name()]
	m := NewMember(h, 0)
	if old == nil {
		if h.Upstream() && !h.Leaving() {
			return false
		}
		t.put(m, now)
		return true
	}
	m.incarnation = old.incarnation
	m.status = old.status
	if h.Upstream() && old.record.Leaving() && !h.Leaving() {
		if now.Sub(old.since) < t.listLag {
			return false
		}
		// The platform has taken it back.
		m.incarnation++
		return t.Hear(m, now)
	}
	if h.Leaving() && !old.record.Leaving() {
		m.record = old.record.AsLeaving()
		return t.Hear(m, now)
	}
	if h.Upstream() && h.Address() != old.record.Address() {
		m.incarnation++
		return t.Hear(m, now)
	}
	return false
}

// Announce says that an upstream leaves, ahead of the list.
func (t *Table) Announce(upstream coltsfootloft.HostRecord, now time.Time) bool {
	m := NewMember(upstream.AsUpstream().AsLeaving(), 0)
	if old := t.members[upstream.Name()]; old != nil {
		m.incarnation = old.incarnation
		m.record = old.record.AsLeaving()
	}
	return t.Hear(m, now)
}

// Suspect says that a host answered neither this one nor others.
func (t *Table) Suspect(host string, now time.Time) bool {
	s := t.members[host]
	if s == nil || s.status != Alive {
		return false
	}
	return t.Hear(s.As(Suspect), now)
}

// Tick turns suspects that were silent too long into dead ones and forgets those
// dead for long. It reports whether anything changed.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for n, s := range t.members {
		age := now.Sub(s.since)
		if s.status == Suspect && age >= SuspicionTime {
			changed = t.Hear(s.As(Dead), now) || changed
		}
		if s.status == Dead && age >= ForgetTime && !s.listed {
			t.digest ^= s.hash()
			t.neighbours = nil
			delete(t.members, n)
		}
	}
	return changed
}

// Rumours returns up to most claims that are still to be passed on, the least
// often sent first, and counts them as sent.
func (t *Table) Rumours(most int) []Member {
	limit := extraSends + bits.Len(uint(len(t.members)))
	var fresh []*slot
	for _, s := range t.members {
		if s.sends < limit {
			fresh = append(fresh, s)
		}
	}
	slices.SortFunc(fresh, func(a, b *slot) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.record.Name(), b.record.Name()))
	})
	var all []Member
	for _, s := range fresh[:min(most, len(fresh))] {
		s.sends++
		all = append(all, s.Member)
	}
	return all
}

// Members returns all claims, by name.
func (t *Table) Members() []Member {
	var all []Member
	for _, n := range slices.Sorted(maps.Keys(t.members)) {
		all = append(all, t.members[n].Member)
	}
	return all
}

// Digest is the same for two tables that hold the same claims.
func (t *Table) Digest() uint64 { return t.digest }

// Find returns what is known of a name.
func (t *Table) Find(name string) (Member, bool) {
	s := t.members[name]
	if s == nil {
		return Member{}, false
	}
	return s.Member, true
}

func (t *Table) put(m Member, now time.Time) {
	name := m.record.Name()
	s := t.members[name]
	if s == nil {
		s = &slot{}
		t.members[name] = s
	} else {
		t.digest ^= s.hash()
	}
	s.Member = m
	s.since = now
	s.sends = 0
	t.digest ^= s.hash()
	t.neighbours = nil
}

// hash covers all that compare does.
func (m Member) hash() uint64 {
	h := fnv.New64a()
	flags := byte(m.status)
	if m.record.Leaving() {
		flags |= 4
	}
	if m.record.Upstream() {
		flags |= 8
	}
	for _, s := range []string{m.record.Name(), m.record.Domain(), m.record.Address()} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write([]byte{flags})
	var n [8]byte
	for i := range n {
		n[i] = byte(m.incarnation >> (8 * i))
	}
	_, _ = h.Write(n[:])
	return h.Sum64()
}
