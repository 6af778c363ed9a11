package peer

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// giveUp makes l give up its link to a host as idle, and returns once the other side knows.
func giveUp(t *testing.T, l *Links, host string) {
	t.Helper()
	current := func() *link {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.links[host]
	}
	k := current()
	for current() == k { // its last call may still be ending
		k.lastUsed.Store(0)
		l.reapOnce()
	}
	_, err := k.session.Ping()
	assert.NilError(t, err)
}

// TestCallAfterTheOtherSideGaveUpItsLinkIsHandled guards against a call that fails as if the other host
// were out of reach, because that one has had no call on their link for a while and is closing it.
func TestCallAfterTheOtherSideGaveUpItsLinkIsHandled(t *testing.T) {
	a, b, _ := pairOf(t)
	_, err := a.Call(t.Context(), "b", "echo", nil)
	assert.NilError(t, err)
	for range 3 {
		giveUp(t, a, "b")
		answer, err := b.Call(t.Context(), "a", "echo", []byte("x"))
		assert.NilError(t, err)
		assert.Equal(t, string(answer), "b:x")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Equal(t, len(b.links), 1)
}

// TestHostEndsThoughItsLinkWasGivenUp guards against a host that waits, as it ends, for another one to close
// a link on which a call of its own was refused.
func TestHostEndsThoughItsLinkWasGivenUp(t *testing.T) {
	f := &fleet{addresses: make(map[string]string)}
	a, b := &Links{Self: "a"}, &Links{Self: "b", Listen: "127.0.0.1:0", Resolve: f.resolve}
	f.start(t, a)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- b.Run(ctx) }()
	_, err := b.Call(t.Context(), "a", "echo", nil)
	assert.NilError(t, err)
	giveUp(t, a, "b")
	_, _ = b.Call(t.Context(), "a", "echo", nil)
	stop()
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("still waits for the other side")
	}
}
