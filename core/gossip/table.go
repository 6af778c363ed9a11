// Package gossip decides, from heartbeats and from the platform's lagging host
// list, which hosts are live and which upstreams leave. It is a gossip protocol
// in the manner of SWIM.
//
// # Claims
//
// A [Member] is a claim about one name. Its incarnation is raised only by the
// host itself: at its start, and to refute a claim that it is suspect or dead. Of
// two claims the one with the higher incarnation is believed, and within one
// incarnation the one with the worse status. Hosts that have received the same
// claims therefore agree, in whatever order the claims arrived. An entry of the
// platform's list is a claim with incarnation 0, so the list adds hosts but any
// claim from a host overrides it.
//
// # Neighbours
//
// Each host sends heartbeats to a constant number of others: in its failure
// domain to the hosts at three distances on the ring of names, and in each of two
// other domains to the host at the same place on the ring of that domain. With
// distances of 1, about n^(1/3) and about n^(2/3), any host reaches any other in
// few steps. If domains are of equal size, every host has neighbours in two other
// domains, one of them in the other half of the domains, so that hosts on both
// sides notice when domains or regions are partitioned from each other.
//
// # Dissemination
//
// A claim that changed the table is passed on with the next heartbeats, a bounded
// number of times. A digest of all claims shows whether two hosts still differ
// because messages were lost, as in a partition; they then exchange all claims.
package gossip

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
	// SuspicionTime is how long a suspect may refute the suspicion before it is
	// considered dead.
	SuspicionTime = 2 * time.Second
	// ForgetTime is how long a dead host is kept that is absent from the
	// platform's list.
	ForgetTime = 10 * time.Minute
	// baseSends plus the logarithm of the fleet size is how often a claim is
	// sent: once to each neighbour, and with some answers.
	baseSends = 5
)

// Table holds the claims that one host believes. It is not safe for concurrent
// use.
type Table struct {
	self    string
	listLag time.Duration
	members map[string]*memberState
	digest  uint64
	// neighbours caches the result of Neighbours until a claim changes.
	neighbours []string
}

// memberState is a claim with local state.
type memberState struct {
	Member
	since  time.Time
	sends  int
	listed bool
}

// New returns a table that holds only this host. If the platform's list
// contradicts an announcement that an upstream leaves, the list is believed once
// the announcement is older than listLag.
func New(self coltsfootloft.HostRecord, incarnation uint64, listLag time.Duration, now time.Time) *Table {
	t := &Table{
		self:    self.Name(),
		listLag: listLag,
		members: make(map[string]*memberState),
	}
	t.put(NewMember(self, incarnation), now)
	return t
}

// Self is the claim of this host about itself.
func (t *Table) Self() Member { return t.members[t.self].Member }

// Merge merges a claim and reports whether it changed anything. A claim that
// overrides that of this host about itself is refuted. A claim that an unknown
// host is dead is ignored; otherwise hosts would pass it back and forth for ever.
func (t *Table) Merge(m Member, now time.Time) bool {
	old := t.members[m.record.Name()]
	if old == nil && m.status == Dead {
		return false
	}
	if old != nil && m.compare(old.Member) <= 0 {
		return false
	}
	if m.record.Name() == t.self {
		return t.refute(m, now)
	}
	t.put(m, now)
	return true
}

// refute raises the incarnation of this host above that of a wrong claim. If the
// claim says that this host leaves, the host adopts that.
func (t *Table) refute(m Member, now time.Time) bool {
	self := t.Self()
	self.incarnation = m.incarnation + 1
	if m.record.Leaving() {
		self.record = self.record.AsLeaving()
	}
	t.put(self, now)
	return true
}

// Leave records that this host leaves.
func (t *Table) Leave(now time.Time) {
	self := t.Self()
	if self.record.Leaving() {
		return
	}
	self.incarnation++
	self.record = self.record.AsLeaving()
	t.put(self, now)
}

// MergeList merges the platform's list and reports whether it changed anything. An
// upstream is stored only once it leaves, and stays stored afterwards.
func (t *Table) MergeList(hosts []coltsfootloft.HostRecord, now time.Time) bool {
	changed := false
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name()] = true
		if t.applyListed(h, now) {
			changed = true
		}
	}
	for n, s := range t.members {
		s.listed = listed[n]
	}
	return changed
}

// MarkAllSent marks all claims, except that of this host about itself, as already
// passed on. A host that starts has nothing else to tell the others.
func (t *Table) MarkAllSent() {
	for n, s := range t.members {
		if n != t.self {
			s.sends = math.MaxInt32
		}
	}
}

func (t *Table) applyListed(h coltsfootloft.HostRecord, now time.Time) bool {
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
		// The platform has withdrawn the announcement.
		m.incarnation++
		return t.Merge(m, now)
	}
	if h.Leaving() && !old.record.Leaving() {
		m.record = old.record.AsLeaving()
		return t.Merge(m, now)
	}
	if h.Upstream() && h.Address() != old.record.Address() {
		m.incarnation++
		return t.Merge(m, now)
	}
	return false
}

// AnnounceLeaving records that an upstream leaves, before the platform's list says so,
// and reports whether that changed anything.
func (t *Table) AnnounceLeaving(upstream coltsfootloft.HostRecord, now time.Time) bool {
	m := NewMember(upstream.AsUpstream().AsLeaving(), 0)
	if old := t.members[upstream.Name()]; old != nil {
		m.incarnation = old.incarnation
		m.record = old.record.AsLeaving()
	}
	return t.Merge(m, now)
}

// Suspect records that a host answered neither this host nor its helpers, and
// reports whether that changed anything.
func (t *Table) Suspect(host string, now time.Time) bool {
	s := t.members[host]
	if s == nil || s.status != Alive {
		return false
	}
	return t.Merge(s.As(Suspect), now)
}

// Tick declares suspects dead after [SuspicionTime] and removes hosts that have
// been dead for [ForgetTime] and are absent from the platform's list. It reports
// whether a status changed.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for n, s := range t.members {
		age := now.Sub(s.since)
		if s.status == Suspect && age >= SuspicionTime {
			changed = t.Merge(s.As(Dead), now) || changed
		}
		if s.status == Dead && age >= ForgetTime && !s.listed {
			t.digest ^= s.hash()
			t.neighbours = nil
			delete(t.members, n)
		}
	}
	return changed
}

// PendingClaims returns the claims that are still to be passed on, the least often sent
// first and no more than most, and counts them as sent.
func (t *Table) PendingClaims(most int) []Member {
	limit := baseSends + bits.Len(uint(len(t.members)))
	var pending []*memberState
	for _, s := range t.members {
		if s.sends < limit {
			pending = append(pending, s)
		}
	}
	slices.SortFunc(pending, func(a, b *memberState) int {
		return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.record.Name(), b.record.Name()))
	})
	var all []Member
	for _, s := range pending[:min(most, len(pending))] {
		s.sends++
		all = append(all, s.Member)
	}
	return all
}

// Members returns all claims, sorted by name.
func (t *Table) Members() []Member {
	var all []Member
	for _, n := range slices.Sorted(maps.Keys(t.members)) {
		all = append(all, t.members[n].Member)
	}
	return all
}

// Digest returns a hash that is equal for two tables with the same claims.
func (t *Table) Digest() uint64 { return t.digest }

// Find returns the claim about a name.
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
		s = &memberState{}
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

// hash covers all fields that compare does.
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
