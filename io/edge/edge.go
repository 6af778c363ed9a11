// Package edge assembles and runs one entry host on the users' platform: it creates the
// parts of the host and connects them, reports to the load balancer whether the host
// takes callers, and shuts it down gracefully.
package edge

import (
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/accept"
	"coltsfootloft/core/conf"
	"coltsfootloft/core/memory"
	"coltsfootloft/core/reach"
	"coltsfootloft/io/boot"
	"coltsfootloft/io/dbpool"
	"coltsfootloft/io/dial"
	"coltsfootloft/io/duty"
	"coltsfootloft/io/entry"
	"coltsfootloft/io/evac"
	"coltsfootloft/io/failov"
	"coltsfootloft/io/groups"
	"coltsfootloft/io/lease"
	"coltsfootloft/io/logs"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/peer"
	"coltsfootloft/io/probe"
	"coltsfootloft/io/quota"
	"coltsfootloft/io/relay"
	"coltsfootloft/io/warmup"
	"coltsfootloft/platform"
)

const (
	// withdrawalMargin is subtracted from the time within which a withdrawn key must
	// stop working, to allow for clock drift and for the way to the database.
	withdrawalMargin = 400 * time.Millisecond
	// holdMargin is how much longer a transaction may be idle on the host that owns
	// its connection than on the host of its session.
	holdMargin = 2 * time.Second
	// maxQuotaShards is the maximum number of quota keepers: each shard of the client
	// accounts has one.
	maxQuotaShards = 8
	// linkIdleTimeout is how long an unused link to another host is kept.
	linkIdleTimeout = 20 * time.Second
	// linkMemoryPart is the part of the memory that requests of other hosts may take, and
	// again that answers to this host's own may take; at least minLinkMemory bytes each.
	linkMemoryPart = 16
	minLinkMemory  = 4 << 20
)

// Edge is one entry host.
type Edge struct {
	settings conf.EntrySettings
	log      logr.Logger
	metrics  *metrics.Set
	clock    coltsfootloft.Clock
	mirror   *mirror.Mirror
	lease    *lease.Lease
	pools    *dbpool.Pools
	groups   *groups.Groups
	relay    *relay.Relay
	peers    *peer.Links
	quota    *quota.Shards
	cold     *warmup.Limiter
	failover *failov.Controller
	evac     *evac.Guard
	server   *entry.Server
	messages *memory.Budget // lines of callers and answers of databases
	values   *memory.Budget // session values and prepared statements
	leaving  chan struct{}
	// droppedLines returns how many lines of the log were dropped.
	droppedLines func() uint64

	mu            sync.Mutex
	ready         bool
	unreadyReason string
	readyFrom     time.Duration
	judge         reach.Judge
}

// Build creates a host. It serves nothing until Run.
func Build(s conf.EntrySettings, log logr.Logger) *Edge { return build(s, log, boot.Clock{}) }

func build(s conf.EntrySettings, log logr.Logger, clock coltsfootloft.Clock) *Edge {
	e := &Edge{
		settings: s,
		log:      log,
		metrics:  metrics.NewSet(),
		clock:    clock,
		leaving:  make(chan struct{}),

		droppedLines: func() uint64 { return 0 },
	}
	e.metrics.GetOrCreateCounter(entry.RegionRefusals)
	e.metrics.NewGauge(logs.DroppedMetric, func() float64 { return float64(e.droppedLines()) })
	open := dial.From(s.Peer, 0)
	e.buildMemory()
	client := &platform.Client{
		Store:   s.Store,
		Control: s.Control,
		Dial:    open,
	}
	client.Start()
	opener := &platform.Dialer{
		Dial:   open,
		Memory: e.messages,
	}
	e.buildStore(client)
	e.buildDatabases(opener)
	// Answers to the host itself fit into the buffer of a connection.
	e.buildDuties(client, &platform.Dialer{
		Dial:   open,
		Memory: &memory.Budget{},
	})
	e.server = &entry.Server{
		Listen:            s.Listen,
		Codec:             func(c net.Conn) coltsfootloft.Caller { return platform.NewBoundedCallerConn(c, e.messages) },
		Mirror:            e.mirror,
		Groups:            e.groups,
		Relay:             e.relay,
		Quota:             e.quota,
		Memory:            e.messages,
		ValueMemory:       e.values,
		SessionLimit:      sessionLimit(s.MemoryMB),
		JitterRetries:     platform.RulesPressure(s.Policies),
		Clock:             e.clock,
		Log:               log.WithName("entry"),
		Metrics:           e.metrics,
		ReportUnreachable: e.failover.ReportUnreachable,
		ReadPosition:      e.failover.ReadPosition,
	}
	return e
}

// CountDroppedLines sets the source of the metric of lines that the log dropped. It must be
// called before Run.
func (e *Edge) CountDroppedLines(dropped func() uint64) { e.droppedLines = dropped }

func (e *Edge) keyLimit() time.Duration { return e.settings.Withdrawal() - withdrawalMargin }

func (e *Edge) buildStore(client *platform.Client) {
	e.peers = &peer.Links{
		Self:        e.settings.Name,
		Listen:      e.settings.Peer,
		Resolve:     e.resolve,
		Dial:        dial.From(e.settings.Peer, 0),
		Log:         e.log.WithName("peer"),
		Metrics:     e.metrics,
		IdleTimeout: linkIdleTimeout,
		MaxHeld:     max(e.settings.MemoryMB<<20/linkMemoryPart, minLinkMemory),
		Hosts:       func() int { return len(e.mirror.View().Hosts) },
	}
	e.mirror = &mirror.Mirror{
		Store:           client,
		Clock:           e.clock,
		Log:             e.log.WithName("mirror"),
		HorizonLimit:    e.keyLimit(),
		LeaseTTL:        lease.TTL,
		IsKeeper:        e.holdsQuotaDuty,
		Self:            e.settings.Name,
		Domain:          e.settings.Domain,
		Peers:           e.peers,
		Decode:          platform.Decode,
		IsLease:         platform.IsLease,
		RecentlyReached: func() bool { return e.storeAge() < storeSilenceLimit },
		EvacuateBound:   e.settings.Evacuate(),
		Domains:         slices.Sorted(maps.Keys(e.settings.Regions)),
	}
	e.mirror.Register()
	e.evac = &evac.Guard{
		Mirror:           e.mirror,
		Clock:            e.clock,
		EndTransactions:  e.endClosedTransactions,
		CloseConnections: e.closeConnections,
		Log:              e.log.WithName("evac"),
		Metrics:          e.metrics,
	}
	e.metrics.NewGauge("coltsfootloft_store_era", func() float64 { return float64(client.Era()) })
	e.lease = &lease.Lease{
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

// holdsQuotaDuty reports whether this host holds the duty of the first quota shard, to
// which the other hosts report.
func (e *Edge) holdsQuotaDuty() bool {
	_, ok := e.quota.First().Duty.Holds()
	return ok
}

func (e *Edge) resolve(host string) (string, bool) {
	p, ok := e.mirror.View().Hosts[host]
	return p.Address, ok
}

func (e *Edge) buildDatabases(opener *platform.Dialer) {
	e.cold = &warmup.Limiter{
		Mirror:  e.mirror,
		Clock:   e.clock,
		Overage: e.settings.ColdOverage,
		Slack:   e.settings.ColdSlack,

		InContact: func() bool { return e.storeAge() < storeSilenceLimit },
		Metrics:   e.metrics,
	}
	e.cold.Expose()
	owners := &relay.Owners{
		Self:   e.settings.Name,
		Mirror: e.mirror,
	}
	e.pools = &dbpool.Pools{
		Opener:        opener,
		RefusalReason: refusalReason,
		Clock:         e.clock,
		Limit:         owners.Limit,
		Outstanding:   owners.Outstanding,
		Charge:        e.cold.Admit,
		Lost:          e.cold.Lost,
		FirstOpened:   e.cold.FirstOpened,
		Log:           e.log.WithName("lanes"),
		Metrics:       e.metrics,
		Memory:        e.messages,
		StateMemory:   e.values,
		IsClosed:      e.evac.IsClosed,
	}
	e.groups = &groups.Groups{
		Mirror:  e.mirror,
		Lease:   e.lease,
		Pools:   e.pools,
		Answers: &accept.Answers{},
		Clock:   e.clock,
		Domain:  e.settings.Domain,
		Drain:   e.settings.Drain(),

		Metrics: e.metrics,
		Regions: e.settings.Regions,
		Cold:    e.cold,
	}
	e.relay = &relay.Relay{
		Self:           e.settings.Name,
		Peers:          e.peers,
		Owners:         owners,
		Pools:          e.pools,
		Groups:         e.groups,
		Cold:           e.cold,
		Clock:          e.clock,
		HoldTimeout:    e.holdTimeout,
		Log:            e.log.WithName("relay"),
		Memory:         e.messages,
		CheckStatement: platform.CheckStatement,
		CheckCommand:   platform.CheckCommand,
	}
	if platform.RulesPressure(e.settings.Policies) {
		e.followLoads(owners)
	}
	e.relay.Register()
}

// followLoads makes the host measure the loads of databases, and decide by them.
func (e *Edge) followLoads(owners *relay.Owners) {
	e.pools.EstimateWaits = true
	e.pools.SlotShare = owners.SlotShare
	e.groups.Expect = e.relay.Expect
	e.metrics.GetOrCreateHistogram(dbpool.ExpectedWaitMetric)
	for _, name := range []string{dbpool.RefusedTurnsMetric, entry.UselessWaitsMetric, groups.SpilledMetric} {
		e.metrics.GetOrCreateCounter(name)
	}
}

func refusalReason(err error) (coltsfootloft.Reason, bool) {
	var r *platform.RefusedError
	if errors.As(err, &r) {
		return r.Reason(), true
	}
	return coltsfootloft.ReasonNone, false
}

// holdTimeout returns how long a connection held for another host's transaction may be
// idle.
func (e *Edge) holdTimeout() time.Duration {
	if c := e.mirror.View().Settings; c != nil {
		return c.IdleTransaction + holdMargin
	}
	return holdMargin
}

func (e *Edge) buildDuties(client *platform.Client, opener *platform.Dialer) {
	failoverDuty := e.duty("steward", client)
	e.quota = &quota.Shards{Mirror: e.mirror}
	for i := range maxQuotaShards {
		e.quota.Limiters = append(e.quota.Limiters, e.buildQuotaShard(i, client))
	}
	e.cold.Quota = e.quota.First()
	e.quota.First().Internal = e.cold.Account
	e.failover = &failov.Controller{
		Self:     e.settings.Name,
		Peers:    e.peers,
		Duty:     failoverDuty,
		Lease:    e.lease,
		Store:    client,
		Mirror:   e.mirror,
		Answers:  e.groups.Answers,
		Promoter: client,
		Prober: &probe.Prober{
			Opener:        opener,
			Dial:          opener.Dial,
			RefusalReason: refusalReason,
			Parse:         platform.ParseHealth,
			IsClosed:      e.evac.IsClosed,
			Admit:         e.cold.AdmitStatus,
			Log:           e.log.WithName("steward"),
			Metrics:       e.metrics,
		},
		IsCold:  e.cold.IsCold,
		Clock:   e.clock,
		Log:     e.log.WithName("steward"),
		Metrics: e.metrics,
	}
	e.failover.Register()
}

// endClosedTransactions ends the transactions at databases to which nothing may be sent.
func (e *Edge) endClosedTransactions() {
	sessions := e.server.AbortClosed(e.evac.IsClosed)
	if others := e.relay.EndClosed(); sessions+others > 0 {
		e.log.Info("transactions ended by an evacuation", "sessions", sessions, "other_hosts", others)
	}
}

// closeConnections closes the connections to databases to which nothing may be sent, and returns
// how many are in use.
func (e *Edge) closeConnections() (inUse int) {
	e.failover.Prober.CloseClosed()
	return e.pools.CloseClosed()
}

// buildQuotaShard creates this host's part of one shard of the client accounts.
func (e *Edge) buildQuotaShard(i int, client *platform.Client) *quota.Limiter {
	q := &quota.Limiter{
		Peers:    e.peers,
		Duty:     e.duty("quota-"+strconv.Itoa(i), client),
		Mirror:   e.mirror,
		Clock:    e.clock,
		Log:      e.log.WithName("quota"),
		StoreAge: e.storeAge,
		Metrics:  e.metrics,

		ReportsAlways: i == 0, // settings are confirmed, and the store's outages judged, by its answers
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
		Lease:  e.lease,
		Clock:  e.clock,
		Log:    e.log.WithName("duty"),
	}
}

// storeAge returns how long ago the store last answered a lease renewal.
func (e *Edge) storeAge() time.Duration { return e.lease.StoreAge() }
