// Package rig runs a small deployment around the program for the scripts of the second review:
// a store, one database group, and entry hosts as separate processes, all on loopback addresses.
//
// The store is keyval.Server and the databases are linedb.Group, the project's own stand-ins. Each
// host reaches each database through a relay of its own, so that a database can be cut off from
// some hosts only.
package rig

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft/stand/keyval"
	"coltsfootloft/stand/linedb"
	"coltsfootloft/stand/opset"
	"coltsfootloft/stand/relay"
)

// Options describe a deployment.
type Options struct {
	// Domains are the failure domains of the hosts, one for each host. The databases are in the
	// domains DatabaseDomains, one in each; the first is the primary.
	Domains, DatabaseDomains []string
	// Slots is how many statements a database runs at a time, and MaxConns its limit of connections.
	Slots, MaxConns int
	// Lag is that of the replicas, and Promotion the time that a promotion takes.
	Lag, Promotion time.Duration
	// Settings are the operators' first settings.
	Settings opset.Settings
	// Cores and MemoryMB are those of a host.
	Cores    float64
	MemoryMB int
	// Ordered, if not nil, is called once the platform has taken an order to promote a database.
	Ordered func(database, holder string)
}

// Rig is a running deployment.
type Rig struct {
	Options
	// Store is the platform's store.
	Store *keyval.Server
	// Group is the database group.
	Group *linedb.Group
	// Hosts are the entry hosts.
	Hosts []*Host

	folder string
	net    string // the first two numbers of all IPs
	begun  time.Time
	record *os.File
	ids    []string
	ways   []*relay.Switch // to the databases

	mu      sync.Mutex
	down    map[string]time.Time // since when databases are down
	leaving map[string]bool
	roles   map[string]string
	seq     int
	leaders []Leader
}

// Leader is a promotion that the platform was told to make, and when its database led.
type Leader struct {
	// Database is the promoted database.
	Database string
	// Ordered is when the platform was called, and Led when the database was first seen to lead. Led
	// is not before the database led.
	Ordered, Led time.Time
}

// Start starts a deployment, and writes its record to the file record.txt in the folder out.
func Start(ctx context.Context, o Options, out string) (*Rig, error) {
	record, err := os.Create(filepath.Join(out, "record.txt"))
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Wrap(err, "folder")
	}
	r := &Rig{
		Options: o,
		folder:  folder,
		net:     fmt.Sprintf("127.%d", 64+os.Getpid()%128),
		begun:   time.Now(),
		record:  record,
		down:    make(map[string]time.Time),
		leaving: make(map[string]bool),
		roles:   make(map[string]string),
	}
	if err := r.startPlatform(ctx); err != nil {
		return nil, err
	}
	if err := r.startDatabases(ctx); err != nil {
		return nil, err
	}
	r.Store.Put(opset.SettingsKey, o.Settings)
	go r.announce(ctx)
	go r.noteRecords(ctx)
	for i := range o.Domains {
		if err := r.startHost(i); err != nil {
			r.Stop()
			return nil, err
		}
	}
	return r, nil
}

// Stop ends all processes and removes the folder of their settings.
func (r *Rig) Stop() {
	for _, h := range r.Hosts {
		h.kill()
	}
	r.record.Close()
	_ = os.RemoveAll(r.folder)
}

// Note writes a line to the record.
func (r *Rig) Note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// At returns the time of a line of the record, in seconds.
func (r *Rig) At(t time.Time) float64 { return t.Sub(r.begun).Seconds() }

func (r *Rig) listen(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", r.net+address)
	return l, errors.Wrap(err, "listen")
}

func (r *Rig) startPlatform(ctx context.Context) error {
	l, err := r.listen(ctx, ".1.1:0")
	if err != nil {
		return err
	}
	r.Store = &keyval.Server{
		Listener: l,
		Promote:  r.promote,
	}
	go func() { _ = r.Store.Run(ctx) }()
	return nil
}

func (r *Rig) startDatabases(ctx context.Context) error {
	r.Group = &linedb.Group{
		Name:        r.Settings.Services[0].Name,
		Lag:         r.Lag,
		MaxConns:    r.MaxConns,
		PromoteTime: r.Promotion,
	}
	for i := range r.DatabaseDomains {
		l, err := r.listen(ctx, fmt.Sprintf(".2.%d:0", i+1))
		if err != nil {
			return err
		}
		id := fmt.Sprintf("i-db%d", i+1)
		d := r.Group.Add(ctx, id, l)
		w, err := r.listen(ctx, fmt.Sprintf(".3.%d:0", i+1))
		if err != nil {
			return err
		}
		s := &relay.Switch{
			Listener:   w,
			Target:     d.Addr(),
			KeepSource: true,
		}
		go func() { _ = s.Run(ctx) }()
		r.ids = append(r.ids, id)
		r.ways = append(r.ways, s)
	}
	return nil
}

// Cut resets all connections between a host and a database, and all further ones, until on is false.
func (r *Rig) Cut(h *Host, database string, on bool) {
	for i, id := range r.ids {
		if id == database {
			r.ways[i].From(h.IP).Cut(on)
		}
	}
}

// silence is how long a database is down before its entry is removed: three of its heartbeats.
const silence = 3 * 1200 * time.Millisecond

// Crash ends a database without a word. It comes back with its log after a time.
func (r *Rig) Crash(database string, d time.Duration) {
	r.Note("%s crashes", database)
	r.mu.Lock()
	r.down[database] = time.Now()
	r.mu.Unlock()
	r.Group.SetDown(database, true)
	time.AfterFunc(d, func() {
		r.Group.Rejoin(database)
		r.Note("%s is back with its log", database)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.down, database)
	})
}

// Leave has a database report that it is draining. It goes on to serve.
func (r *Rig) Leave(database string) {
	r.Note("%s reports draining", database)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving[database] = true
	r.roles[database] = ""
}

// announce writes the entries of the databases as they change, until ctx ends.
func (r *Rig) announce(ctx context.Context) {
	const period = 20 * time.Millisecond
	t := time.NewTicker(period)
	defer t.Stop()
	for ctx.Err() == nil {
		r.writeEntries()
		<-t.C
	}
}

func (r *Rig) writeEntries() {
	primary := r.Group.Primary()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, id := range r.ids {
		role := "replica"
		if id == primary {
			role = "primary"
		}
		since, down := r.down[id]
		if down && time.Since(since) > silence && r.roles[id] != "" {
			r.roles[id] = ""
			r.Store.Remove("servers/" + id)
		}
		if down || r.roles[id] == role {
			continue
		}
		r.roles[id] = role
		r.seq++
		entry := opset.Entry(r.Group.Name, r.ways[i].Listener.Addr().String(), role, r.DatabaseDomains[i], "ready", r.seq)
		entry["Slots"] = r.Slots
		if r.leaving[id] {
			entry["State"] = "draining"
		}
		r.Store.Put("servers/"+id, entry)
	}
}

// noteRecords notes each change of the record of the group, until ctx ends.
func (r *Rig) noteRecords(ctx context.Context) {
	const period = 2 * time.Millisecond
	last := uint64(0)
	for ctx.Err() == nil {
		record, ok := r.Store.Get("coltsfootloft/group/" + r.Group.Name)
		if ok && record.Revision != last {
			last = record.Revision
			r.Note("record %s", record.Value)
		}
		time.Sleep(period)
	}
}

// promote answers the platform's call that promotes a database.
func (r *Rig) promote(_, database, holder string, fence uint64) int {
	code := r.Group.Promote(database, fence)
	ordered := time.Now()
	r.Note("POST /failover %s by %s, fence %d: %d", database, holder, fence, code)
	go r.awaitLeader(database, ordered)
	if r.Ordered != nil {
		go r.Ordered(database, holder)
	}
	return code
}

// awaitLeader notes when a promoted database leads.
func (r *Rig) awaitLeader(database string, ordered time.Time) {
	const period = 200 * time.Microsecond
	for time.Since(ordered) < r.Promotion+time.Second {
		if r.Group.Primary() == database {
			led := time.Now()
			r.Note("%s leads", database)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.leaders = append(r.leaders, Leader{
				Database: database,
				Ordered:  ordered,
				Led:      led,
			})
			return
		}
		time.Sleep(period)
	}
}

// Leaders returns the promotions that have taken effect.
func (r *Rig) Leaders() []Leader {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Leader(nil), r.leaders...)
}
