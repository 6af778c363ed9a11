// Package port opens the ports of a process.
//
// An address can be taken for a while when a process starts: by the process that it
// replaces, by an outgoing connection, or because the machine does not have the address
// yet. And a listener can be out of file descriptors or memory for a while. Neither ends
// the process: opening and accepting are tried again until they succeed.
package port

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
)

const (
	// minRetryDelay is the pause after the first failure. It doubles up to the maximum.
	minRetryDelay = 10 * time.Millisecond
	maxOpenDelay  = 500 * time.Millisecond
	maxAcceptWait = 200 * time.Millisecond
	// logInterval is the time between two log lines about the same lasting failure.
	logInterval = 5 * time.Second
)

// passing are the errors of the system that can end without a change of the settings.
var passing = []syscall.Errno{
	syscall.EADDRINUSE,
	syscall.EADDRNOTAVAIL,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOBUFS,
	syscall.ENOMEM,
}

// TCP listens on address, IP:port, with the options of c; nil means none. While the address
// is taken or does not exist yet, it tries again until ctx ends, and logs the first failure
// and one every few seconds. It returns an error for other failures, and when ctx ends.
//
// Accept of the returned listener fails only once the listener is closed.
func TCP(ctx context.Context, c *net.ListenConfig, log logr.Logger, address string) (net.Listener, error) {
	if c == nil {
		c = &net.ListenConfig{}
	}
	f := failure{log: log}
	for delay := minRetryDelay; ; delay = min(2*delay, maxOpenDelay) {
		l, err := c.Listen(ctx, "tcp", address)
		if err == nil {
			f.end("address free", address)
			return &listener{
				Listener: l,
				log:      log,
				closed:   make(chan struct{}),
			}, nil
		}
		if !canPass(err) {
			return nil, err
		}
		f.report(err, "address not free; trying again", address)
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), err.Error())
		case <-time.After(delay):
		}
	}
}

func canPass(err error) bool {
	for _, e := range passing {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// listener accepts connections, and tries again after failures.
type listener struct {
	net.Listener
	log    logr.Logger
	once   sync.Once
	closed chan struct{}
}

// Accept returns the next connection. It fails only once the listener is closed.
func (l *listener) Accept() (net.Conn, error) {
	f := failure{log: l.log}
	for delay := minRetryDelay; ; delay = min(2*delay, maxAcceptWait) {
		conn, err := l.Listener.Accept()
		if err == nil {
			f.end("connections accepted again", l.Addr().String())
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		f.report(err, "connection not accepted; trying again", l.Addr().String())
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(delay):
		}
	}
}

// Close closes the listener and ends a pause of Accept.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// failure limits the log lines about a failure that lasts.
type failure struct {
	log      logr.Logger
	started  time.Time
	reported time.Time
}

func (f *failure) report(err error, event, address string) {
	now := time.Now()
	if f.started.IsZero() {
		f.started = now
	}
	if f.reported.IsZero() || now.Sub(f.reported) >= logInterval {
		f.reported = now
		f.log.Error(err, event, "address", address, "for", now.Sub(f.started).Round(time.Millisecond).String())
	}
}

func (f *failure) end(event, address string) {
	if !f.started.IsZero() {
		f.log.Info(event, "address", address, "after", time.Since(f.started).Round(time.Millisecond).String())
	}
}
