package coltsfootloft

import "time"

// Catalog is one version of the operators' settings, decoded. It is not changed
// once made.
type Catalog struct {
	// Version is the operators' own number; it grows in uneven steps.
	Version uint64
	// Revision is the store's revision of the settings.
	Revision uint64
	// Routes are found by the database name that callers ask for.
	Routes map[string]Route
	// Accounts are found by name.
	Accounts map[string]Account
	// Keys maps each key to the account that holds it.
	Keys map[string]string
	// Connections is the limit of each group's databases, from all hosts
	// together.
	Connections map[string]int
	// IdleTransaction is how long a transaction may rest before the host may
	// end it.
	IdleTransaction time.Duration
}

// Route is where the statements of a database name go.
type Route struct {
	// Database is the name that callers ask for.
	Database string
	// Group is the database group.
	Group string
	// Kind is what reads are promised.
	Kind RouteKind
	// MaxAge bounds how old reads are, unless Kind is RoutePrimary.
	MaxAge time.Duration
	// Timeout limits one statement.
	Timeout time.Duration
	// Target is the latency that callers expect of a whole operation.
	Target time.Duration
	// Priority is 0 for the most urgent.
	Priority int
	// Public routes ask for no key.
	Public bool
}

// Announcement is what a database says of itself in the platform's store.
type Announcement struct {
	// Upstream is the database's id, failure domain and address.
	Upstream Upstream
	// Group is the database group that it belongs to.
	Group string
	// Role is how the database sees itself.
	Role Role
	// Leaving databases take no new work.
	Leaving bool
	// Slots is how many statements the database runs at a time; 0 if the entry
	// does not say.
	Slots int
	// Born identifies one run of the database, in Unix milliseconds; 0 if the
	// entry does not say.
	Born int64
}

// Event is one change in the platform's store, decoded.
type Event struct {
	// Kind is what changed.
	Kind EventKind
	// Key is the project's own key, or a database's id.
	Key string
	// Revision is the store's revision of the change.
	Revision uint64
	// Gone is set when the key was removed.
	Gone bool
	// StoreKey is the key as the store has it, and Value the raw value.
	StoreKey string
	Value    []byte
	// Catalog goes with EventCatalog.
	Catalog *Catalog
	// Announcement goes with EventUpstream.
	Announcement Announcement
	// Err is set when the value can't be used.
	Err error
}

// RouteKind is what the reads of a route are promised.
type RouteKind uint8

// The kinds of route.
const (
	// RoutePrimary: every read sees every acknowledged write.
	RoutePrimary RouteKind = iota
	// RouteAged: reads are at most MaxAge old.
	RouteAged
	// RouteOwnWrites: as RouteAged, and a session sees its own writes.
	RouteOwnWrites
)

// String returns the kind in lower case.
func (k RouteKind) String() string {
	names := [...]string{"primary", "aged", "own writes"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid route kind"
}

// EventKind is what changed in the store.
type EventKind uint8

// The kinds of event.
const (
	// EventOwn: a key of the project.
	EventOwn EventKind = iota
	// EventCatalog: the operators' settings.
	EventCatalog
	// EventUpstream: a database's announcement.
	EventUpstream
	// EventOther: a key that means nothing here.
	EventOther
)

// String returns the kind in lower case.
func (k EventKind) String() string {
	names := [...]string{"own", "catalog", "upstream", "other"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid event kind"
}
