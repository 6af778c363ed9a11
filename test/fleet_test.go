package test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"coltsfootloft/core/keys"
	"coltsfootloft/io/change"
	"coltsfootloft/io/store"
)

// layout describes a fleet under test.
type layout struct {
	domains      int
	hosts        int
	groups       int
	lag          time.Duration
	connectDelay time.Duration
	conns        int
	extraConns   int
	network      bool
	settings     map[string]string
	// hostArgs and databaseArgs return further arguments for a host or database.
	hostArgs     func(name string) []string
	databaseArgs func(name string) []string
}

// fleet is a running deployment.
type fleet struct {
	t        testing.TB
	layout   layout
	network  *network
	platform *process
	control  string

	platformAddress string

	store     *store.Consul
	databases map[string]*database
	hosts     []*entry
	secrets   map[string]string
}

// database is one upstream, run as a stand-in.
type database struct {
	process   *process
	name      string
	address   string
	listen    string
	replicate string
	args      []string
}

// entry is one entry host.
type entry struct {
	process *process
	name    string
	address string
	peer    string
	admin   string
	args    []string
}

// newFleet starts the platform, the databases and the hosts.
func newFleet(t testing.TB, l layout) *fleet {
	t.Helper()
	acquireSlot(t)
	f := &fleet{
		t:         t,
		layout:    l,
		databases: make(map[string]*database),
		secrets:   make(map[string]string),
	}
	if l.network {
		f.network = newNetwork(t)
	}
	p := portsAt(t, placeIP(outside, 1), 2)
	f.control = p[1]
	f.platform = start(t, "platform", "standin", "platform listening", "platform", "-listen", p[0], "-control", p[1])
	f.store = &store.Consul{Addresses: []string{"http://" + p[0]}}
	f.platformAddress = f.expose(p[0], outside)
	for g := range l.groups {
		f.startGroup(fmt.Sprint("g", g+1))
	}
	f.writeSettings()
	for i := range l.hosts {
		f.hosts = append(f.hosts, f.launchHost(i))
	}
	for _, e := range f.hosts {
		e.process.awaitLog(t, servingLog)
	}
	return f
}

func (f *fleet) startGroup(group string) {
	f.t.Helper()
	const size = 3
	peers := make([]string, size)
	for i := range size {
		p := portsAt(f.t, f.databaseIP(i), 2)
		d := &database{
			name:      fmt.Sprint(group, "-", i+1),
			listen:    p[0],
			replicate: p[1],
			address:   f.expose(p[0], i%f.layout.domains+1),
		}
		peers[i] = d.name + "=" + f.expose(p[1], i%f.layout.domains+1)
		f.databases[d.name] = d
		f.register(d.name, f.domain(i), d.address, "upstream", "live")
		d.args = []string{
			"database", "-name", d.name, "-listen", d.listen, "-replicate", d.replicate,
			"-initial", group + "-1", "-lag", f.layout.lag.String(), "-connect-delay", f.layout.connectDelay.String(),
			"-max-conns", fmt.Sprint(f.connections() + f.layout.extraConns), "-dir", f.t.TempDir(),
		}
	}
	for i := range size {
		d := f.databases[fmt.Sprint(group, "-", i+1)]
		for j, p := range peers {
			if j != i {
				d.args = append(d.args, "-peer", p)
			}
		}
		if f.layout.databaseArgs != nil {
			d.args = append(d.args, f.layout.databaseArgs(d.name)...)
		}
		f.startDatabase(d)
	}
}

// expose returns the address at which other places reach target, which is in place:
// that of a relay if the fleet has a network, and target itself otherwise.
func (f *fleet) expose(target string, place int) string {
	if f.network == nil {
		return target
	}
	return f.network.expose(target, place)
}

// databaseIP returns the address of the i-th database of a group.
func (f *fleet) databaseIP(i int) string { return placeIP(i%f.layout.domains+1, 100+i) }

func (f *fleet) startDatabase(d *database) {
	f.t.Helper()
	d.process = start(f.t, d.name, "standin", "listening on", d.args...)
}

// connections returns the limit of connections to each database.
func (f *fleet) connections() int {
	if f.layout.conns == 0 {
		return 35
	}
	return f.layout.conns
}

func (f *fleet) domain(i int) string { return fmt.Sprint("d", i%f.layout.domains+1) }

// writeSettings writes the fleet's settings to the store.
func (f *fleet) writeSettings() {
	f.t.Helper()
	all := make(map[string]string)
	for d := range f.layout.domains {
		all["fleet/domains/"+f.domain(d)] = fmt.Sprintf(`{"region": "r1", "seats": %d}`, max(1, f.layout.hosts/f.layout.domains))
	}
	names := make([]string, 0, f.layout.groups)
	for g := range f.layout.groups {
		group := fmt.Sprint("g", g+1)
		names = append(names, `"`+group+`"`)
		all["fleet/groups/"+group] = f.groupSettings(group)
		all["teams/alpha/routes/"+group] = fmt.Sprintf(`{"group": %q}`, group)
	}
	all["fleet/teams/alpha"] = fmt.Sprintf(`{"groups": [%s]}`, strings.Join(names, ", "))
	all["teams/alpha/accounts/main"] = `{"rate": "20000/s", "burst": 20000}`
	all["teams/alpha/keys/app"] = f.newKey("alpha.app", "main")
	maps.Copy(all, f.layout.settings)
	f.apply(all)
}

func (f *fleet) groupSettings(group string) string {
	var parts []string
	for i := range 3 {
		name := fmt.Sprint(group, "-", i+1)
		parts = append(parts, fmt.Sprintf(`%q: {"address": %q, "domain": %q}`, name, f.databases[name].address, f.domain(i)))
	}
	return fmt.Sprintf(`{"databases": {%s}, "connections": %d, "slots": 2, "upstream_database": "main"}`,
		strings.Join(parts, ", "), f.connections())
}

// newKey issues a key and returns its setting.
func (f *fleet) newKey(name, account string) string {
	f.t.Helper()
	secret, v, err := keys.Issue()
	assert.NilError(f.t, err)
	f.secrets[name] = secret
	return fmt.Sprintf(`{"account": %q, "verifier": %q}`, account, v.String())
}

// apply writes settings and returns their revision.
func (f *fleet) apply(all map[string]string) uint64 {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	revision, err := f.tryApply(ctx, all)
	assert.NilError(f.t, err)
	return revision
}

func (f *fleet) tryApply(ctx context.Context, all map[string]string) (revision uint64, err error) {
	edit := change.Edit{Put: make(map[string][]byte)}
	for path, value := range all {
		edit.Put[path] = []byte(value)
	}
	e := change.Editor{
		Store:  f.store,
		Author: "test",
	}
	r, err := e.Apply(ctx, edit)
	return r.Revision(), err
}

// register adds an entry host or an upstream to the platform's host list.
func (f *fleet) register(name, domain, address, kind, state string) {
	f.t.Helper()
	ip, port, err := net.SplitHostPort(address)
	assert.NilError(f.t, err)
	body := fmt.Sprintf(`{"Node": %q, "Address": %q, "Service": {"Service": "coltsfootloft", "Address": %q, "Port": %s,
		"Meta": {"domain": %q, "kind": %q, "state": %q}}}`, name, ip, ip, port, domain, kind, state)
	put(f.t, f.store.Addresses[0]+"/v1/catalog/register", body)
}

// put sends an HTTP PUT, and fails the test unless the answer is 200.
func put(t testing.TB, url, body string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	assert.NilError(t, err)
	a, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer a.Body.Close()
	assert.Equal(t, a.StatusCode, http.StatusOK, url)
}

// launchHost starts a host without waiting until it accepts callers.
func (f *fleet) launchHost(i int) *entry {
	f.t.Helper()
	place := i%f.layout.domains + 1
	p := portsAt(f.t, placeIP(place, 10+i), 3)
	e := &entry{
		name:    fmt.Sprint("h", i+1),
		address: f.expose(p[0], place),
		peer:    f.expose(p[1], place),
		admin:   p[2],
	}
	e.args = []string{
		"serve", "-name", e.name, "-domain", f.domain(i), "-listen", p[0], "-peer", e.peer, "-peer-listen", p[1],
		"-admin", p[2], "-store", "http://" + f.platformAddress, "-log-level", "debug",
	}
	if f.layout.hostArgs != nil {
		e.args = append(e.args, f.layout.hostArgs(e.name)...)
	}
	f.register(e.name, f.domain(i), e.peer, "entry", "live")
	e.process = launch(f.t, e.name, "coltsfootloft", e.args...)
	return e
}

// servingLog is what a host prints once it accepts callers.
const servingLog = "serving"

// restartHost starts a host that has ended, and waits until it accepts callers.
func (f *fleet) restartHost(e *entry) {
	f.t.Helper()
	e.process = start(f.t, e.name, "coltsfootloft", servingLog, e.args...)
}

// dsn returns the data source name for a key and a route on a host.
func (f *fleet) dsn(e *entry, key, route string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", key, f.secrets[key], e.address, route)
}

// connect opens a session with the key alpha.app on the route g1, and closes it at
// the end of the test.
func (f *fleet) connect(e *entry) *pgx.Conn {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, f.dsn(e, "alpha.app", "g1"))
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { c.Close(context.Background()) })
	return c
}
