package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"coltsfootloft/stand/keyval"
	"coltsfootloft/stand/linedb"
)

const (
	// heartbeat is how often a database writes its entry to the store.
	heartbeat = 1200 * time.Millisecond
	// replicaLag is how far the replicas are behind.
	replicaLag = 60 * time.Millisecond
	// promoteTime is how long a promote takes.
	promoteTime = 600 * time.Millisecond
	// maxConns is the connection limit of each database.
	maxConns = 34
	// readyTimeout bounds the wait until the hosts take clients.
	readyTimeout = 20 * time.Second
)

// world is a small deployment: the platform's store, groups of three databases in three zones,
// and hosts.
type world struct {
	record  *record
	trouble bool

	folder string // temporary files
	ctx    context.Context
	cancel context.CancelFunc
	store  *keyval.Server
	groups []*group
	hosts  []*host
	config config
	// toStore and toControl are the ways of the hosts to the two interfaces of the platform.
	toStore, toControl *link

	mu        sync.Mutex
	draining  map[string]bool // databases that report so
	failovers []failover
}

// failover is a call of POST /failover as the platform has received it.
type failover struct {
	database, holder string
	fence            uint64
	at               time.Time
	before           string // the primary at this time
}

// group is a database group with the links to its databases.
type group struct {
	*linedb.Group
	links []*link // one for each database, in order of the zones
}

func zone(n int) string { return fmt.Sprintf("zone-%d", n) }

// start starts the store, the named groups and n hosts, and waits until the hosts take clients.
func (w *world) start(hosts int, config config, groups ...string) {
	w.ctx, w.cancel = context.WithCancel(context.Background())
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		failf("temporary folder: %v", err)
	}
	w.folder = folder
	w.store = &keyval.Server{Listener: w.listen("127.0.70.1")}
	go func() { _ = w.store.Run(w.ctx) }()
	w.toStore = w.platformLink("store", "127.0.74.1", w.store.Listener)
	w.toControl = w.platformLink("control", "127.0.74.2", w.startControl())
	for i, name := range groups {
		w.groups = append(w.groups, w.startGroup(i, name))
	}
	w.config = config
	w.change("first settings", nil)
	w.announce()
	go w.beat()
	for i := range hosts {
		w.addHost(i + 1)
	}
	for _, h := range w.hosts {
		h.awaitReady()
	}
	w.record.add("case", "%d hosts take clients", hosts)
}

func (w *world) platformLink(name, ip string, to net.Listener) *link {
	l := &link{
		record:   w.record,
		name:     name,
		target:   to.Addr().String(),
		listener: w.listen(ip),
		raw:      true,
	}
	go l.run(w.ctx)
	return l
}

func (w *world) listen(ip string) net.Listener {
	var lc net.ListenConfig
	l, err := lc.Listen(w.ctx, "tcp", ip+":0")
	if err != nil {
		failf("listen: %v", err)
	}
	return l
}

// headerTimeout is how long the platform waits for the header of a call.
const headerTimeout = 30 * time.Second

// startControl starts the interface of the platform that takes the calls of duties.
func (w *world) startControl() net.Listener {
	l := w.listen("127.0.70.2")
	mux := http.NewServeMux()
	mux.HandleFunc("POST /failover", func(a http.ResponseWriter, r *http.Request) {
		var body struct {
			Service string
			ID      string `json:"Id"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			a.WriteHeader(http.StatusBadRequest)
			return
		}
		fence, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
		a.WriteHeader(w.promote(body.Service, body.ID, r.Header.Get("Duty-Holder"), fence))
	})
	h := &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: headerTimeout,
	}
	context.AfterFunc(w.ctx, func() { _ = h.Close() })
	go func() { _ = h.Serve(l) }()
	return l
}

// promote is the platform's call that names the next primary of a group.
func (w *world) promote(name, database, holder string, fence uint64) int {
	for _, g := range w.groups {
		if g.Name == name {
			f := failover{
				database: database,
				holder:   holder,
				fence:    fence,
				at:       time.Now(),
				before:   g.Primary(),
			}
			code := g.Promote(database, fence)
			w.mu.Lock()
			w.failovers = append(w.failovers, f)
			w.mu.Unlock()
			w.record.add("platform", "failover of %s to %s by %s, fence %d: %d", name, database, holder, fence, code)
			return code
		}
	}
	return 400
}

func (w *world) startGroup(n int, name string) *group {
	g := &group{Group: &linedb.Group{
		Name:        name,
		Lag:         replicaLag,
		MaxConns:    maxConns,
		PromoteTime: promoteTime,
	}}
	for i := range 3 {
		id := fmt.Sprintf("i-%s-%d", name, i+1)
		db := g.Add(w.ctx, id, w.listen(fmt.Sprintf("127.0.71.%d", 10*n+i+1)))
		l := &link{
			record:   w.record,
			name:     id,
			target:   db.Addr(),
			listener: w.listen(fmt.Sprintf("127.0.72.%d", 10*n+i+1)),
		}
		go l.run(w.ctx)
		g.links = append(g.links, l)
	}
	return g
}

// beat has all databases write their entries until the case ends.
func (w *world) beat() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-t.C:
			w.announce()
		}
	}
}

// entry is the entry of a database in the store.
type entry struct {
	Service, Address, Zone, ConfigVersion string
	Slots                                 int
	State                                 string
	ColdRemainingMs                       int
	DbRole                                string
	Seq                                   int64
	Born                                  int64 `json:"born"`
}

func (w *world) announce() {
	for _, g := range w.groups {
		for i, l := range g.links {
			role := "replica"
			if g.Primary() == l.name {
				role = "primary"
			}
			state := "ready"
			w.mu.Lock()
			if w.draining[l.name] {
				state = "draining"
			}
			w.mu.Unlock()
			w.store.Put("servers/"+l.name, entry{
				Service:       g.Name,
				Address:       l.listener.Addr().String(),
				Zone:          zone(i + 1),
				ConfigVersion: "v1",
				Slots:         2,
				State:         state,
				DbRole:        role,
				Seq:           time.Since(w.record.started).Milliseconds() + 1,
				Born:          w.record.started.UnixMilli(),
			})
		}
	}
}

// drain has a database report that it is draining.
func (w *world) drain(database string) {
	w.mu.Lock()
	if w.draining == nil {
		w.draining = make(map[string]bool)
	}
	w.draining[database] = true
	w.mu.Unlock()
	w.record.add("database", "%s reports draining", database)
	w.announce()
}

// config is the operators' desired state.
type config struct {
	ConfigVersion int
	Routes        []route
	Services      []service
	Limits        map[string]int
	Tenants       []tenant
}

type route struct {
	Name, Host, RouteType, Service string
	TimeoutMs, TargetLatencyMs     int
	MaxStalenessMs                 int `json:",omitempty"`
	Priority                       int
	Public                         bool
}

type service struct {
	Name                   string
	MaxConns, SyncReplicas int
}

type tenant struct {
	Name     string
	Keys     []string `json:"ApiKeys"`
	Priority int
	RatePerS float64
	Burst    float64
}

// smallConfig is a desired state with the routes and limits of the site wi-branchnews.
func smallConfig(groups ...string) config {
	c := config{
		ConfigVersion: 1,
		Limits:        map[string]int{"TxIdleMs": 3000},
	}
	for _, g := range groups {
		c.Services = append(c.Services, service{
			Name:     g,
			MaxConns: maxConns,
		})
	}
	c.Routes = []route{
		{
			Name:            "r-filing",
			Host:            "filing",
			RouteType:       "primary",
			Service:         groups[0],
			TimeoutMs:       800,
			TargetLatencyMs: 120,
			Priority:        1,
		},
		{
			Name:            "r-bulletin",
			Host:            "bulletin",
			RouteType:       "bounded_staleness",
			Service:         groups[0],
			TimeoutMs:       1500,
			TargetLatencyMs: 400,
			MaxStalenessMs:  1500,
			Priority:        2,
		},
		{
			Name:            "r-minutes",
			Host:            "minutes",
			RouteType:       "read_own_writes",
			Service:         groups[0],
			TimeoutMs:       800,
			TargetLatencyMs: 200,
			MaxStalenessMs:  2500,
			Priority:        2,
		},
	}
	for _, name := range []string{"arima", "siparia"} {
		c.Tenants = append(c.Tenants, tenant{
			Name:     name,
			Keys:     []string{"key-" + name},
			Priority: 1,
			RatePerS: 400,
			Burst:    400,
		})
	}
	return c
}

// change writes a new version of the desired state. The operator has the store's answer when it
// returns.
func (w *world) change(what string, f func(*config)) {
	w.config.ConfigVersion += 3
	if f != nil {
		f(&w.config)
	}
	revision := w.store.Put("op/config", w.config)
	w.record.add("operator", "version %d acknowledged at revision %d: %s", w.config.ConfigVersion, revision, what)
}

// addHost starts a host in zone n, or in the zone before it after the third.
func (w *world) addHost(n int) {
	ip := fmt.Sprintf("127.0.73.%d", n)
	h := &host{
		world:  w,
		name:   fmt.Sprintf("edge-%d", n),
		zone:   zone((n-1)%3 + 1),
		ip:     ip,
		listen: w.freeAddress(ip),
		ready:  w.freeAddress(ip),
		peer:   w.freeAddress(ip),
	}
	h.settings = filepath.Join(w.folder, h.name+".jsonc")
	w.hosts = append(w.hosts, h)
	h.start()
}

// Ports of hosts are below those that the kernel gives to outgoing connections, one of which
// could otherwise take a port before the host listens on it.
const (
	firstPort = 20000
	ports     = 10000
)

// freeAddress returns an IP:port on which nothing listens.
func (w *world) freeAddress(ip string) string {
	var lc net.ListenConfig
	for range 100 {
		address := net.JoinHostPort(ip, strconv.Itoa(firstPort+rand.IntN(ports)))
		if l, err := lc.Listen(w.ctx, "tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	failf("no free port at %s", ip)
	return ""
}

// stop ends all processes that the case started.
func (w *world) stop() {
	for _, h := range w.hosts {
		h.kill()
	}
	if w.cancel != nil {
		w.cancel()
	}
	if strings.HasPrefix(filepath.Base(w.folder), "review-") {
		_ = os.RemoveAll(w.folder)
	}
}
