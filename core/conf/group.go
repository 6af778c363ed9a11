package conf

import (
	"fmt"
	"strconv"
	"time"

	"coltsfootloft"
)

const (
	// DefaultAckTimeout is how long a write waits until a majority has received it.
	DefaultAckTimeout = 5 * time.Second
	// DefaultConnectTimeout is the timeout for opening a connection to a database.
	DefaultConnectTimeout = 2 * time.Second
)

const (
	maxDatabases     = 9
	maxConnections   = 100_000
	maxSlots         = 100
	acceptedDatabase = "a database name of 1 to 63 characters without control characters"
)

// Group is a database group with its settings.
type Group struct {
	group          coltsfootloft.Group
	slots          int
	ackTimeout     time.Duration
	connectTimeout time.Duration
	database       string
	databasePlaces map[string]place
	domainPlaces   map[string]place
	at             place
}

// Group returns the databases and limits of the group, in the form that other packages
// use.
func (g Group) Group() coltsfootloft.Group { return g.group }

// Name is unique in the fleet.
func (g Group) Name() string { return g.group.Name() }

// Slots is the number of replication slots of the primary, and so the maximum number
// of replicas.
func (g Group) Slots() int { return g.slots }

// AckTimeout is how long a write waits until a majority has received it.
func (g Group) AckTimeout() time.Duration { return g.ackTimeout }

// ConnectTimeout is the timeout for opening a connection to a database.
func (g Group) ConnectTimeout() time.Duration { return g.connectTimeout }

// UpstreamDatabase is the database name in the startup message to an upstream.
func (g Group) UpstreamDatabase() string { return g.database }

func parseGroup(l location, o *object) value {
	g := Group{
		ackTimeout:     take(o, duration("ack_timeout", 10*time.Millisecond, 5*time.Minute).orDefault(DefaultAckTimeout)),
		connectTimeout: take(o, duration("connect_timeout", 10*time.Millisecond, time.Minute).orDefault(DefaultConnectTimeout)),
		database:       take(o, text("upstream_database", acceptedDatabase, parseDatabase).orDefault(l.name)),
		databasePlaces: make(map[string]place),
		domainPlaces:   make(map[string]place),
		at:             o.doc.place(o.offset),
	}
	connections := take(o, integer("connections", 1, maxConnections).require())
	upstreams := g.parseDatabases(o)
	g.slots = take(o, integer("slots", 0, maxSlots).orDefault(len(upstreams)-1))
	if g.slots < len(upstreams)-1 {
		o.doc.reportAt(o.at("slots"), fmt.Sprintf("%d slots for %d replicas", g.slots, len(upstreams)-1),
			"a slot of the primary for each other database")
	}
	g.group = coltsfootloft.NewGroup(l.name, connections, upstreams...)
	return g
}

// parseDatabases returns the databases of the group in the order of the settings.
func (g *Group) parseDatabases(o *object) []coltsfootloft.Upstream {
	o.knownFields = append(o.knownFields, "databases")
	accepted := fmt.Sprintf("\"databases\": an object of 1 to %d databases by name, each with address and domain", maxDatabases)
	v, ok := o.members["databases"]
	if !ok {
		o.doc.report(o.offset, "no \"databases\"", accepted)
		return nil
	}
	databases := o.doc.object(v)
	if databases == nil {
		return nil
	}
	if len(databases.order) < 1 || len(databases.order) > maxDatabases {
		o.doc.report(v.StartOffset, fmt.Sprintf("%d databases", len(databases.order)), accepted)
	}
	upstreams := make([]coltsfootloft.Upstream, 0, len(databases.order))
	for _, m := range databases.order {
		if !nameForm.MatchString(m.name) {
			o.doc.report(m.offset, "database "+strconv.Quote(m.name), acceptedName)
		}
		database := o.doc.object(databases.members[m.name])
		if database == nil {
			continue
		}
		domain := takeReference(database, nameField("domain").require())
		upstreams = append(upstreams, coltsfootloft.NewUpstream(m.name, domain.name, take(database, addressField("address").require())))
		g.databasePlaces[m.name] = o.doc.place(m.offset)
		g.domainPlaces[m.name] = domain.at
		database.reportUnknown()
	}
	return upstreams
}

func (g Group) addTo(f *Fleet) Problems {
	var p Problems
	for _, u := range g.group.Upstreams() {
		if _, ok := f.Domain(u.Domain()); !ok {
			p = append(p, g.domainPlaces[u.Name()].problem("failure domain "+f.describeMissing("fleet/domains", u.Domain()),
				"a name under fleet/domains"))
		}
		if owner, duplicate := f.owners[u.Name()]; duplicate {
			p = append(p, g.databasePlaces[u.Name()].problem("database "+strconv.Quote(u.Name())+" that group "+owner+" has too",
				"a name unique in the fleet"))
		}
		if owner, doubled := f.owners[u.Address()]; doubled {
			p = append(p, g.databasePlaces[u.Name()].problem("address "+u.Address()+" that group "+owner+" has too",
				"an address unique in the fleet"))
		}
	}
	if len(p) > 0 {
		return p
	}
	for _, u := range g.group.Upstreams() {
		f.owners[u.Name()] = g.Name()
		f.owners[u.Address()] = g.Name()
	}
	f.groups = append(f.groups, g)
	return nil
}

func parseDatabase(s string) (string, bool) {
	if len(s) < 1 || len(s) > 63 {
		return s, false
	}
	for _, r := range s {
		if r < ' ' || r == 0x7f {
			return s, false
		}
	}
	return s, true
}
