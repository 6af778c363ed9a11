package port

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"coltsfootloft/stand/ports"
)

// counting returns a logger that counts its lines.
func counting(n *atomic.Int64) logr.Logger {
	return funcr.New(func(string, string) { n.Add(1) }, funcr.Options{})
}

// TestTakenAddressIsAwaited guards against a process that ends because the process that it
// replaces, or an outgoing connection, still has its address.
func TestTakenAddressIsAwaited(t *testing.T) {
	list, err := ports.Choose("127.0.91.1", 1)
	assert.NilError(t, err)
	taken, err := net.Listen("tcp", list[0])
	assert.NilError(t, err)
	var lines atomic.Int64
	time.AfterFunc(300*time.Millisecond, func() { taken.Close() })
	l, err := TCP(t.Context(), nil, counting(&lines), list[0])
	assert.NilError(t, err)
	defer l.Close()
	assert.Equal(t, lines.Load(), int64(2), "want one line for the failure and one for its end")
}

// TestWaitForAddressEndsWithContext guards against a process that can't be stopped while it
// waits for its address.
func TestWaitForAddressEndsWithContext(t *testing.T) {
	list, err := ports.Choose("127.0.91.2", 1)
	assert.NilError(t, err)
	taken, err := net.Listen("tcp", list[0])
	assert.NilError(t, err)
	defer taken.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = TCP(ctx, nil, logr.Discard(), list[0])
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.ErrorContains(t, err, list[0])
}

// TestBadAddressIsRefused guards against a process that waits for an address that it can
// never get, without an exit code that says so.
func TestBadAddressIsRefused(t *testing.T) {
	_, err := TCP(t.Context(), nil, logr.Discard(), "127.0.0.1:70000")
	assert.ErrorContains(t, err, "70000")
}

// failing fails the first accepts.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) > 0 {
		err := f.errs[0]
		f.errs = f.errs[1:]
		return nil, err
	}
	return f.Listener.Accept()
}

// TestFailedAcceptIsTriedAgain guards against a server that ends on an error of accept,
// as that of net/http does for errors that are not marked as temporary.
func TestFailedAcceptIsTriedAgain(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.91.3:0")
	assert.NilError(t, err)
	l := &listener{
		Listener: &failing{
			Listener: inner,
			errs:     []error{syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, errors.New("other")},
		},
		log:    logr.Discard(),
		closed: make(chan struct{}),
	}
	go func() {
		if c, err := net.Dial("tcp", inner.Addr().String()); err == nil {
			c.Close()
		}
	}()
	c, err := l.Accept()
	assert.NilError(t, err)
	c.Close()
	time.AfterFunc(20*time.Millisecond, func() { l.Close() })
	_, err = l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}

// TestConnectionTakesPort records why a host listens before it connects: an outgoing
// connection from the IP of a listener can have its port.
func TestConnectionTakesPort(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.91.4:0")
	assert.NilError(t, err)
	defer server.Close()
	d := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 91, 5)}}
	out, err := d.DialContext(t.Context(), "tcp", server.Addr().String())
	assert.NilError(t, err)
	defer out.Close()
	_, err = net.Listen("tcp", out.LocalAddr().String())
	assert.Assert(t, err != nil && strings.Contains(err.Error(), "address already in use"), err)
}
