package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestManyRequestsOfManyHostsLoseNone guards against links that are closed, with all their calls, since
// many hosts have a usual number of requests open each.
func TestManyRequestsOfManyHostsLoseNone(t *testing.T) {
	const hosts, calls = 30, 60 // fewer than half of MaxCalls each, and more than maxServing together
	f := &fleet{addresses: make(map[string]string)}
	release := make(chan struct{})
	b := &Links{Self: "b"}
	b.Register("wait", func(context.Context, string, []byte) ([]byte, error) {
		<-release
		return nil, nil
	})
	f.start(t, b)
	var done, busy, lost atomic.Int64
	var waiting sync.WaitGroup
	for h := range hosts {
		a := &Links{Self: fmt.Sprintf("a%d", h)}
		f.start(t, a)
		for range calls {
			waiting.Go(func() {
				_, err := a.Call(t.Context(), "b", "wait", nil)
				switch {
				case err == nil:
					done.Add(1)
				case errors.Is(err, ErrBusy):
					busy.Add(1)
				default:
					lost.Add(1)
				}
			})
		}
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := busy.Load() + lost.Load(); n < hosts*calls-maxServing {
			return poll.Continue("%d answered", n)
		}
		return poll.Success()
	})
	close(release)
	waiting.Wait()
	assert.Equal(t, lost.Load(), int64(0))
	assert.Equal(t, done.Load(), int64(maxServing))
}

// TestHostsThatDialTogetherKeepTheirConnections guards against connections of hosts that are closed
// because more of them were accepted than had their Hello read.
func TestHostsThatDialTogetherKeepTheirConnections(t *testing.T) {
	const hosts = 2 * maxPending
	l := &Links{Hosts: func() int { return hosts }}
	l.prepare()
	closed := 0
	for range hosts {
		conn, other := net.Pipe()
		defer conn.Close()
		go func() { _, _ = io.Copy(io.Discard, other) }()
		l.admit(conn)
	}
	for _, c := range l.pending {
		if _, err := c.Write([]byte{0}); err != nil {
			closed++
		}
	}
	assert.Equal(t, closed+hosts-len(l.pending), 0)
}
