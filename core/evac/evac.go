// Package evac decides which databases a host may use while operators evacuate failure
// domains.
//
// An evacuation must be in effect everywhere within a bound after the store has acknowledged
// it. A host may learn of it late. Therefore the time of its effect is not counted from
// then, but from the last moment at which the host knew that the domain was not evacuated:
// the evacuation was acknowledged after that. A host that has never known so treats the
// domain as closed at once.
//
// An evacuation is named by the store's revision of its key, including the era. It ends only
// when the operators remove that key or a later one. If a later era of the store lacks the
// key, the store has lost it, and the evacuation stays.
package evac

import (
	"maps"
	"slices"
	"time"

	"coltsfootloft"
)

const (
	// margin is subtracted from the bound: what is sent just before the deadline is still on
	// its way, for 400 ms at most while a connection is opened.
	margin = 500 * time.Millisecond
	// returnTime is how long after the end of an evacuation the share of reads grows that the
	// databases of the domain get.
	returnTime = 5 * time.Second
)

// State is what may be sent to the databases of a failure domain.
type State uint8

// The states of a failure domain.
const (
	// None: the domain is not evacuated.
	None State = iota
	// Leaving: the databases get no reads and transactions that another one can serve, and
	// primaries are replaced.
	Leaving
	// Closed: nothing is sent.
	Closed
)

// String returns the state in lower case.
func (s State) String() string {
	names := [...]string{"none", "leaving", "closed"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid state"
}

// Evacuation is an evacuation that is in force.
type Evacuation struct {
	// Revision is the store's revision of the operators' key, with its era.
	Revision uint64
	// Deadline is when the domain is closed, on the host's clock.
	Deadline time.Duration
}

// End is the end of the latest evacuation of a domain.
type End struct {
	// Revision is that of the removal of the key, or of the key itself if that of the
	// removal is not known. Evacuations up to it are over.
	Revision uint64
	// At is when the host learned of it, on the host's clock.
	At time.Duration
}

// Table holds the evacuations that a host knows of. The zero value holds none and ignores all.
// It is not safe for concurrent use, but a table that is not changed any more is.
type Table struct {
	// Bound is the time within which an evacuation must be in effect; 0 if domains can't be
	// evacuated.
	Bound time.Duration

	active     map[string]Evacuation
	ended      map[string]End
	unreadable map[string]bool
}

// Clone returns a copy that can be changed independently.
func (t *Table) Clone() Table {
	return Table{
		Bound:  t.Bound,
		active: maps.Clone(t.active),
		ended:  maps.Clone(t.ended),

		unreadable: maps.Clone(t.unreadable),
	}
}

// Enabled reports whether domains can be evacuated.
func (t *Table) Enabled() bool { return t.Bound > 0 }

// Begin notes that the operators' key of a domain has a revision. Absent is when the host last
// knew that there was none, and known whether it ever did. It reports whether an evacuation
// begins. The deadline of one that is in force stays.
func (t *Table) Begin(domain string, revision uint64, absent time.Duration, known bool) bool {
	if !t.Enabled() || revision <= t.ended[domain].Revision {
		return false
	}
	e, active := t.active[domain]
	if active && revision <= e.Revision {
		return false
	}
	delete(t.unreadable, domain)
	if t.active == nil {
		t.active = make(map[string]Evacuation)
	}
	if !active {
		e.Deadline = 0
		if known {
			e.Deadline = max(absent+t.Bound-margin, 0)
		}
	}
	e.Revision = revision
	t.active[domain] = e
	return !active
}

// End notes at now that the operators' key was removed at a revision, or that evacuations up
// to a revision are over. It reports whether an evacuation ends.
func (t *Table) End(domain string, revision uint64, now time.Duration) bool {
	e, active := t.active[domain]
	if !t.Enabled() || active && revision < e.Revision {
		return false
	}
	end := t.ended[domain]
	if revision <= end.Revision {
		return false
	}
	delete(t.unreadable, domain)
	end.Revision = revision
	if active {
		end.At = now
		delete(t.active, domain)
	}
	if t.ended == nil {
		t.ended = make(map[string]End)
	}
	t.ended[domain] = end
	return active
}

// EndIfAbsent ends the evacuation of a domain whose key the store does not have in an era. One of
// an earlier era stays, since the store may have lost the key. It reports whether one ends.
func (t *Table) EndIfAbsent(domain string, era uint64, now time.Duration) bool {
	e, active := t.active[domain]
	return active && coltsfootloft.EraOf(e.Revision) == era && t.End(domain, e.Revision, now)
}

// SetUnreadable notes that the operators' key of a domain holds something that can't be read. An
// evacuation that is in force stays.
func (t *Table) SetUnreadable(domain string) {
	if !t.Enabled() {
		return
	}
	if t.unreadable == nil {
		t.unreadable = make(map[string]bool)
	}
	t.unreadable[domain] = true
}

// IsUnreadable reports whether the operators' key of a domain can't be read.
func (t *Table) IsUnreadable(domain string) bool { return t.unreadable[domain] }

// Get returns the evacuation of a domain that is in force.
func (t *Table) Get(domain string) (Evacuation, bool) {
	e, ok := t.active[domain]
	return e, ok
}

// Ended returns the end of the latest evacuation of a domain; zero if there was none.
func (t *Table) Ended(domain string) End { return t.ended[domain] }

// Domains returns the evacuated domains, sorted.
func (t *Table) Domains() []string { return slices.Sorted(maps.Keys(t.active)) }

// EndedDomains returns the domains of which an evacuation has ended, sorted.
func (t *Table) EndedDomains() []string { return slices.Sorted(maps.Keys(t.ended)) }

// State returns what may be sent to the databases of a domain now.
func (t *Table) State(domain string, now time.Duration) State {
	e, ok := t.active[domain]
	switch {
	case !ok:
		return None
	case now >= e.Deadline:
		return Closed
	}
	return Leaving
}

// NextDeadline returns the earliest deadline after now; ok is false if there is none.
func (t *Table) NextDeadline(now time.Duration) (next time.Duration, ok bool) {
	for _, e := range t.active {
		if e.Deadline > now && (!ok || e.Deadline < next) {
			next = e.Deadline
			ok = true
		}
	}
	return next, ok
}

// ReadShare returns the share of the reads that the databases of a domain may get of those that
// would choose them: 0 while it is evacuated, and growing to 1 after that.
func (t *Table) ReadShare(domain string, now time.Duration) float64 {
	if _, active := t.active[domain]; active {
		return 0
	}
	end, ok := t.ended[domain]
	if !ok || end.At == 0 {
		return 1
	}
	return min(max(float64(now-end.At)/float64(returnTime), 0), 1)
}
