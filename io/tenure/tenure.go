// Package tenure keeps the host's lease at the platform's store.
//
// The lease gives two rights: to use the primaries that the records name, and to
// hold duties. It counts from the moment when its renewal was sent, so that it ends
// on the host before it ends at the store. Whoever changes a record waits for the
// confirmation of every registered host; a host that is silent loses its
// registration with its lease, and by then it has stopped by itself.
package tenure

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
)

const (
	// TTL is the length of the lease. It bounds how long a change of primary
	// waits for a host that is cut off, and how long hosts go on with primaries
	// while the store is away.
	TTL = 2 * time.Second
	// margin is what the host's right ends before the lease: more than clocks of
	// equal pace differ in that time, and than a write takes to the next host.
	margin = 50 * time.Millisecond
	// renewEvery leaves time for four tries before the lease ends, or for one
	// that gets no answer and one more.
	renewEvery = 800 * time.Millisecond
	// retryPause is the wait after a failed call, doubled up to retryMost, and in
	// large fleets beyond once the lease has run out: refused calls are priced more
	// than renewals, and all hosts make them in an outage.
	retryPause = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
)

// Tenure holds the lease. Its fields are set before Run.
type Tenure struct {
	// Store is the platform's.
	Store coltsfootloft.KeyValue
	// Mirror tells when the host's own registration is seen, and with it every
	// record that was written before.
	Mirror *mirror.Mirror
	// Clock counts suspensions.
	Clock coltsfootloft.Clock
	// Log takes a line when the lease is gained or lost.
	Log logr.Logger
	// Host is this host's name, Address its IP:port for others, Domain its
	// failure domain.
	Host, Address, Domain string
	// Size is how much work the host can do, in usual processors.
	Size float64

	mu      sync.Mutex
	session string
	until   time.Duration
}

// Valid reports whether the host has its lease now.
func (t *Tenure) Valid() bool { return t.Left() > 0 }

// Left is how long the host has its lease for, if it is not renewed.
func (t *Tenure) Left() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.session == "" {
		return 0
	}
	return max(t.until-t.Clock.Elapsed(), 0)
}

// Session is the lease, empty when the host has none.
func (t *Tenure) Session() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.session
}

// Run keeps the lease until ctx ends, and then gives it back.
func (t *Tenure) Run(ctx context.Context) {
	retry := retryPause
	for ctx.Err() == nil {
		if err := t.register(ctx); err != nil {
			t.Log.Info("lease not gained", "reason", err.Error(), "again_in", retry.String())
			pause.For(ctx, retry)
			retry = min(2*retry, t.Mirror.MaxRetryDelay(retryMost))
			continue
		}
		retry = retryPause
		t.keep(ctx)
	}
	t.giveBack()
}

// register opens a lease and registers under it. A registration of the host's
// earlier run is ended first.
func (t *Tenure) register(ctx context.Context) error {
	sent := t.Clock.Elapsed()
	session, err := t.Store.OpenSession(ctx, t.Host, TTL)
	if err != nil {
		return err
	}
	b, err := json.Marshal(mirror.Presence{
		Address: t.Address,
		Domain:  t.Domain,
		Lease:   session,
		Size:    t.Size,
	})
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	registration := []coltsfootloft.Change{coltsfootloft.Put(mirror.HostKey(t.Host), b, 0).Locked(session)}
	revision, err := t.Store.Apply(ctx, registration)
	if errors.Is(err, coltsfootloft.ErrConflict) {
		if err := t.endEarlier(ctx); err != nil {
			return err
		}
		revision, err = t.Store.Apply(ctx, registration)
	}
	if err != nil {
		return err
	}
	if err := t.Mirror.Await(ctx, revision); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.session = session
	t.until = sent + TTL - margin
	t.Log.Info("lease gained", "lease", session, "revision", revision)
	return nil
}

// endEarlier ends the lease of an earlier run, and with it all that the run held.
func (t *Tenure) endEarlier(ctx context.Context) error {
	old, err := t.Store.Read(ctx, mirror.HostKey(t.Host))
	if err != nil || old.Version() == 0 {
		return err
	}
	var p mirror.Presence
	if err := json.Unmarshal(old.Value(), &p); err != nil {
		t.Log.Info("registration of an earlier run can't be read", "reason", err.Error())
	}
	if p.Lease != "" {
		err := t.Store.CloseSession(ctx, p.Lease)
		if err != nil && !errors.Is(err, coltsfootloft.ErrNoSession) {
			return err
		}
	}
	now, err := t.Store.Read(ctx, mirror.HostKey(t.Host))
	if err != nil || now.Version() == 0 {
		return err
	}
	_, err = t.Store.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Remove(mirror.HostKey(t.Host), now.Version())})
	return err
}

// keep renews the lease until it is lost or ctx ends.
func (t *Tenure) keep(ctx context.Context) {
	wait := renewEvery
	retry := retryPause
	for {
		if !pause.For(ctx, wait) {
			return
		}
		sent := t.Clock.Elapsed()
		err := t.Store.RenewSession(ctx, t.Session())
		switch {
		case err == nil:
			t.extend(sent)
			wait = renewEvery
			retry = retryPause
		case errors.Is(err, coltsfootloft.ErrNoSession):
			t.lose("the store has ended it")
			return
		default:
			wait = retry
			retry = min(2*retry, t.longest())
			t.Log.Info("lease not renewed", "reason", err.Error(), "lease_left", t.Left().String(), "again_in", wait.String())
		}
	}
}

// longest is the longest wait between renewals that fail: shorter while the lease may
// still be kept.
func (t *Tenure) longest() time.Duration {
	if t.Valid() {
		return retryMost
	}
	return t.Mirror.MaxRetryDelay(retryMost)
}

func (t *Tenure) extend(sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.until = max(t.until, sent+TTL-margin)
}

func (t *Tenure) lose(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Log.Info("lease lost", "lease", t.session, "reason", reason)
	t.session = ""
}

// giveBack ends the lease, so that others need not wait for its end.
func (t *Tenure) giveBack() {
	session := t.Session()
	if session == "" {
		return
	}
	t.lose("the host is leaving")
	const limit = 300 * time.Millisecond // of the time that a leaving host has
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := t.Store.CloseSession(ctx, session); err != nil {
		t.Log.Info("lease not given back", "lease", session, "reason", err.Error())
	}
}
