package gossip

import (
	"cmp"

	"coltsfootloft"
)

// Member is a claim about one host or upstream.
type Member struct {
	record      coltsfootloft.HostRecord
	incarnation uint64
	status      Status
}

// NewMember returns a claim that a host makes about itself, or with incarnation 0
// a claim from the platform's list. Its status is Alive.
func NewMember(record coltsfootloft.HostRecord, incarnation uint64) Member {
	return Member{
		record:      record,
		incarnation: incarnation,
	}
}

// As returns a copy of m with status s.
func (m Member) As(s Status) Member {
	m.status = s
	return m
}

// Record holds the name, failure domain, address and kind.
func (m Member) Record() coltsfootloft.HostRecord { return m.record }

// Incarnation rises when the host starts or refutes a claim about itself. For an
// upstream it rises when the platform withdraws the announcement that the
// upstream leaves, or when its address changes.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Status is whether the host answers heartbeats.
func (m Member) Status() Status { return m.status }

// compare orders claims about one name; the greater one is believed.
func (m Member) compare(o Member) int {
	return cmp.Or(
		cmp.Compare(m.incarnation, o.incarnation),
		cmp.Compare(m.status, o.status),
		compareBool(m.record.Leaving(), o.record.Leaving()),
		cmp.Compare(m.record.Address(), o.record.Address()),
		cmp.Compare(m.record.Domain(), o.record.Domain()),
		compareBool(m.record.Upstream(), o.record.Upstream()),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// Status is whether a host answers heartbeats.
type Status uint8

// The statuses of a host; within one incarnation the greater one is believed.
const (
	// Alive: the host answers, or has not been suspected.
	Alive Status = iota
	// Suspect: the host answered neither the host that heartbeats it nor those
	// that were asked to probe it.
	Suspect
	// Dead: the suspicion was not refuted in time.
	Dead
)

// String returns the lower-case name of the status.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "invalid"
}
