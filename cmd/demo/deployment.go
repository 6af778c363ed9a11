package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/core/events"
	"coltsfootloft/core/keys"
	"coltsfootloft/io/change"
	"coltsfootloft/io/host"
	"coltsfootloft/io/store"
	"coltsfootloft/stand/consul"
	"coltsfootloft/stand/dbase"
)

const (
	groupSize = 3
	hostCount = 2
	lag       = 50 * time.Millisecond
	keyName   = "news.app"
	routeName = "bulletin"
)

// deployment holds the stand-ins and the hosts.
type deployment struct {
	log       logr.Logger
	running   sync.WaitGroup
	platform  *consul.Server
	store     *store.Consul
	databases []*dbase.Server
	hosts     []*host.Host
	secret    string
	printed   map[*host.Host]uint64
}

// start starts the stand-ins, writes the settings and starts the hosts. All run until
// ctx ends.
func (d *deployment) start(ctx context.Context) error {
	d.platform = &consul.Server{Listen: "127.0.0.1:0"}
	d.running.Go(func() { d.report("platform", d.platform.Run(ctx)) })
	d.store = &store.Consul{Addresses: []string{"http://" + d.platform.Addr()}}
	if err := d.startDatabases(ctx); err != nil {
		return err
	}
	if err := d.writeSettings(ctx); err != nil {
		return err
	}
	for i := range hostCount {
		if err := d.startHost(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) report(name string, err error) {
	if err != nil {
		fmt.Println(name, "ended:", err)
	}
}

func (d *deployment) wait() { d.running.Wait() }

func (d *deployment) startDatabases(ctx context.Context) error {
	replicate := make(map[string]string)
	for i := range groupSize {
		address, err := freeAddress(ctx)
		if err != nil {
			return err
		}
		replicate[databaseName(i)] = address
	}
	for i := range groupSize {
		s := &dbase.Server{
			Name:            databaseName(i),
			Listen:          "127.0.0.1:0",
			ReplicateListen: replicate[databaseName(i)],
			Peers:           replicate,
			InitialPrimary:  databaseName(0),
			ConnectDelay:    12 * time.Millisecond,
			Lag:             lag,
			Log:             d.log,
		}
		d.databases = append(d.databases, s)
		d.running.Go(func() { d.report(s.Name, s.Run(ctx)) })
		select {
		case <-s.Ready():
		case <-time.After(timeout):
			return errors.Errorf("%s did not start", s.Name)
		}
	}
	return nil
}

func databaseName(i int) string { return fmt.Sprint("news-", i+1) }

func domainName(i int) string { return fmt.Sprint("domain-", i+1) }

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress(ctx context.Context) (string, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "free address")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (d *deployment) writeSettings(ctx context.Context) error {
	secret, verifier, err := keys.Issue()
	if err != nil {
		return err
	}
	d.secret = secret
	var parts []string
	for i, s := range d.databases {
		parts = append(parts, fmt.Sprintf(`%q: {"address": %q, "domain": %q}`, s.Name, s.Addr(), domainName(i)))
	}
	settings := map[string]string{
		"fleet/groups/news":          fmt.Sprintf(`{"databases": {%s}, "connections": 35, "slots": 2}`, strings.Join(parts, ", ")),
		"fleet/teams/news":           `{"groups": ["news"]}`,
		"teams/news/accounts/branch": `{"rate": "500/s", "burst": 1000}`,
		"teams/news/routes/bulletin": `{"group": "news"}`,
		"teams/news/keys/app":        fmt.Sprintf(`{"account": "branch", "verifier": %q}`, verifier),
	}
	for i := range groupSize {
		settings["fleet/domains/"+domainName(i)] = `{"region": "here", "seats": 1}`
	}
	edit := change.Edit{Put: make(map[string][]byte)}
	for path, value := range settings {
		edit.Put[path] = []byte(value)
	}
	e := change.Editor{
		Store:  d.store,
		Author: "demo",
	}
	_, err = e.Apply(ctx, edit)
	return errors.Wrap(err, "writing the settings")
}

func (d *deployment) startHost(ctx context.Context, i int) error {
	peer, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	settings, err := hostSettings(
		"-name", fmt.Sprint("host-", i+1),
		"-domain", domainName(i),
		"-listen", "127.0.0.1:0",
		"-peer", peer,
		"-admin", "127.0.0.1:0",
		"-store", d.store.Addresses[0],
	)
	if err != nil {
		return err
	}
	d.platform.Register(coltsfootloft.NewHost(settings.Name(), settings.Domain(), settings.Peer()))
	h, err := host.Build(settings, clockwork.NewRealClock(), d.log)
	if err != nil {
		return err
	}
	d.hosts = append(d.hosts, h)
	d.running.Go(func() { d.report(settings.Name(), h.Run(ctx)) })
	select {
	case <-h.Ready():
		return nil
	case <-time.After(timeout):
		return errors.Errorf("%s did not start", settings.Name())
	}
}

// hostSettings returns the process settings for a command line of flags.
func hostSettings(args ...string) (*conf.Host, error) {
	var l conf.Loader
	f := flag.NewFlagSet("host", flag.ContinueOnError)
	l.SetFlags(f)
	if err := f.Parse(args); err != nil {
		return nil, err
	}
	h, problems := l.Load()
	return h, problems.Err()
}

// dsn returns the connection string for a host, with the key and the route.
func (d *deployment) dsn(host int) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", keyName, d.secret, d.hosts[host].Address(), routeName)
}

func (d *deployment) describe() {
	fmt.Println("Started inside this process:")
	fmt.Println("  the platform's store at", d.store.Addresses[0])
	for i, s := range d.databases {
		fmt.Printf("  database %s in %s at %s, replicas apply after %v\n", s.Name, domainName(i), s.Addr(), lag)
	}
	for i, h := range d.hosts {
		fmt.Printf("  entry host %s in %s at %s\n", h.Settings.Name(), domainName(i), h.Address())
	}
	fmt.Println()
}

// printDecisions prints the decisions that the hosts made on sessions since the last
// call.
func (d *deployment) printDecisions() {
	for _, h := range d.hosts {
		for _, v := range h.Journal.Find(events.Query{}) {
			if v.Session == 0 || v.Sequence <= d.printed[h] {
				continue
			}
			d.printed[h] = v.Sequence
			fmt.Printf("    %s: %s %s %s\n", h.Settings.Name(), v.Kind, v.Reason, v.Database)
		}
	}
}

func (d *deployment) printConnectCommands() {
	fmt.Println()
	fmt.Println("Connect with a client of your own (run with -stay):")
	for i := range d.hosts {
		fmt.Println("  psql", "'"+d.dsn(i)+"'")
	}
}
