package beat

import (
	"cmp"

	"coltsfootloft"
)

// Member is what is known of one host or upstream.
type Member struct {
	record      coltsfootloft.HostRecord
	incarnation uint64
	status      Status
}

// NewMember returns what a host says of itself, or what the platform's list says
// with incarnation 0.
func NewMember(record coltsfootloft.HostRecord, incarnation uint64) Member {
	return Member{
		record:      record,
		incarnation: incarnation,
	}
}

// As returns m with a status.
func (m Member) As(s Status) Member {
	m.status = s
	return m
}

// Record is its name, domain, address and kind.
func (m Member) Record() coltsfootloft.HostRecord { return m.record }

// Incarnation rises when the host starts or contradicts what is said of it. Of an
// upstream it rises when the platform takes back that it leaves.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Status is whether the host answers.
func (m Member) Status() Status { return m.status }

// compare orders what is said of one name: the later one is believed.
func (m Member) compare(o Member) int {
	return cmp.Or(
		cmp.Compare(m.incarnation, o.incarnation),
		cmp.Compare(m.status, o.status),
		order(m.record.Leaving(), o.record.Leaving()),
		cmp.Compare(m.record.Address(), o.record.Address()),
		cmp.Compare(m.record.Domain(), o.record.Domain()),
		order(m.record.Upstream(), o.record.Upstream()),
	)
}

func order(a, b bool) int {
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

// The statuses of a host; at one incarnation the later one is believed.
const (
	// Alive: it answers, or nothing is known against it.
	Alive Status = iota
	// Suspect: it answered neither its neighbour nor those that were asked to
	// probe it.
	Suspect
	// Dead: nobody contradicted the suspicion in time.
	Dead
)

// String returns the lower-case name.
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
