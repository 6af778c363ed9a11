package host

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/core/events"
	"coltsfootloft/core/memory"
	"coltsfootloft/io/caller"
	"coltsfootloft/io/dbops"
	"coltsfootloft/io/dial"
	"coltsfootloft/io/elect"
	"coltsfootloft/io/feed"
	"coltsfootloft/io/front"
	"coltsfootloft/io/member"
	"coltsfootloft/io/peer"
	"coltsfootloft/io/pool"
	"coltsfootloft/io/share"
	"coltsfootloft/io/store"
	"coltsfootloft/io/trace"
	"coltsfootloft/io/watch"
)

// seatsPrefix is the prefix of the seats' keys in the store.
const seatsPrefix = "coltsfootloft/seats/"

func provideStore(settings *conf.Host) (*store.Consul, error) {
	return &store.Consul{
		Addresses: []string{settings.Store()},
		Dial:      dial.From(settings.Peer(), connectTimeout),
	}, nil
}

func provideSelf(settings *conf.Host) coltsfootloft.HostRecord {
	return coltsfootloft.NewHost(settings.Name(), settings.Domain(), settings.Peer())
}

func provideCurrentSettings() *currentSettings { return &currentSettings{} }

// peerResolver looks up the peer addresses of hosts. Its view needs the links, which
// need the resolver, so provideMembers sets the view later.
type peerResolver struct{ view *member.View }

func (r *peerResolver) resolve(host string) (address string, ok bool) { return r.view.Resolve(host) }

// hosts returns the number of live hosts.
func (r *peerResolver) hosts() int { return len(r.view.Alive()) }

func providePeerResolver() *peerResolver { return &peerResolver{} }

func provideLinks(settings *conf.Host, certs certificates, resolver *peerResolver, clock clockwork.Clock, log logr.Logger) *peer.Links {
	return &peer.Links{
		Self:       settings.Name(),
		MaxHeld:    linkMemory(settings.MemoryLimit()),
		MaxAnswers: linkMemory(settings.MemoryLimit()),
		Hosts:      resolver.hosts,
		Listen:     settings.PeerListen(),
		Resolve:    resolver.resolve,
		Dial:       dial.From(settings.Peer(), 0),
		TLS:        certs.peerTLS(),
		Clock:      clock,
		Log:        log.WithName("peer"),
		Metrics:    metrics.GetDefaultSet(),
	}
}

const (
	// linkMemoryPart is the part of memory_limit that requests of other hosts may take, and again that
	// answers to this host's own may take; at least minLinkMemory bytes each, for two of the largest.
	linkMemoryPart = 16
	minLinkMemory  = 2 * peer.DefaultMaxFrame
)

// linkMemory returns how many bytes of requests, and of answers, the links may hold.
func linkMemory(limit int64) int {
	if limit == 0 {
		return 0 // the default of the links
	}
	return max(int(limit/linkMemoryPart), minLinkMemory)
}

func provideMembers(settings *conf.Host, self coltsfootloft.HostRecord, resolver *peerResolver, l *peer.Links, s *store.Consul, c *currentSettings, clock clockwork.Clock, log logr.Logger) *member.View {
	resolver.view = &member.View{
		Host:      self,
		Peers:     l,
		Store:     s,
		Bootstrap: settings.Peers(),
		Clock:     clock,
		Log:       log.WithName("member"),
		Metrics:   metrics.GetDefaultSet(),
		Revision:  func() uint64 { return c.Fleet().Revision() },
	}
	return resolver.view
}

func provideFeed(l *peer.Links, m *member.View, s *store.Consul, clock clockwork.Clock, log logr.Logger) *feed.Feed {
	f := &feed.Feed{
		Store:   s,
		Peers:   l,
		Members: m,
		Clock:   clock,
		Log:     log.WithName("feed"),
		Metrics: metrics.GetDefaultSet(),
		Prefix:  conf.StorePrefix,
		HeadKey: conf.StorePrefix + conf.HeadPath,
	}
	m.OnRevision = f.ObserveRevision
	return f
}

func provideWatch(clock clockwork.Clock, log logr.Logger, self coltsfootloft.HostRecord, l *peer.Links, m *member.View, open opener) *watch.Watcher {
	return &watch.Watcher{
		Clock:   clock,
		Log:     log.WithName("watch"),
		Self:    self,
		Peers:   l,
		Members: m,
		Open:    open,
	}
}

// connectTimeout bounds the time to connect to the platform's store.
const connectTimeout = 2 * time.Second

// opener returns the platform's control interface to a database. It opens no
// connection yet.
type opener func(u coltsfootloft.Upstream) coltsfootloft.Database

func provideOpener(settings *conf.Host, certs certificates) opener {
	from := dial.From(settings.Peer(), 0)
	return func(u coltsfootloft.Upstream) coltsfootloft.Database {
		return &dbops.Database{
			Address: u.Address(),
			TLS:     certs.upstreamTLS(u.Address()),
			Dial:    from,
		}
	}
}

func provideElect(clock clockwork.Clock, log logr.Logger, self coltsfootloft.HostRecord, run runName, l *peer.Links, m *member.View, w *watch.Watcher, j *events.Journal, open opener) *elect.Elector {
	return &elect.Elector{
		Clock:       clock,
		Log:         log.WithName("elect"),
		Self:        self,
		Incarnation: string(run),
		Peers:       l,
		Members:     m,
		Source:      w,
		Open:        open,
		Journal:     recordElection(j),
	}
}

// recordElection returns a function that writes events of the elections to the
// journal.
func recordElection(j *events.Journal) func(event string, keyvals ...any) {
	return func(event string, keyvals ...any) {
		reason := event
		for i := 0; i+1 < len(keyvals); i += 2 {
			reason += fmt.Sprintf(" %v=%v", keyvals[i], keyvals[i+1])
		}
		j.Record(events.NewEvent(events.Promoted, reason))
	}
}

func provideJournal(clock clockwork.Clock) *events.Journal { return &events.Journal{Clock: clock} }

// runName identifies this run of the process: random, so that a restarted host is
// not taken for its earlier run.
type runName string

func provideRun() (runName, error) {
	b := make([]byte, 6)
	_, err := rand.Read(b)
	return runName(hex.EncodeToString(b)), errors.Wrap(err, "random name")
}

func provideLimiter(run runName, l *peer.Links, m *member.View, s *store.Consul, clock clockwork.Clock, log logr.Logger) *share.Limiter {
	limiter := &share.Limiter{
		Clock:   clock,
		Log:     log.WithName("share"),
		Store:   s,
		Peers:   l,
		Members: m,
		RunName: string(run),
		Prefix:  seatsPrefix,
	}
	if naive {
		limiter.Peers = noLoans{Peers: l}
		limiter.MaxOwners = unlimitedOwners
	}
	return limiter
}

func provideLogin(settings *conf.Host) (pool.Login, error) {
	l := pool.Login{
		User: settings.UpstreamUser(),
		Dial: dial.From(settings.Peer(), 0),
	}
	if settings.UpstreamPasswordFile() == "" {
		return l, nil
	}
	b, err := os.ReadFile(settings.UpstreamPasswordFile())
	l.Password = strings.TrimSpace(string(b))
	return l, errors.Wrap(err, "upstream password")
}

func providePools(c *currentSettings, login pool.Login, certs certificates, limiter *share.Limiter, clock clockwork.Clock, log logr.Logger) *pools {
	return &pools{
		login:  login,
		certs:  certs,
		shares: limiter,
		weight: func(account string) int { return c.Fleet().Weight(account) },
		clock:  clock,
		log:    log.WithName("pool"),
	}
}

func provideRetryBudgets(c *currentSettings, clock clockwork.Clock) *retryBudgets {
	return &retryBudgets{
		clock: clock,
		share: func() float64 { return c.Fleet().Defaults().RetryBudget() },
	}
}

func provideTracer(settings *conf.Host, log logr.Logger) *trace.Tracer {
	return &trace.Tracer{
		Target:   settings.Trace(),
		Fraction: settings.TraceFraction(),
		Host:     settings.Name(),
		Version:  Version,
		Log:      log.WithName("trace"),
	}
}

func provideEnv(settings *conf.Host, t *trace.Tracer, c *currentSettings, w *watch.Watcher, m *member.View, l *share.Limiter, p *pools, r *retryBudgets, j *events.Journal, clock clockwork.Clock, log logr.Logger) *caller.Env {
	messages, values := callerBudgets(settings.MessageMemory())
	return &caller.Env{
		Messages:    messages,
		Values:      values,
		Domain:      settings.Domain(),
		PrimaryOnly: naive,
		Groups:      w,
		Members:     m,
		Shares:      l,
		Fleet:       c.Fleet,
		Pool:        p.get,
		RetryBudget: r,
		Trace:       t,
		Journal:     j,
		Clock:       clock,
		Log:         log.WithName("caller"),
	}
}

// valuePart is the part of message_memory that prepared statements and settings may take. They are held as
// long as their sessions, and could otherwise take the room of all messages for good.
const valuePart = 5

// callerBudgets returns the budgets for what callers make the process hold, or nil for no limit.
func callerBudgets(total int64) (messages, values coltsfootloft.Memory) {
	if total == 0 {
		return nil, nil
	}
	b, v := memory.New(total-total/valuePart), memory.New(total/valuePart)
	for what, b := range map[string]*memory.Budget{
		"messages": b,
		"values":   v,
	} {
		label := `{what="` + what + `"}`
		metrics.GetOrCreateGauge("coltsfootloft_memory_used_bytes"+label, func() float64 { return float64(b.Used()) })
		metrics.GetOrCreateGauge("coltsfootloft_memory_limit_bytes"+label, func() float64 { return float64(b.Limit()) })
		metrics.GetOrCreateGauge("coltsfootloft_memory_refusals_total"+label, func() float64 { return float64(b.Refused()) })
	}
	return b, v
}

func provideFront(settings *conf.Host, certs certificates, env *caller.Env, l *peer.Links, clock clockwork.Clock, log logr.Logger) *front.Server {
	return &front.Server{
		Name:        settings.Name(),
		Listen:      settings.Listen(),
		Env:         env,
		TLS:         certs.callerTLS(),
		RequireTLS:  settings.RequireTLS(),
		Peers:       l,
		MaxSessions: settings.MaxSessions(),
		Clock:       clock,
		Log:         log.WithName("front"),
	}
}

func provideHost(settings *conf.Host, clock clockwork.Clock, log logr.Logger, links *peer.Links, m *member.View, source *feed.Feed, j *events.Journal, w *watch.Watcher, e *elect.Elector, l *share.Limiter, f *front.Server, t *trace.Tracer, c *currentSettings, p *pools) *Host {
	return &Host{
		Settings: settings,
		Clock:    clock,
		Log:      log,
		Links:    links,
		Members:  m,
		Feed:     source,
		Journal:  j,
		Watch:    w,
		Elect:    e,
		Limiter:  l,
		Front:    f,
		Tracer:   t,
		current:  c,
		pools:    p,
		ready:    make(chan struct{}),
		shutdown: make(chan struct{}),
	}
}
