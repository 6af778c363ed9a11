package share

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"coltsfootloft"
)

func solePlan(rate, burst float64, connections int) Limits {
	return Limits{
		Accounts: []coltsfootloft.Account{coltsfootloft.NewAccount("team/a", rate, burst)},
		Groups: []coltsfootloft.Group{
			coltsfootloft.NewGroup("g", connections, coltsfootloft.NewUpstream("g1", "d1", "127.0.0.1:1")),
		},
	}
}

func TestSoleHostOwnsTheWhole(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := &Limiter{Clock: clock}
	l.Configure(solePlan(10, 5, 2))
	ctx := context.Background()
	for range 5 {
		assert.NilError(t, l.Admit(ctx, "team/a", 1))
	}
	done := make(chan error)
	go func() { done <- l.Admit(ctx, "team/a", 1) }()
	assert.NilError(t, clock.BlockUntilContext(ctx, 2))
	clock.Advance(100 * time.Millisecond)
	assert.NilError(t, <-done)
	go func() { done <- l.Admit(ctx, "team/a", 6) }()
	var r *coltsfootloft.RefusalError
	assert.Assert(t, errors.As(<-done, &r))
	assert.Equal(t, r.Code(), coltsfootloft.CodeRate)
	assert.Equal(t, r.Outcome(), coltsfootloft.NotRun)
}

func TestConnectWaitsForRelease(t *testing.T) {
	l := &Limiter{Clock: clockwork.NewRealClock()}
	l.Configure(solePlan(10, 5, 1))
	release, err := l.AcquireConnection(context.Background(), "g1")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err = l.AcquireConnection(ctx, "g1")
	assert.ErrorContains(t, err, "none came free")
	release()
	release()
	_, err = l.AcquireConnection(context.Background(), "g1")
	assert.NilError(t, err)
}

// TestRefusalBesideAChangeOfSettings guards against a refusal that reads the account's settings while they
// are changed; the race detector sees it.
func TestRefusalBesideAChangeOfSettings(t *testing.T) {
	l := &Limiter{Clock: clockwork.NewRealClock()}
	l.Configure(solePlan(10, 5, 1))
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for i := range 200 {
			l.Configure(solePlan(float64(10+i%2), 5, 1))
		}
	}()
	for range 200 {
		assert.ErrorContains(t, l.Admit(t.Context(), "team/a", 6), "team/a")
	}
	<-changed
}

func BenchmarkAdmit(b *testing.B) {
	l := &Limiter{Clock: clockwork.NewRealClock()}
	l.Configure(solePlan(1e9, 1e9, 1))
	ctx := context.Background()
	b.ReportAllocs()
	for range b.N {
		_ = l.Admit(ctx, "team/a", 1)
	}
}
