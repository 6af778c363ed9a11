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
	"coltsfootloft/core/events"
	"coltsfootloft/io/admin"
	"coltsfootloft/io/bound"
	"coltsfootloft/io/elect"
	"coltsfootloft/io/feed"
	"coltsfootloft/io/front"
	"coltsfootloft/io/member"
	"coltsfootloft/io/peer"
	"coltsfootloft/io/port"
	"coltsfootloft/io/share"
	"coltsfootloft/io/trace"
	"coltsfootloft/io/watch"
)

// Host is one entry host. [Build] returns one; its fields must not change after Run
// is called.
type Host struct {
	// Settings are the settings of this process; those of the fleet come from Feed.
	Settings *conf.Host
	// Clock is the time source.
	Clock clockwork.Clock
	// Log receives log events.
	Log logr.Logger
	// Links carry requests between hosts.
	Links *peer.Links
	// Members is the view of the other hosts.
	Members *member.View
	// Feed delivers the fleet's settings.
	Feed *feed.Feed
	// Journal stores recent decisions, for the explain command.
	Journal *events.Journal
	// Watch observes the databases.
	Watch *watch.Watcher
	// Elect elects a primary for every database group.
	Elect *elect.Elector
	// Limiter holds this host's part of the rate and connection limits.
	Limiter *share.Limiter
	// Admin serves the admin port. Run sets it.
	Admin *admin.Server
	// Front accepts callers.
	Front *front.Server
	// Tracer exports the spans of traced requests.
	Tracer *trace.Tracer

	current      *currentSettings
	pools        *pools
	ready        chan struct{}
	shutdown     chan struct{}
	shutdownOnce sync.Once

	draining atomic.Bool
	address  net.Addr

	applying sync.Mutex
}

const (
	// seatsTimeout bounds how long a starting host waits for its seats, and with them
	// for its part of the limits.
	seatsTimeout = 3 * time.Second
	// seatsPollInterval is the pause between two checks for the seats.
	seatsPollInterval = 10 * time.Millisecond
	// flushTimeout bounds the export of the remaining spans at shutdown.
	flushTimeout = 2 * time.Second
)

// task is a background goroutine of the host.
type task struct {
	name string
	run  func(ctx context.Context) error
}

// Run serves callers until ctx ends or Shutdown is called, and then until every
// transaction has ended or the drain wait of the settings has passed. It returns an
// error if the host can't start, or if it could not be drained in time.
func (h *Host) Run(ctx context.Context) error {
	if err := h.bind(ctx); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	if err := h.Tracer.Open(ctx); err != nil {
		return err
	}
	defer h.closeTracer()
	linksCtx, stopLinks := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLinks()
	tasksCtx, stopTasks := context.WithCancel(linksCtx)
	defer stopTasks()
	var links, tasks sync.WaitGroup
	links.Go(func() {
		h.runTask(linksCtx, task{
			name: "links",
			run:  h.Links.Run,
		})
	})
	for _, t := range h.tasks() {
		tasks.Go(func() { h.runTask(tasksCtx, t) })
	}
	h.awaitSettings(ctx)
	h.awaitSeats(ctx)
	frontDone := make(chan error, 1)
	go func() { frontDone <- h.Front.Run(tasksCtx) }()
	close(h.ready)
	h.Log.Info("serving", "host", h.Settings.Name(), "domain", h.Settings.Domain(), "callers", h.address.String())
	select {
	case <-ctx.Done():
	case <-h.shutdown:
	}
	err := h.drain()
	h.pools.close()
	stopTasks()
	tasks.Wait()
	stopLinks()
	links.Wait()
	return errors.Wrap(firstError(err, <-frontDone), "draining")
}

func (h *Host) tasks() []task {
	return []task{
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
			run:  h.Limiter.Run,
		},
	}
}

func (h *Host) runTask(ctx context.Context, t task) {
	if err := t.run(ctx); err != nil && ctx.Err() == nil {
		h.Log.Error(err, "background task failed", "duty", t.name)
	}
}

// bind listens on all addresses of the host. The host connects to others only after that:
// an outgoing connection from the same IP could take one of the ports.
func (h *Host) bind(ctx context.Context) error {
	if err := h.startAdmin(ctx); err != nil {
		return err
	}
	if err := h.Links.Bind(ctx); err != nil {
		return err
	}
	return h.startFront(ctx)
}

func (h *Host) startFront(ctx context.Context) error {
	h.Limiter.OnReclaim(h.pools.reclaim)
	h.Limiter.OnRevoke(h.pools.revoke)
	h.Limiter.OnShed(h.pools.shed)
	h.Watch.Register()
	h.Elect.Register()
	a, err := h.Front.Start(ctx)
	h.address = a
	return errors.Wrap(err, "starting")
}

// startAdmin listens on the admin port. The task "admin" serves it.
func (h *Host) startAdmin(ctx context.Context) error {
	l, err := port.TCP(ctx, &net.ListenConfig{Control: port.Buffers(bound.ReceiveBuffer, bound.SendBuffer)}, h.Log.WithName("admin"), h.Settings.Admin())
	if err != nil {
		return errors.Wrap(err, "admin port")
	}
	h.Admin = &admin.Server{
		Listener:      l,
		Ready:         h.readiness,
		Status:        h.status,
		Journal:       h.Journal,
		Drain:         h.Shutdown,
		DrainUpstream: h.announce,
		Log:           h.Log.WithName("admin"),
	}
	return nil
}

// closeTracer exports the remaining spans.
func (h *Host) closeTracer() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if err := h.Tracer.Close(ctx); err != nil {
		h.Log.Error(err, "exporting the remaining spans")
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

// Ready returns a channel that is closed once the host serves callers.
func (h *Host) Ready() <-chan struct{} { return h.ready }

// Address returns the address that callers connect to. It is set once Ready is
// closed.
func (h *Host) Address() net.Addr { return h.address }

// awaitSettings blocks until the first settings revision is in force or ctx ends.
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

// awaitSeats blocks until this host holds a seat, and with it a part of the limits,
// so that the first callers are not refused. It gives up after seatsTimeout, so that
// the host also starts while the store is down.
func (h *Host) awaitSeats(ctx context.Context) {
	deadline := h.Clock.Now().Add(seatsTimeout)
	for ctx.Err() == nil && h.Clock.Now().Before(deadline) {
		if numbers, _ := h.Limiter.Seats(); len(numbers) > 0 {
			return
		}
		h.Clock.Sleep(seatsPollInterval)
	}
}

// followSettings brings each new settings revision into force until ctx ends.
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

// apply passes the newest settings revision to every task. It does nothing if that
// revision is already in force.
func (h *Host) apply() {
	h.applying.Lock()
	defer h.applying.Unlock()
	revision, entries := h.Feed.Snapshot()
	if revision == 0 || revision == h.current.Fleet().Revision() {
		return
	}
	f, problems := h.current.apply(revision, entries, h.Clock.Now())
	for _, p := range problems {
		h.Log.Info("setting not in force", "problem", p.String())
		h.Journal.Record(events.NewEvent(events.Configured, "not in force: "+p.String()))
	}
	h.Watch.Configure(f.Groups())
	h.Elect.Configure(f.Groups())
	h.Limiter.Configure(shareLimits(f))
	h.pools.configure(f)
	h.Front.Refresh(f)
	h.Log.Info("settings in force", "revision", revision)
	h.Journal.Record(events.NewEvent(events.Configured, "revision "+strconv.FormatUint(revision, 10)+" in force"))
}

// shareLimits returns the part of the settings that the limiter needs.
func shareLimits(f *conf.Fleet) share.Limits {
	p := share.Limits{
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

// Shutdown starts a graceful shutdown, as the end of Run's ctx does, and returns at
// once. It may be called more than once.
func (h *Host) Shutdown() { h.shutdownOnce.Do(func() { close(h.shutdown) }) }

// announce reports to the other hosts that an upstream is leaving. It returns false
// if the settings have no upstream of that name.
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

// drain stops accepting callers and waits until their sessions have ended. After the
// drain wait of the settings it closes the remaining sessions.
func (h *Host) drain() error {
	h.draining.Store(true)
	h.Members.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), h.current.Fleet().Defaults().DrainWait())
	defer cancel()
	h.Log.Info("draining", "sessions", h.Front.Sessions())
	return h.Front.Drain(ctx)
}
