package coltsfootloft

import "time"

// Settings is one decoded version of the operators' settings. It is immutable.
type Settings struct {
	// Version is the number that the operators assign; it increases, but may skip
	// values.
	Version uint64
	// Revision is the store's revision of the settings.
	Revision uint64
	// Routes maps the database name that a caller asks for to its route.
	Routes map[string]Route
	// Accounts maps the name of a client account to its limits.
	Accounts map[string]Account
	// Keys maps each API key to the name of the account that it belongs to.
	Keys map[string]string
	// Connections maps each group to the connection limit of each of its
	// databases, counted over all hosts.
	Connections map[string]int
	// SyncReplicas maps each group to the number of replicas that have received a commit
	// before it is acknowledged. A group without any may lose the latest commits with its
	// primary.
	SyncReplicas map[string]int
	// IdleTransaction is how long a transaction may be idle before the host may
	// end it.
	IdleTransaction time.Duration
	// AccountRegions maps accounts to the regions in which their statements may run. Accounts
	// without an entry are not restricted.
	AccountRegions map[string][]string
	// ColdStarts maps the groups whose databases are limited while they are cold to that limit.
	ColdStarts map[string]ColdStart
	// Problems are the values that could not be used, in words.
	Problems []string
}

// ColdStart is how the databases of a group behave after their start.
type ColdStart struct {
	// Duration is how long a database is cold.
	Duration time.Duration
	// Rate is how many requests a cold database should get in a second.
	Rate float64
}

// Supersedes reports whether s replaces t. Within an era of the store, that is so if s was
// written later. Across eras the version decides, since the store may have lost later
// settings than those that it came back with.
func (s *Settings) Supersedes(t *Settings) bool {
	era, other := EraOf(s.Revision), EraOf(t.Revision)
	switch {
	case era == other:
		return s.Revision > t.Revision
	case era > other:
		return s.Version >= t.Version
	}
	return s.Version > t.Version
}

// Covers reports whether a host that has s knows all settings that the store had acknowledged
// when it held t. It does not if a store of a later era holds older settings than s: there may
// have been others after s that are lost as well.
func (s *Settings) Covers(t *Settings) bool {
	if EraOf(t.Revision) > EraOf(s.Revision) {
		return s.Version == t.Version
	}
	return s == t || !t.Supersedes(s)
}

// Route maps a database name to a database group and the guarantees of its reads.
type Route struct {
	// Database is the name that callers ask for.
	Database string
	// Group is the database group that serves the route.
	Group string
	// Kind is the consistency that reads are guaranteed.
	Kind RouteKind
	// MaxAge is the maximum staleness of reads; it is unused if Kind is
	// RoutePrimary.
	MaxAge time.Duration
	// Timeout limits the duration of one statement.
	Timeout time.Duration
	// TargetLatency is the latency objective of a whole operation, as callers see it.
	TargetLatency time.Duration
	// Priority orders routes by urgency; 0 is the most urgent.
	Priority int
	// Public routes need no API key.
	Public bool
	// AllowedRegions are the regions in which statements of the route may run; everywhere if
	// there are none.
	AllowedRegions []string
}

// Announcement is the entry that a database publishes about itself in the
// platform's store.
type Announcement struct {
	// Upstream is the database's id, failure domain and address.
	Upstream Upstream
	// Group is the database group that it belongs to.
	Group string
	// Role is the role that the database reports for itself.
	Role Role
	// Leaving is set while the database drains: it takes no new work.
	Leaving bool
	// Slots is how many statements the database runs concurrently; 0 if the
	// entry doesn't state it.
	Slots int
	// Started is when the database process started, in Unix milliseconds, and
	// identifies that run; 0 if the entry doesn't state it.
	Started int64
	// ColdFor is how much longer the database expects to be cold.
	ColdFor time.Duration
}

// Event is one decoded change in the platform's store.
type Event struct {
	// Kind is the kind of key that changed.
	Kind EventKind
	// Key is the key without its prefix for EventProxyKey, the id of the database for
	// EventUpstream, the failure domain for EventEvacuation, and StoreKey otherwise.
	Key string
	// Revision is the store's revision of the change.
	Revision uint64
	// Created is the store's revision of the key's creation; 0 if it is not known.
	Created uint64
	// Lease is the store's name of the lease that the key belongs to. It is empty if there is
	// none, or if Created is not known.
	Lease string
	// Deleted is set if the key was deleted.
	Deleted bool
	// StoreKey is the full key in the store, and Value the raw value.
	StoreKey string
	Value    []byte
	// Settings is set for EventSettings, unless Deleted or Err is set.
	Settings *Settings
	// Announcement is set for EventUpstream, unless Deleted or Err is set.
	Announcement Announcement
	// Err is the error of a value that could not be decoded, or nil.
	Err error
}

// RouteKind is the consistency that the reads of a route are guaranteed.
type RouteKind uint8

// The kinds of route.
const (
	// RoutePrimary: every read sees every acknowledged write.
	RoutePrimary RouteKind = iota
	// RouteBoundedStaleness: reads are at most MaxAge old.
	RouteBoundedStaleness
	// RouteReadOwnWrites: as RouteBoundedStaleness, and a session also reads its own writes.
	RouteReadOwnWrites
)

// String returns the kind in lower case.
func (k RouteKind) String() string {
	names := [...]string{"primary", "aged", "own writes"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid route kind"
}

// EventKind is the kind of key that changed in the store.
type EventKind uint8

// The kinds of event.
const (
	// EventProxyKey: a key that the proxy itself writes.
	EventProxyKey EventKind = iota
	// EventSettings: the operators' settings.
	EventSettings
	// EventUpstream: a database's announcement.
	EventUpstream
	// EventOther: a key that the proxy does not use.
	EventOther
	// EventEvacuation: operators evacuate a failure domain while the key exists.
	EventEvacuation
)

// String returns the kind in lower case.
func (k EventKind) String() string {
	names := [...]string{"own", "catalog", "upstream", "other", "evacuation"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid event kind"
}
