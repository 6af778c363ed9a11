package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"coltsfootloft/stand/relay"
)

// probed is how long a link may stay open after its last answer, with a margin.
const probed = 2*probeAfter + probeTimeout + 500*time.Millisecond

// startHeld starts two hosts and a relay on the way from a to b, and returns the count of the requests
// that b has handled. One has been.
func startHeld(t *testing.T) (a *Links, r *relay.Relay, handled *atomic.Int32) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	f := &fleet{addresses: make(map[string]string)}
	a = &Links{Self: "a"}
	b := &Links{Self: "b"}
	f.start(t, a)
	f.start(t, b)
	handled = &atomic.Int32{}
	b.Register("note", func(context.Context, string, []byte) ([]byte, error) {
		handled.Add(1)
		return nil, nil
	})
	r = &relay.Relay{Target: f.addresses["b"]}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	<-r.Ready()
	f.mu.Lock()
	f.addresses["b"] = r.Addr().String()
	f.mu.Unlock()
	_, err := a.Call(t.Context(), "b", "note", nil)
	assert.NilError(t, err)
	return a, r, handled
}

func callWithin(t *testing.T, a *Links, limit time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	_, err := a.Call(ctx, "b", "note", nil)
	return err
}

// TestCallThatTimedOutIsNotDelivered guards against a request that is handled long after its caller was told that
// it has timed out: a partition held it up, and no later call had the link probed.
func TestCallThatTimedOutIsNotDelivered(t *testing.T) {
	a, r, handled := startHeld(t)
	r.Hold(relay.ToTarget, true)
	assert.ErrorIs(t, callWithin(t, a, 50*time.Millisecond), context.DeadlineExceeded)
	time.Sleep(probed)
	r.Hold(relay.ToTarget, false)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, handled.Load(), int32(1))
}

// TestCallsThatTimeOutKeepNoLinkOpen guards against a link that is not probed while calls time out on it one after the other,
// so that all of them are handled when the partition ends.
func TestCallsThatTimeOutKeepNoLinkOpen(t *testing.T) {
	a, r, handled := startHeld(t)
	r.Hold(relay.ToTarget, true)
	var calls sync.WaitGroup
	for end := time.Now().Add(probed); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
		calls.Go(func() { _ = callWithin(t, a, 150*time.Millisecond) })
	}
	calls.Wait()
	r.Hold(relay.ToTarget, false)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, handled.Load(), int32(1))
}
