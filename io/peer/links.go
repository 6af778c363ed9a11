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
	"coltsfootloft/io/port"
)

const (
	// DefaultMaxFrame is the size of the largest body, in bytes.
	DefaultMaxFrame = 8 << 20
	// DefaultMaxCalls is the greatest number of calls in flight to one host.
	DefaultMaxCalls = 128
	// DefaultIdle is how long a link without calls stays open.
	DefaultIdle = time.Minute
	// DefaultMaxHeld is how many bytes of requests, and of answers, are held at a time.
	DefaultMaxHeld = 64 << 20
	// DefaultHosts is the number of other hosts that is assumed if it is not known.
	DefaultHosts = 1000
)

// Links implements [coltsfootloft.Peers]. Set the exported fields before the first
// call of a method.
type Links struct {
	// Self is the name of this host.
	Self string
	// Listen is the address for links of other hosts, IP:port; port 0 picks a free one.
	Listen string
	// Resolve returns the address for links of a host, IP:port, and false if it is
	// not known.
	Resolve func(host string) (address string, ok bool)
	// Dial opens connections; a net.Dialer is used if nil.
	Dial dial.Func
	// TLS configures mutual TLS on links; they use no TLS if nil. With an empty
	// ServerName each host's certificate must contain the host's name; otherwise
	// all certificates must contain ServerName.
	TLS *tls.Config
	// Clock times idle links; the real clock if nil.
	Clock clockwork.Clock
	// Log receives one line for each link opened, refused or lost.
	Log logr.Logger
	// Metrics is the set to which counters are added; a private set if nil.
	Metrics *metrics.Set
	// MaxFrame is the size of the largest body, in bytes; DefaultMaxFrame if 0.
	MaxFrame int
	// MaxCalls is the greatest number of calls in flight on a link in each
	// direction; DefaultMaxCalls if 0. Further calls fail with ErrBusy.
	MaxCalls int
	// IdleTimeout is how long a link without calls stays open; DefaultIdle if 0.
	IdleTimeout time.Duration
	// MaxHeld is how many bytes of requests this host holds at a time over all links, with
	// their answers, and how many of answers to its own calls; DefaultMaxHeld if 0. Requests
	// beyond that fail with ErrBusy at their sender.
	MaxHeld int
	// MaxAnswers is how many bytes of large answers to other hosts this host holds at a time, besides
	// one; 0 for no limit. Requests whose answer finds no room fail at their sender.
	MaxAnswers int
	// Hosts returns the number of other hosts, which bounds the number of links;
	// DefaultHosts is assumed if nil.
	Hosts func() int

	once     sync.Once
	handlers map[string]coltsfootloft.Handler
	counts   *counters
	bound    chan struct{}
	listener net.Listener
	ids      atomic.Uint64
	requests room // requests of other hosts, and the answers to them
	answers  room // answers of other hosts
	unread   room // large answers to other hosts
	streams  atomic.Int64
	serving  atomic.Int64
	base     context.Context
	stop     context.CancelFunc

	mu     sync.Mutex
	closed bool
	links  map[string]*link
	// retired holds links that finish their calls and get no new ones.
	retired map[*link]struct{}
	dials   map[string]*attempt
	// pending are the accepted connections that are not links yet, the oldest first.
	pending []net.Conn
	group   sync.WaitGroup
}

var _ coltsfootloft.Peers = (*Links)(nil)

// Register sets the handler of a duty. Before that, calls of the duty fail with
// ErrUnknownDuty.
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

// Addr returns the address, IP:port, on which Run listens. It blocks until Bind or Run
// listens.
func (l *Links) Addr() string {
	l.prepare()
	<-l.bound
	return l.listener.Addr().String()
}

// Bind listens on the address, and waits until ctx ends while the address is taken. Run
// does so itself if Bind was not called before.
func (l *Links) Bind(ctx context.Context) error {
	l.prepare()
	listener, err := port.TCP(ctx, nil, l.Log, l.Listen)
	if err != nil {
		return errors.Wrap(err, "peer links")
	}
	l.listener = listener
	close(l.bound)
	return nil
}

// Run accepts links until ctx ends, and then closes all links. It fails if it can't
// listen on the address.
func (l *Links) Run(ctx context.Context) error {
	l.prepare()
	if l.listener == nil {
		if err := l.Bind(ctx); err != nil {
			return err
		}
	}
	l.group.Add(1)
	go l.accept(ctx, l.listener)
	l.reap(ctx)
	l.listener.Close()
	l.closeAll()
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
		l.retired = make(map[*link]struct{})
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
		if l.IdleTimeout == 0 {
			l.IdleTimeout = DefaultIdle
		}
		if l.MaxHeld == 0 {
			l.MaxHeld = DefaultMaxHeld
		}
		l.requests.limit = int64(l.MaxHeld)
		l.answers.limit = int64(l.MaxHeld)
		l.unread.limit = int64(l.MaxAnswers)
	})
}

// closeAll closes all links and prevents new ones.
func (l *Links) closeAll() {
	l.stop()
	l.mu.Lock()
	l.closed = true
	var all []*link
	for _, k := range l.links {
		all = append(all, k)
	}
	for k := range l.retired {
		all = append(all, k)
	}
	l.mu.Unlock()
	for _, k := range all {
		_ = k.session.Close()
	}
}

// reap closes idle links until ctx ends.
func (l *Links) reap(ctx context.Context) {
	t := l.Clock.NewTicker(l.IdleTimeout / 4)
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

// reapOnce asks the other side of each idle link to open no more calls, and closes
// links that were asked so in an earlier pass and have no call in flight.
func (l *Links) reapOnce() {
	now := l.Clock.Now()
	var goAway, expired []*link
	l.mu.Lock()
	for h, k := range l.links {
		if k.idle(now) >= l.IdleTimeout {
			delete(l.links, h)
			l.retired[k] = struct{}{}
			goAway = append(goAway, k)
		}
	}
	for k := range l.retired {
		if k.goingAway && k.idle(now) > 0 {
			expired = append(expired, k)
		}
		if !k.goingAway {
			k.goingAway = true
			goAway = append(goAway, k)
		}
	}
	l.mu.Unlock()
	for _, k := range goAway {
		k.calls.Add(1)
		l.group.Add(1)
		go l.giveUp(k)
	}
	for _, k := range expired {
		_ = k.session.Close()
	}
}
