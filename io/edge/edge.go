// Package edge runs one entry host on the users' platform: it builds the duties,
// joins them, says whether the host takes callers, and leaves in good order.
package edge

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/io/boot"
	"coltsfootloft/io/dial"
	"coltsfootloft/io/duty"
	"coltsfootloft/io/entry"
	"coltsfootloft/io/groups"
	"coltsfootloft/io/lanes"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/peer"
	"coltsfootloft/io/probe"
	"coltsfootloft/io/quota"
	"coltsfootloft/io/relay"
	"coltsfootloft/io/steward"
	"coltsfootloft/io/tenure"
	"coltsfootloft/platform"
)

const (
	// keyMargin is left of the time within which a withdrawn key must stop: for
	// clocks that run unevenly, and for the way to the database.
	keyMargin = 400 * time.Millisecond
	// holdMargin is how much longer than its own host a transaction's connection
	// may rest at the host that keeps it.
	holdMargin = 2 * time.Second
	// maxKeepers is the most hosts that keep books of rates.
	maxKeepers = 8
	// linkIdle closes links to other hosts that nothing is asked over.
	linkIdle = 20 * time.Second
)

// Edge is one entry host.
type Edge struct {
	settings conf.EntrySettings
	log      logr.Logger
	metrics  *metrics.Set
	clock    coltsfootloft.Clock
	mirror   *mirror.Mirror
	tenure   *tenure.Tenure
	lanes    *lanes.Lanes
	groups   *groups.Groups
	relay    *relay.Relay
	peers    *peer.Links
	quota    *quota.Shards
	steward  *steward.Steward
	server   *entry.Server
	leaving  chan struct{}

	mu       sync.Mutex
	ready    bool
	unready  string
	goodFrom time.Duration
}

// Build makes a host that is not running yet.
func Build(s conf.EntrySettings, log logr.Logger) *Edge { return build(s, log, boot.Clock{}) }

func build(s conf.EntrySettings, log logr.Logger, clock coltsfootloft.Clock) *Edge {
	e := &Edge{
		settings: s,
		log:      log,
		metrics:  metrics.NewSet(),
		clock:    clock,
		leaving:  make(chan struct{}),
	}
	open := dial.From(s.Peer, 0)
	client := &platform.Client{
		Store:   s.Store,
		Control: s.Control,
		Dial:    open,
	}
	client.Start()
	opener := &platform.Dialer{Dial: open}
	e.buildStore(client)
	e.buildDatabases(opener)
	e.buildDuties(client, opener)
	e.server = &entry.Server{
		Listen:   s.Listen,
		Codec:    func(c net.Conn) coltsfootloft.Caller { return platform.NewFront(c) },
		Mirror:   e.mirror,
		Groups:   e.groups,
		Relay:    e.relay,
		Quota:    e.quota,
		Clock:    e.clock,
		Log:      log.WithName("entry"),
		Metrics:  e.metrics,
		KeyLimit: e.keyLimit(),
		Missing:  e.steward.Missing,
	}
	return e
}

func (e *Edge) keyLimit() time.Duration { return e.settings.Withdrawal() - keyMargin }

func (e *Edge) buildStore(client *platform.Client) {
	e.peers = &peer.Links{
		Self:    e.settings.Name,
		Listen:  e.settings.Peer,
		Resolve: e.resolve,
		Dial:    dial.From(e.settings.Peer, 0),
		Log:     e.log.WithName("peer"),
		Metrics: e.metrics,
		Idle:    linkIdle,
	}
	e.mirror = &mirror.Mirror{
		Store:    client,
		Clock:    e.clock,
		Log:      e.log.WithName("mirror"),
		Limit:    e.keyLimit(),
		Leads:    e.keepsRates,
		Self:     e.settings.Name,
		Domain:   e.settings.Domain,
		Peers:    e.peers,
		Decode:   platform.Decode,
		Reaching: func() bool { return e.storeAge() < aloneAfter },
	}
	e.mirror.Register()
	e.tenure = &tenure.Tenure{
		Store:   client,
		Mirror:  e.mirror,
		Clock:   e.clock,
		Log:     e.log.WithName("tenure"),
		Host:    e.settings.Name,
		Address: e.settings.Peer,
		Domain:  e.settings.Domain,
		Size:    e.settings.Size(),
	}
}

// keepsRates reports whether the other hosts report to this one.
func (e *Edge) keepsRates() bool {
	_, ok := e.quota.First().Duty.Holds()
	return ok
}

func (e *Edge) resolve(host string) (string, bool) {
	p, ok := e.mirror.View().Hosts[host]
	return p.Address, ok
}

func (e *Edge) buildDatabases(opener *platform.Dialer) {
	keepers := &relay.Keepers{
		Self:   e.settings.Name,
		Mirror: e.mirror,
	}
	e.lanes = &lanes.Lanes{
		Opener:      opener,
		Refused:     refusedBy,
		Clock:       e.clock,
		Limit:       keepers.Limit,
		Outstanding: keepers.Outstanding,
		Log:         e.log.WithName("lanes"),
		Metrics:     e.metrics,
	}
	e.groups = &groups.Groups{
		Mirror: e.mirror,
		Tenure: e.tenure,
		Lanes:  e.lanes,
		Clock:  e.clock,
		Domain: e.settings.Domain,
		Drain:  e.settings.Drain(),
	}
	e.relay = &relay.Relay{
		Self:    e.settings.Name,
		Peers:   e.peers,
		Keepers: keepers,
		Lanes:   e.lanes,
		Groups:  e.groups,
		Clock:   e.clock,
		Hold:    e.hold,
		Log:     e.log.WithName("relay"),
	}
	e.relay.Register()
}

func refusedBy(err error) (coltsfootloft.Reason, bool) {
	var r *platform.RefusedError
	if errors.As(err, &r) {
		return r.Reason(), true
	}
	return coltsfootloft.ReasonNone, false
}

// hold is how long a transaction's connection may rest.
func (e *Edge) hold() time.Duration {
	if c := e.mirror.View().Catalog; c != nil {
		return c.IdleTransaction + holdMargin
	}
	return holdMargin
}

func (e *Edge) buildDuties(client *platform.Client, opener *platform.Dialer) {
	stewardDuty := e.duty("steward", client)
	e.quota = &quota.Shards{Mirror: e.mirror}
	for i := range maxKeepers {
		e.quota.Limiters = append(e.quota.Limiters, e.quotaPart(i, client))
	}
	e.steward = &steward.Steward{
		Self:     e.settings.Name,
		Peers:    e.peers,
		Duty:     stewardDuty,
		Tenure:   e.tenure,
		Store:    client,
		Mirror:   e.mirror,
		Promoter: client,
		Prober: &probe.Prober{
			Opener:  opener,
			Dial:    opener.Dial,
			Refused: refusedBy,
			Parse:   platform.ParseHealth,
		},
		Clock:   e.clock,
		Log:     e.log.WithName("steward"),
		Metrics: e.metrics,
	}
	e.steward.Register()
}

// quotaPart makes this host's part in one share of the client accounts.
func (e *Edge) quotaPart(i int, client *platform.Client) *quota.Quota {
	q := &quota.Quota{
		Peers:    e.peers,
		Duty:     e.duty("quota-"+strconv.Itoa(i), client),
		Mirror:   e.mirror,
		Clock:    e.clock,
		Log:      e.log.WithName("quota"),
		StoreAge: e.storeAge,
	}
	q.Register()
	return q
}

func (e *Edge) duty(name string, store coltsfootloft.KeyValue) *duty.Duty {
	return &duty.Duty{
		Name:   name,
		Self:   e.settings.Name,
		Store:  store,
		Mirror: e.mirror,
		Tenure: e.tenure,
		Clock:  e.clock,
		Log:    e.log.WithName("duty"),
	}
}

// storeAge is how long ago the store last answered a renewal.
func (e *Edge) storeAge() time.Duration { return tenure.TTL - e.tenure.Left() }

// Run serves until stop ends, and then leaves in good order. It fails if an address
// can't be bound.
func (e *Edge) Run(stop context.Context) error {
	base, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	var group sync.WaitGroup
	failed := make(chan error, 3)
	run := func(f func(context.Context)) {
		group.Add(1)
		go func() {
			defer group.Done()
			f(base)
		}()
	}
	run(e.mirror.Run)
	run(e.tenure.Run)
	run(e.lanes.Run)
	run(e.steward.Run)
	run(e.steward.Duty.Run)
	for i := range e.quota.Limiters {
		run(func(ctx context.Context) { e.runQuota(ctx, i) })
	}
	accepting, refuse := context.WithCancel(base)
	defer refuse()
	run(func(ctx context.Context) { report(failed, e.peers.Run(ctx)) })
	run(func(ctx context.Context) { report(failed, e.serveReady(ctx)) })
	run(func(context.Context) { report(failed, e.server.Run(accepting)) })
	run(e.judge)
	var err error
	select {
	case err = <-failed:
	case <-stop.Done():
		e.leave(refuse)
	}
	cancel()
	group.Wait()
	return err
}

// runQuota runs one share of the client accounts, once there are accounts for it.
func (e *Edge) runQuota(ctx context.Context, part int) {
	if !e.quota.AwaitActive(ctx, part) {
		return
	}
	q := e.quota.Limiters[part]
	var group sync.WaitGroup
	group.Add(1)
	go func() {
		defer group.Done()
		q.Duty.Run(ctx)
	}()
	q.Run(ctx)
	group.Wait()
}

func report(failed chan<- error, err error) {
	if err != nil {
		failed <- err
	}
}

const (
	// noticeShare is the part of the grace that the balancer gets to see that
	// the host is not ready: it asks each second and takes two misses.
	noticeShare = 0.36
	// transactionShare is the part of the grace that open transactions get.
	transactionShare = 0.5
)

// leave stops taking callers, lets the balancer notice, and ends the sessions as
// they come to rest.
func (e *Edge) leave(closeListener func()) {
	e.log.Info("host leaving", "sessions", e.server.Sessions(), "grace", e.settings.Grace().String())
	close(e.leaving)
	e.judgeOnce()
	grace := float64(e.settings.Grace())
	time.Sleep(time.Duration(grace * noticeShare))
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(grace*(transactionShare-noticeShare)))
	defer cancel()
	closeListener()
	e.server.Drain(ctx)
}
