package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/dial"
)

const (
	// DefaultMaxFrame is the largest body, in bytes.
	DefaultMaxFrame = 8 << 20
	// DefaultMaxCalls is the most calls in flight to one host.
	DefaultMaxCalls = 128
	// DefaultIdle is how long a link without calls stays open.
	DefaultIdle = time.Minute
)

// Links is a coltsfootloft.Peers. Its fields are set before Run.
type Links struct {
	// Self is the name of this host.
	Self string
	// Listen is IP:port; port 0 takes a free one.
	Listen string
	// Resolve returns the peer address, IP:port, of a host.
	Resolve func(host string) (address string, ok bool)
	// Dial opens connections; those of a net.Dialer if nil.
	Dial dial.Func
	// TLS makes links use mutual TLS, none if nil. With ServerName empty each
	// host's certificate must carry the host's name; with ServerName set all
	// hosts' certificates carry that one.
	TLS *tls.Config
	// Clock times idle links; the real one if nil.
	Clock clockwork.Clock
	// Log takes one line for each link opened, refused or lost.
	Log logr.Logger
	// Metrics receives the counters; a private set if nil.
	Metrics *metrics.Set
	// MaxFrame is the largest body in bytes; DefaultMaxFrame if 0.
	MaxFrame int
	// MaxCalls is the most calls in flight to one host, and the most that are
	// handled for one; DefaultMaxCalls if 0. More fail with ErrBusy.
	MaxCalls int
	// Idle is how long a link without calls stays open; DefaultIdle if 0.
	Idle time.Duration

	once     sync.Once
	handlers map[string]coltsfootloft.Handler
	counts   *counters
	bound    chan struct{}
	address  string
	ids      atomic.Uint64
	base     context.Context
	stop     context.CancelFunc

	mu     sync.Mutex
	closed bool
	links  map[string]*link
	extra  map[*link]struct{}
	dials  map[string]*attempt
	group  sync.WaitGroup
}

var _ coltsfootloft.Peers = (*Links)(nil)

// Register sets the handler of a duty. Until then calls of the duty fail with
// ErrUnknownDuty at the caller.
func (l *Links) Register(duty string, h coltsfootloft.Handler) {
	l.prepare()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handlers[duty] = h
}

func (l *Links) handler(duty string) coltsfootloft.Handler {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handlers[duty]
}

// Addr is the bound IP:port. It waits until Run has bound it.
func (l *Links) Addr() string {
	l.prepare()
	<-l.bound
	return l.address
}

// Run accepts links until ctx ends, and then closes all. It fails if the address
// can't be bound.
func (l *Links) Run(ctx context.Context) error {
	l.prepare()
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", l.Listen)
	if err != nil {
		return errors.Wrap(err, "peer links")
	}
	l.address = listener.Addr().String()
	close(l.bound)
	l.group.Add(1)
	go l.accept(ctx, listener)
	l.reap(ctx)
	listener.Close()
	l.shut()
	l.group.Wait()
	return nil
}

func (l *Links) prepare() {
	l.once.Do(func() {
		l.handlers = make(map[string]coltsfootloft.Handler)
		l.base, l.stop = context.WithCancel(context.Background())
		l.counts = newCounters(l.Metrics)
		l.bound = make(chan struct{})
		l.links = make(map[string]*link)
		l.extra = make(map[*link]struct{})
		l.dials = make(map[string]*attempt)
		if l.Clock == nil {
			l.Clock = clockwork.NewRealClock()
		}
		if l.MaxFrame == 0 {
			l.MaxFrame = DefaultMaxFrame
		}
		if l.MaxCalls == 0 {
			l.MaxCalls = DefaultMaxCalls
		}
		if l.Idle == 0 {
			l.Idle = DefaultIdle
		}
	})
}

// shut closes all links and refuses new ones.
func (l *Links) shut() {
	l.stop()
	l.mu.Lock()
	l.closed = true
	var all []*link
	for _, k := range l.links {
		all = append(all, k)
	}
	for k := range l.extra {
		all = append(all, k)
	}
	l.mu.Unlock()
	for _, k := range all {
		_ = k.session.Close()
	}
}

// reap closes idle links until ctx ends.
func (l *Links) reap(ctx context.Context) {
	t := l.Clock.NewTicker(l.Idle / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.Chan():
			l.reapOnce()
		}
	}
}

// reapOnce first tells the other side of an idle link to open no more calls, and
// closes it a round later.
func (l *Links) reapOnce() {
	now := l.Clock.Now()
	var ask, finish []*link
	l.mu.Lock()
	for h, k := range l.links {
		if k.idle(now) >= l.Idle {
			delete(l.links, h)
			l.extra[k] = struct{}{}
			ask = append(ask, k)
		}
	}
	for k := range l.extra {
		if k.parting && k.idle(now) > 0 {
			finish = append(finish, k)
		}
		if !k.parting {
			k.parting = true
			ask = append(ask, k)
		}
	}
	l.mu.Unlock()
	for _, k := range ask {
		_ = k.session.GoAway()
	}
	for _, k := range finish {
		_ = k.session.Close()
	}
}
