// Package lease holds the host's lease in the platform's store.
//
// The lease gives the host two rights: to use the primaries named by the group records,
// and to hold duties. The lease is counted from the moment at which the renewal was sent,
// so it ends on the host before it ends in the store. Before a primary is replaced, every
// registered host has to confirm the closing record. A host that does not answer loses
// its registration with its lease, and has stopped using the primary by then.
package lease

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
	// TTL is the duration of the lease. It bounds how long a change of primary waits for
	// a host that is cut off, and how long hosts keep using primaries while the store is
	// unavailable.
	TTL = 2 * time.Second
	// leaseMargin is how much earlier the lease ends on the host than in the store. It
	// exceeds the drift between clocks of equal rate during a lease, and the time that a
	// write takes to the next host.
	leaseMargin = 50 * time.Millisecond
	// renewPeriod leaves time for four attempts before the lease ends, or for one that
	// gets no answer and one more.
	renewPeriod = 800 * time.Millisecond
	// minRetryDelay is the delay after a failed call. It doubles up to maxRetryDelay, and
	// further in large fleets once the lease has ended: refused calls cost more than
	// renewals, and in an outage all hosts make them.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
)

// Lease acquires and renews the lease. Its exported fields are set before Run.
type Lease struct {
	// Store is the platform's store.
	Store coltsfootloft.KeyValue
	// Mirror is the host's copy of the store. The lease is valid only once Mirror shows
	// the host's own registration, and with it every record that was written before.
	Mirror *mirror.Mirror
	// Clock is monotonic and includes the time in which the host is suspended.
	Clock coltsfootloft.Clock
	// Log receives a line when the lease is acquired or lost, and for failed calls.
	Log logr.Logger
	// Host is the name of this host, Address its IP:port for links from other hosts, and
	// Domain its failure domain.
	Host, Address, Domain string
	// Size is the processing capacity of the host, in standard processors.
	Size float64

	mu      sync.Mutex
	session string
	expires time.Duration
}

// Valid reports whether the host holds its lease now.
func (t *Lease) Valid() bool { return t.Left() > 0 }

// Left returns the remaining time of the lease without further renewal; 0 if the host has
// none.
func (t *Lease) Left() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.session == "" {
		return 0
	}
	return max(t.expires-t.Clock.Elapsed(), 0)
}

// ID returns the store's id of the lease; empty if the host has none.
func (t *Lease) ID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.session
}

// Run acquires and renews the lease until ctx ends, and then releases it.
func (t *Lease) Run(ctx context.Context) {
	retry := minRetryDelay
	for ctx.Err() == nil {
		if err := t.register(ctx); err != nil {
			t.Log.Info("lease not gained", "reason", err.Error(), "again_in", retry.String())
			pause.For(ctx, retry)
			retry = min(2*retry, t.Mirror.MaxRetryDelay(maxRetryDelay))
			continue
		}
		retry = minRetryDelay
		t.renew(ctx)
	}
	t.release()
}

// register opens a lease and writes the host's registration under it. If the registration
// of the host's previous run still exists, it ends that first.
func (t *Lease) register(ctx context.Context) error {
	sent := t.Clock.Elapsed()
	session, err := t.Store.OpenSession(ctx, t.Host, TTL)
	if err != nil {
		return err
	}
	b, err := json.Marshal(mirror.Registration{
		Address: t.Address,
		Domain:  t.Domain,
		Lease:   session,
		Size:    t.Size,
	})
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	registration := []coltsfootloft.Change{coltsfootloft.Put(mirror.HostKey(t.Host), b, 0).WithLock(session)}
	revision, err := t.Store.Apply(ctx, registration)
	if errors.Is(err, coltsfootloft.ErrConflict) {
		if err := t.endPreviousLease(ctx); err != nil {
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
	t.expires = sent + TTL - leaseMargin
	t.Log.Info("lease gained", "lease", session, "revision", revision)
	return nil
}

// endPreviousLease ends the lease of the host's previous run, which removes all keys held
// under it, and removes the registration if it is still there.
func (t *Lease) endPreviousLease(ctx context.Context) error {
	old, err := t.Store.Read(ctx, mirror.HostKey(t.Host))
	if err != nil || old.Version() == 0 {
		return err
	}
	var p mirror.Registration
	if err := json.Unmarshal(old.Value(), &p); err != nil {
		t.Log.Info("registration of an earlier run can't be read", "reason", err.Error())
	}
	if p.Lease != "" {
		err := t.Store.CloseSession(ctx, p.Lease)
		if err != nil && !errors.Is(err, coltsfootloft.ErrNoSession) {
			return err
		}
	}
	current, err := t.Store.Read(ctx, mirror.HostKey(t.Host))
	if err != nil || current.Version() == 0 {
		return err
	}
	_, err = t.Store.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Remove(mirror.HostKey(t.Host), current.Version())})
	return err
}

// renew renews the lease until it is lost or ctx ends.
func (t *Lease) renew(ctx context.Context) {
	wait := renewPeriod
	retry := minRetryDelay
	for {
		if !pause.For(ctx, wait) {
			return
		}
		sent := t.Clock.Elapsed()
		err := t.Store.RenewSession(ctx, t.ID())
		switch {
		case err == nil:
			t.extend(sent)
			wait = renewPeriod
			retry = minRetryDelay
		case errors.Is(err, coltsfootloft.ErrNoSession):
			t.drop("the store has ended the lease")
			return
		default:
			wait = retry
			retry = min(2*retry, t.maxRenewRetryDelay())
			t.Log.Info("lease not renewed", "reason", err.Error(), "lease_left", t.Left().String(), "again_in", wait.String())
		}
	}
}

// maxRenewRetryDelay is the maximum delay between failing renewals. It is shorter while
// the lease is valid and can still be saved.
func (t *Lease) maxRenewRetryDelay() time.Duration {
	if t.Valid() {
		return maxRetryDelay
	}
	return t.Mirror.MaxRetryDelay(maxRetryDelay)
}

func (t *Lease) extend(sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expires = max(t.expires, sent+TTL-leaseMargin)
}

func (t *Lease) drop(reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.Log.Info("lease lost", "lease", t.session, "reason", reason)
	t.session = ""
}

// release ends the lease in the store, so that other hosts need not wait for it to
// expire.
func (t *Lease) release() {
	session := t.ID()
	if session == "" {
		return
	}
	t.drop("the host is leaving")
	const closeTimeout = 300 * time.Millisecond // part of the time that a host has to shut down
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := t.Store.CloseSession(ctx, session); err != nil {
		t.Log.Info("lease not released", "lease", session, "reason", err.Error())
	}
}
