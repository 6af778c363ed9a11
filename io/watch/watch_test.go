package watch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/stand/memdb"
)

const groupName = "news"

var names = []string{"a", "b", "c"}

func settings() coltsfootloft.Group {
	var u []coltsfootloft.Upstream
	for i, n := range names {
		u = append(u, coltsfootloft.NewUpstream(n, fmt.Sprintf("d%d", i), "127.0.0.1:1"))
	}
	return coltsfootloft.NewGroup(groupName, 35, u...)
}

func startGroup(t testing.TB) *memdb.Group {
	g := memdb.New(names...)
	g.Start(coltsfootloft.NewTerm(1, "first"))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go g.Run(ctx, time.Millisecond)
	return g
}

func startWatcher(t *testing.T, g *memdb.Group, host string) *Watcher {
	w := &Watcher{
		Self: coltsfootloft.NewHost(host, "d0", "127.0.0.1:2"),
		Open: func(u coltsfootloft.Upstream) coltsfootloft.Database { return g.Open(host, u.Name()) },
	}
	w.Configure([]coltsfootloft.Group{settings()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return w
}

func TestHeldOnceAMajorityReceived(t *testing.T) {
	g := startGroup(t)
	w := startWatcher(t, g, "h1")
	p, err := g.Commit("a", "one")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	assert.NilError(t, w.AwaitMajority(ctx, groupName, p))
	b, err := w.Barrier(ctx, groupName)
	assert.NilError(t, err)
	assert.Assert(t, b.Covers(p))
}

func TestHeldIsUnknownWithoutAMajority(t *testing.T) {
	g := startGroup(t)
	w := startWatcher(t, g, "h1")
	g.Partition([]string{"a"}, []string{"b", "c"})
	p, err := g.Commit("a", "one")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	var refusal *coltsfootloft.RefusalError
	assert.Assert(t, asRefusal(w.AwaitMajority(ctx, groupName, p), &refusal))
	assert.Equal(t, refusal.Outcome(), coltsfootloft.Unknown)
}

func TestHeldEndsEarlyAfterALaterTerm(t *testing.T) {
	g := startGroup(t)
	w := startWatcher(t, g, "h1")
	g.Partition([]string{"a"}, []string{"b", "c"})
	p, err := g.Commit("a", "one")
	assert.NilError(t, err)
	later := coltsfootloft.NewTerm(2, "second")
	for _, n := range names[1:] {
		_, err = g.Fence(n, later)
		assert.NilError(t, err)
	}
	var refusal *coltsfootloft.RefusalError
	assert.Assert(t, asRefusal(w.AwaitMajority(t.Context(), groupName, p), &refusal))
	assert.Equal(t, refusal.Outcome(), coltsfootloft.Unknown)
}

func TestBarrierIsRefusedWithoutAMajority(t *testing.T) {
	g := startGroup(t)
	w := startWatcher(t, g, "h1")
	g.Partition([]string{"h1"}, []string{"b", "c"})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := w.Barrier(ctx, groupName)
	var refusal *coltsfootloft.RefusalError
	assert.Assert(t, asRefusal(err, &refusal))
	assert.Equal(t, refusal.Outcome(), coltsfootloft.NotRun)
}

func TestConfigureWhileRunning(t *testing.T) {
	g := startGroup(t)
	w := startWatcher(t, g, "h1")
	w.Configure(nil)
	assert.Assert(t, w.Readings(groupName) == nil)
	w.Configure([]coltsfootloft.Group{settings()})
	for len(w.Readings(groupName)) < len(names) {
		<-w.Changed(groupName)
	}
}

// TestAnswerAfterSilenceIsAChange guards against callers that wait too long:
// those that have avoided a silent database wait for the group to change, and
// must learn that the database answers again.
func TestAnswerAfterSilenceIsAChange(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := &Watcher{
		Clock: clock,
	}
	w.Configure([]coltsfootloft.Group{settings()})
	g := w.group(groupName)
	r := coltsfootloft.NewReading(coltsfootloft.Replica, coltsfootloft.NewTerm(1, "first"), coltsfootloft.Position{}, coltsfootloft.Position{})
	answers := func(after time.Duration) bool {
		clock.Advance(after)
		changed := w.Changed(groupName)
		g.apply("a", clock.Now(), clock.Now(), r)
		select {
		case <-changed:
			return true
		default:
			return false
		}
	}
	assert.Assert(t, answers(0))
	assert.Assert(t, !answers(300*time.Millisecond))
	assert.Assert(t, answers(2*time.Second))
}
