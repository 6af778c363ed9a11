package host

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/core/journ"
	"coltsfootloft/io/admin"
	"coltsfootloft/io/elect"
	"coltsfootloft/io/feed"
	"coltsfootloft/io/front"
	"coltsfootloft/io/member"
	"coltsfootloft/io/peer"
	"coltsfootloft/io/share"
	"coltsfootloft/io/trace"
	"coltsfootloft/io/watch"
)

// Host is one entry host. Build makes one; its fields are set before Run.
type Host struct {
	// Settings are the process's own.
	Settings *conf.Host
	// Clock tells the time.
	Clock clockwork.Clock
	// Log takes events.
	Log logr.Logger
	// Links carry requests between hosts.
	Links *peer.Links
	// Members knows the other hosts.
	Members *member.View
	// Feed brings the fleet's settings.
	Feed *feed.Feed
	// Journal keeps decisions for explanations.
	Journal *journ.Journal
	// Watch observes the databases.
	Watch *watch.Watcher
	// Elect keeps a primary in every group.
	Elect *elect.Elector
	// Ledger holds this host's part of the limits.
	Ledger *share.Ledger
	// Admin serves operators; Run makes it.
	Admin *admin.Server
	// Front takes callers.
	Front *front.Server
	// Tracer delivers the spans of traced requests.
	Tracer *trace.Tracer

	current *current
	pools   *pools
	ready   chan struct{}
	leave   chan struct{}
	once    sync.Once

	draining atomic.Bool
	address  net.Addr

	applying sync.Mutex
}

const (
	// seatsWait bounds how long a starting host waits for its part of the limits.
	seatsWait = 3 * time.Second
	// seatsPause is how often it looks.
	seatsPause = 10 * time.Millisecond
	// flushTimeout bounds the delivery of spans at the end.
	flushTimeout = 2 * time.Second
)

// duty is a goroutine of the host.
type duty struct {
	name string
	run  func(ctx context.Context) error
}

// Run serves callers until ctx ends, and then until every transaction is over or
// the drain wait has passed.
func (h *Host) Run(ctx context.Context) error {
	if err := h.Tracer.Open(ctx); err != nil {
		return err
	}
	defer h.closeTracer()
	if err := h.startFront(ctx); err != nil {
		return err
	}
	if err := h.startAdmin(ctx); err != nil {
		return err
	}
	linked, unlink := context.WithCancel(context.WithoutCancel(ctx))
	defer unlink()
	running, stop := context.WithCancel(linked)
	defer stop()
	var links, duties sync.WaitGroup
	links.Go(func() {
		h.perform(linked, duty{
			name: "links",
			run:  h.Links.Run,
		})
	})
	for _, d := range h.duties() {
		duties.Go(func() { h.perform(running, d) })
	}
	h.awaitSettings(ctx)
	h.awaitSeats(ctx)
	callers := make(chan error, 1)
	go func() { callers <- h.Front.Run(running) }()
	close(h.ready)
	h.Log.Info("serving", "host", h.Settings.Name(), "domain", h.Settings.Domain(), "callers", h.address.String())
	select {
	case <-ctx.Done():
	case <-h.leave:
	}
	err := h.drain()
	h.pools.close()
	stop()
	duties.Wait()
	unlink()
	links.Wait()
	return errors.Wrap(firstError(err, <-callers), "draining")
}

func (h *Host) duties() []duty {
	return []duty{
		{
			name: "admin",
			run:  h.Admin.Run,
		},
		{
			name: "members",
			run:  h.Members.Run,
		},
		{
			name: "settings",
			run:  h.Feed.Run,
		},
		{
			name: "apply",
			run:  h.followSettings,
		},
		{
			name: "watch",
			run:  h.Watch.Run,
		},
		{
			name: "elect",
			run:  h.Elect.Run,
		},
		{
			name: "retire",
			run:  h.retire,
		},
		{
			name: "share",
			run:  h.Ledger.Run,
		},
	}
}

func (h *Host) perform(ctx context.Context, d duty) {
	if err := d.run(ctx); err != nil && ctx.Err() == nil {
		h.Log.Error(err, "duty ended", "duty", d.name)
	}
}

func (h *Host) startFront(ctx context.Context) error {
	h.Ledger.OnReclaim(h.pools.reclaim)
	h.Ledger.OnRevoke(h.pools.revoke)
	h.Ledger.OnShed(h.pools.shed)
	h.Watch.Register()
	h.Elect.Register()
	a, err := h.Front.Start(ctx)
	h.address = a
	return errors.Wrap(err, "starting")
}

// startAdmin opens the admin port, which serves until ctx ends.
func (h *Host) startAdmin(ctx context.Context) error {
	var c net.ListenConfig
	l, err := c.Listen(ctx, "tcp", h.Settings.Admin())
	if err != nil {
		return errors.Wrap(err, "admin port")
	}
	h.Admin = &admin.Server{
		Listener: l,
		Ready:    h.readiness,
		Status:   h.status,
		Journal:  h.Journal,
		Drain:    h.Leave,
		Announce: h.announce,
		Log:      h.Log.WithName("admin"),
	}
	return nil
}

// closeTracer delivers the spans that are left.
func (h *Host) closeTracer() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := h.Tracer.Close(ctx); err != nil {
		h.Log.Error(err, "delivering the last spans")
	}
}

func firstError(all ...error) error {
	for _, err := range all {
		if err != nil {
			return err
		}
	}
	return nil
}

// Ready is closed once callers are served.
func (h *Host) Ready() <-chan struct{} { return h.ready }

// Address is where callers connect, once Ready.
func (h *Host) Address() net.Addr { return h.address }

// awaitSettings returns once a first revision is in force, or ctx ends.
func (h *Host) awaitSettings(ctx context.Context) {
	for {
		changed := h.Feed.Changed()
		if revision, _ := h.Feed.Snapshot(); revision > 0 {
			h.apply()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// awaitSeats returns once this host holds a part of the limits, so that the first
// callers are not refused. With the store down it takes callers without.
func (h *Host) awaitSeats(ctx context.Context) {
	deadline := h.Clock.Now().Add(seatsWait)
	for ctx.Err() == nil && h.Clock.Now().Before(deadline) {
		if numbers, _ := h.Ledger.Seats(); len(numbers) > 0 {
			return
		}
		h.Clock.Sleep(seatsPause)
	}
}

// followSettings brings each new revision into force.
func (h *Host) followSettings(ctx context.Context) error {
	for {
		changed := h.Feed.Changed()
		h.apply()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// apply brings the newest revision into force in every duty.
func (h *Host) apply() {
	h.applying.Lock()
	defer h.applying.Unlock()
	revision, entries := h.Feed.Snapshot()
	if revision == 0 || revision == h.current.Fleet().Revision() {
		return
	}
	f, problems := h.current.take(revision, entries, h.Clock.Now())
	for _, p := range problems {
		h.Log.Info("setting not in force", "problem", p.String())
		h.Journal.Note(journ.Decided(journ.Configured, "not in force: "+p.String()))
	}
	h.Watch.Configure(f.Groups())
	h.Elect.Configure(f.Groups())
	h.Ledger.Configure(plan(f))
	h.pools.configure(f)
	h.Front.Refresh(f)
	h.Log.Info("settings in force", "revision", revision)
	h.Journal.Note(journ.Decided(journ.Configured, "revision "+strconv.FormatUint(revision, 10)+" in force"))
}

func plan(f *conf.Fleet) share.Plan {
	p := share.Plan{
		Accounts: f.Accounts(),
		Groups:   f.Groups(),
		Queue: &share.Queue{
			Wait:    f.Defaults().QueueWait(),
			Waiters: f.Defaults().QueueLength(),
		},
	}
	for _, d := range f.Domains() {
		p.Domains = append(p.Domains, share.Domain{
			Name:  d.Name(),
			Seats: d.Seats(),
		})
	}
	return p
}

// Leave starts a graceful shutdown, as the end of Run's ctx does.
func (h *Host) Leave() { h.once.Do(func() { close(h.leave) }) }

// announce tells the fleet that an upstream of the settings leaves.
func (h *Host) announce(upstream string) bool {
	for _, g := range h.current.Fleet().Groups() {
		for _, u := range g.Upstreams() {
			if u.Name() == upstream {
				h.Members.Announce(coltsfootloft.NewHost(u.Name(), u.Domain(), u.Address()))
				return true
			}
		}
	}
	return false
}

func (h *Host) drain() error {
	h.draining.Store(true)
	h.Members.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), h.current.Fleet().Defaults().DrainWait())
	defer cancel()
	h.Log.Info("draining", "sessions", h.Front.Sessions())
	return h.Front.Drain(ctx)
}
