// Package lease holds the host's lease in the platform's store.
//
// The lease gives the host two rights: to use the primaries named by the group records,
// and to hold duties. The lease is counted from the moment at which the renewal was sent,
// so it ends on the host before it ends in the store. Before a primary is replaced, every
// registered host has to confirm the closing record. A host that does not answer loses
// its registration with its lease, and has stopped using the primary by then.
//
// A store that comes back from a backup may have lost the lease or the registration. The
// lease therefore ends when the host learns of a new era of the store, and the host
// registers again. So it does when its copy of the store shows that its registration was
// overwritten or removed by another writer, as a change of primary may then pass it by.
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

	mu       sync.Mutex
	session  string
	revision uint64 // of the registration
	expires  time.Duration
	calls    calls
	again    chan struct{} // wakes awaitRenewal
}

// Valid reports whether the host holds its lease now.
func (l *Lease) Valid() bool { return l.Left() > 0 }

// Left returns the remaining time of the lease without further renewal; 0 if the host has
// none.
func (l *Lease) Left() time.Duration {
	isRegistered := l.isRegistered()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == "" || !isRegistered {
		return 0
	}
	return max(l.expires-l.Clock.Elapsed(), 0)
}

// StoreAge returns how long ago the store last answered a renewal or a registration, TTL at
// most.
func (l *Lease) StoreAge() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return min(max(l.Clock.Elapsed()+TTL-l.expires, 0), TTL)
}

// ID returns the store's id of the lease; empty if the host has none.
func (l *Lease) ID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session
}

// Revision returns the store's revision of the host's registration; 0 if the host has had none.
func (l *Lease) Revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// Run acquires and renews the lease until ctx ends, and then releases it. It waits before it
// registers again soon after it has, as another writer may write again each time.
func (l *Lease) Run(ctx context.Context) {
	retry := minRetryDelay
	for ctx.Err() == nil {
		err := l.register(ctx)
		if err == nil {
			registered := l.Clock.Elapsed()
			l.renew(ctx)
			if l.Clock.Elapsed()-registered > TTL {
				retry = minRetryDelay
				continue
			}
		} else {
			l.Log.Info("lease not gained", "reason", err.Error(), "again_in", retry.String())
		}
		pause.For(ctx, retry)
		retry = min(2*retry, l.Mirror.MaxRetryDelay(maxRetryDelay))
	}
	l.release()
}

// register opens a lease and writes the host's registration under it. If the registration
// of the host's previous run still exists, it ends that first.
func (l *Lease) register(ctx context.Context) error {
	sent := l.noteSent()
	session, err := l.Store.OpenSession(ctx, l.Host, TTL)
	l.noteAnswer(err == nil)
	if err != nil {
		return err
	}
	b, err := json.Marshal(mirror.Registration{
		Address: l.Address,
		Domain:  l.Domain,
		Lease:   session,
		Size:    l.Size,
	})
	if err != nil {
		panic(err) // a struct of strings always encodes
	}
	registration := []coltsfootloft.Change{coltsfootloft.Put(mirror.HostKey(l.Host), b, 0).WithLock(session)}
	revision, err := l.Store.Apply(ctx, registration)
	if errors.Is(err, coltsfootloft.ErrConflict) {
		if err := l.endPreviousLease(ctx); err != nil {
			return err
		}
		revision, err = l.Store.Apply(ctx, registration)
	}
	if err != nil {
		return err
	}
	if err := l.Mirror.Await(ctx, revision); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.session = session
	l.revision = revision
	l.expires = sent + TTL - leaseMargin
	l.Log.Info("lease gained", "lease", session, "era", coltsfootloft.EraOf(revision), "revision", revision)
	return nil
}

// endPreviousLease ends the lease of the host's previous run, which removes all keys held
// under it, and removes the registration if it is still there.
func (l *Lease) endPreviousLease(ctx context.Context) error {
	old, err := l.Store.Read(ctx, mirror.HostKey(l.Host))
	if err != nil || old.Version() == 0 {
		return err
	}
	var p mirror.Registration
	if err := json.Unmarshal(old.Value(), &p); err != nil {
		l.Log.Info("registration of an earlier run can't be read", "reason", err.Error())
	}
	l.Log.Info("registration of an earlier run, or of a call without an answer, is still in the store", "lease", p.Lease)
	if p.Lease != "" {
		err := l.Store.CloseSession(ctx, p.Lease)
		if err != nil && !errors.Is(err, coltsfootloft.ErrNoSession) {
			return err
		}
	}
	current, err := l.Store.Read(ctx, mirror.HostKey(l.Host))
	if err != nil || current.Version() == 0 {
		return err
	}
	_, err = l.Store.Apply(ctx, []coltsfootloft.Change{coltsfootloft.Remove(mirror.HostKey(l.Host), current.Version())})
	return err
}

// renew renews the lease until it is lost or ctx ends.
func (l *Lease) renew(ctx context.Context) {
	wait := renewPeriod
	retry := minRetryDelay
	for l.awaitRenewal(ctx, wait) {
		if l.eraEnded() {
			l.drop("the store was restored from a backup")
			return
		}
		if !l.isRegistered() {
			l.endDisplaced()
			return
		}
		sent := l.noteSent()
		err := l.Store.RenewSession(ctx, l.ID())
		l.noteAnswer(err == nil || errors.Is(err, coltsfootloft.ErrNoSession))
		switch {
		case err == nil:
			l.extend(sent)
			wait = renewPeriod
			retry = minRetryDelay
		case errors.Is(err, coltsfootloft.ErrNoSession):
			l.drop("the store has ended the lease")
			return
		default:
			wait = retry
			retry = min(2*retry, l.maxRenewRetryDelay())
			l.Log.Info("lease not renewed", "reason", err.Error(), "lease_left", l.Left().String(), "again_in", wait.String())
		}
	}
}

// awaitRenewal waits until the next renewal, or until the store was restored or the host's
// registration is not its own any more. It returns false if ctx ends first.
func (l *Lease) awaitRenewal(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		restored := l.Mirror.EraChanged()
		changed := l.Mirror.Changed()
		if !l.isRegistered() {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-l.wake():
			return true
		case <-restored:
		case <-changed:
		}
	}
}

// eraEnded reports whether the store was restored since the host registered.
func (l *Lease) eraEnded() bool {
	era := l.Mirror.Era()
	l.mu.Lock()
	defer l.mu.Unlock()
	return coltsfootloft.EraOf(l.revision) != era
}

// isRegistered reports whether the store was not restored since the host registered, and the
// host's copy of the store still holds what it wrote.
func (l *Lease) isRegistered() bool {
	if l.eraEnded() {
		return false
	}
	r, ok := l.Mirror.View().Hosts[l.Host]
	l.mu.Lock()
	defer l.mu.Unlock()
	return ok && r.Revision == l.revision
}

// maxRenewRetryDelay is the maximum delay between failing renewals. It is shorter while
// the lease is valid and can still be saved.
func (l *Lease) maxRenewRetryDelay() time.Duration {
	if l.Valid() {
		return maxRetryDelay
	}
	return l.Mirror.MaxRetryDelay(maxRetryDelay)
}

func (l *Lease) extend(sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expires = max(l.expires, sent+TTL-leaseMargin)
}

func (l *Lease) drop(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Log.Info("lease lost", "lease", l.session, "reason", reason)
	l.session = ""
}

// endDisplaced gives up the lease after another writer has overwritten or removed the host's
// registration, and ends it in the store, so that the duties held under it are free.
func (l *Lease) endDisplaced() {
	session := l.ID()
	l.drop("the registration was overwritten or removed")
	l.close(session)
}

// release ends the lease in the store, so that other hosts need not wait for it to
// expire.
func (l *Lease) release() {
	session := l.ID()
	if session == "" || l.eraEnded() {
		return
	}
	l.drop("the host is leaving")
	l.close(session)
}

func (l *Lease) close(session string) {
	const closeTimeout = 300 * time.Millisecond // part of the time that a host has to shut down
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := l.Store.CloseSession(ctx, session)
	if err != nil && !errors.Is(err, coltsfootloft.ErrNoSession) {
		l.Log.Info("lease not released", "lease", session, "reason", err.Error())
	}
}
