package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft/stand/audit"
	"coltsfootloft/stand/hostlink"
	"coltsfootloft/stand/keyval"
	"coltsfootloft/stand/opset"
	"coltsfootloft/stand/relay"
)

// Bounds of the deployment, as the users' sites have them.
const (
	withdrawal  = 5 * time.Second
	drain       = 7 * time.Second
	grace       = 6 * time.Second
	evacuation  = 5 * time.Second // until nothing more reaches an evacuated domain
	recovery    = 12 * time.Second
	lag         = 60 * time.Millisecond // of replicas
	timeoutMS   = 2000
	targetMS    = 400
	databases   = 3  // of each group
	connections = 60 // to each database
)

// soak is one run.
type soak struct {
	options
	folder string
	net    string // the first two numbers of all IPs
	random *rand.Rand
	begun  time.Time
	store  *keyval.Server
	way    *relay.Switch // to the store
	groups []*group
	hosts  []*host
	links  hostlink.Links // between the first hosts

	takeovers takeovers

	mu        sync.Mutex
	settings  opset.Settings
	record    audit.Record
	acked     []write
	impaired  []span
	away      []span          // in which the store answered no host, or this process stood still
	evacuated map[string]bool // domains that a move evacuates
	problems  []audit.Problem
	ends      map[string]int
	outcomes  map[string]int
	latencies []time.Duration
	worstKB   int64
	closing   bool // hosts are not started again
	quiet     bool // callers stop
}

// span is a time in which a host was suspended or its links were impaired.
type span struct {
	host     int
	from, to time.Time
}

// write is an acknowledged write.
type write struct {
	group       *group
	item, value string
	id          string
	host        int
	sent, ended time.Time
}

func newSoak(ctx context.Context, o options, folder string) (*soak, error) {
	s := &soak{
		options: o,
		folder:  folder,
		net:     fmt.Sprintf("127.%d", 64+os.Getpid()%128), // so that several runs have room
		random:  rand.New(rand.NewPCG(o.seed, 0)),
		begun:   time.Now(),
		record:  audit.Record{Limit: withdrawal},
		ends:    make(map[string]int),

		evacuated: make(map[string]bool),
		outcomes:  make(map[string]int),
	}
	if err := s.startStore(ctx); err != nil {
		return nil, err
	}
	for i := range min(max(o.hosts/8, 2), 8) {
		if err := s.startGroup(ctx, i); err != nil {
			return nil, err
		}
	}
	s.settings = s.firstSettings()
	s.changeSettings(nil)
	for i := range o.hosts {
		h, err := s.newHost(ctx, i)
		if err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
	}
	return s, nil
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", address)
	return l, errors.Wrap(err, "listen")
}

// startStore starts the store, and the way to it.
func (s *soak) startStore(ctx context.Context) error {
	l, err := listen(ctx, s.net+".1.1:0")
	if err != nil {
		return err
	}
	s.store = &keyval.Server{
		Listener: l,
		Promote:  s.promote,
		Rewrite:  s.links.Rewrite,
	}
	go func() { _ = s.store.Run(ctx) }()
	s.way, err = s.startSwitch(ctx, l.Addr().String())
	return err
}

func (s *soak) startSwitch(ctx context.Context, target string) (*relay.Switch, error) {
	l, err := listen(ctx, s.net+".1.2:0")
	if err != nil {
		return nil, err
	}
	w := &relay.Switch{
		Listener:   l,
		Target:     target,
		KeepSource: true,
	}
	go func() { _ = w.Run(ctx) }()
	return w, nil
}

func (s *soak) domains() int {
	if s.options.hosts < 60 {
		return 3
	}
	return 5
}

func (s *soak) domain(i int) string { return fmt.Sprintf("domain-%d", i%s.domains()+1) }

// tenants is the number of client accounts. Callers share them.
const tenants = 8

// roaming and passing are keys that moves give to other accounts, and take away and give back.
const (
	roaming = "key-roams"
	passing = "key-passes"
)

func (s *soak) firstSettings() opset.Settings {
	t := opset.Settings{Limits: map[string]int{"TxIdleMs": 5000}}
	for _, g := range s.groups {
		t.Services = append(t.Services, opset.Service{
			Name:     g.Name,
			MaxConns: connections,
		})
		for _, kind := range routeKinds {
			t.Routes = append(t.Routes, opset.Route{
				Name:            kind + "-" + g.Name,
				Host:            kind + "-" + g.Name,
				RouteType:       kind,
				Service:         g.Name,
				TimeoutMs:       timeoutMS,
				TargetLatencyMs: targetMS,
				MaxStalenessMs:  1500,
			})
		}
	}
	for i := range tenants {
		t.Tenants = append(t.Tenants, opset.Tenant{
			Name:     fmt.Sprintf("tenant-%d", i),
			ApiKeys:  []string{fmt.Sprintf("key-%d", i)},
			RatePerS: 5000,
			Burst:    5000,
		})
		s.record.Give(fmt.Sprintf("key-%d", i), fmt.Sprintf("tenant-%d", i))
	}
	for _, k := range []string{roaming, passing} {
		t.Tenants[0].ApiKeys = append(t.Tenants[0].ApiKeys, k)
		s.record.Give(k, t.Tenants[0].Name)
	}
	return t
}

// changeSettings writes a new version of the operators' settings.
func (s *soak) changeSettings(change func(*opset.Settings)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings.ConfigVersion += 3
	if change != nil {
		change(&s.settings)
	}
	s.store.Put(opset.SettingsKey, s.settings)
}

// report notes a broken promise.
func (s *soak) report(format string, arguments ...any) {
	p := audit.Problem{
		At:   time.Now(),
		Text: fmt.Sprintf(format, arguments...),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.problems = append(s.problems, p); len(s.problems) <= maxPrinted {
		s.printf("PROBLEM %s", p.Text)
	}
}

// maxPrinted is how many problems are printed.
const maxPrinted = 60

func (s *soak) printf(format string, arguments ...any) {
	fmt.Printf("%7.3f %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// impair notes that a host is impaired for a time.
func (s *soak) impair(host int, d time.Duration) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.impaired = append(s.impaired, span{host, now, now.Add(d)})
}

// isImpaired reports whether a host was impaired in a span, or within a second before it.
func (s *soak) isImpaired(host int, from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.impaired {
		if p.host == host && to.After(p.from) && from.Before(p.to.Add(time.Second)) {
			return true
		}
	}
	return false
}

func (s *soak) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

func (s *soak) isQuiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quiet
}
