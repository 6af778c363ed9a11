// Package duty assigns a duty, a named task of the whole deployment, to one host at a
// time.
//
// The holder locks a key of the store under its lease. The revision at which the key was
// last written is the holder's fencing token; it increases from holder to holder. Hosts try to
// acquire a free duty in rendezvous order, each after a short delay that grows with its
// rank, so that duties move rarely and hosts do not compete for them.
//
// Another writer may overwrite or remove the key of a duty. Once the holder sees that, it stops
// performing the duty and writes its key again. If it does not, it may not have seen it: another host takes the
// key, ends the holder's lease in the store, and performs the duty one lease duration later.
//
// When the store comes back from a backup, a duty may be free while its holder still acts.
// It is acquired once that host has learned of the new era, or its lease has ended.
package duty

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/rank"
	"coltsfootloft/io/lease"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
)

const (
	// rankDelay is the delay for each further rank: a few round trips to the store.
	rankDelay = 60 * time.Millisecond
	// maxRankDelays bounds the delay, in units of rankDelay.
	maxRankDelays = 10
	// sizeExponent sets how strongly large hosts are preferred as holders. The quota
	// keeper uses a quarter of a processor at peak load. With an exponent of three, it is
	// one of the largest hosts nine times in ten in a fleet of 140 hosts of 0.134 to 0.8
	// processors.
	sizeExponent = 3
	// retryDelay is the delay after a failed attempt.
	retryDelay = 200 * time.Millisecond
	// recallTimeout bounds the call to the holder of an earlier era, and recallPause is
	// the time between two calls.
	recallTimeout = 100 * time.Millisecond
	recallPause   = 25 * time.Millisecond
	// checkPeriod is how often a held duty is checked without a change of the view: the
	// host's own lease can end or start without one.
	checkPeriod = time.Second
	// repairDelay is how long a holder has to write its key again. Usually that takes two round
	// trips to the store.
	repairDelay = 300 * time.Millisecond
	// repairPause is the time between two checks of whether that time is over.
	repairPause = 50 * time.Millisecond
	// unknownDelay is how long an entry of another writer stays if this host does not know who held
	// the duty, so that hosts which know it go first.
	unknownDelay = lease.TTL
)

// neverBegins is the beginning of the rights of a holder whose predecessor may act.
const neverBegins = time.Duration(math.MaxInt64)

// Duty is one duty as this host sees it. Its exported fields are set before Run.
type Duty struct {
	// Name is the name of the duty.
	Name string
	// Self is the name of this host.
	Self string
	// Store is the platform's store.
	Store coltsfootloft.KeyValue
	// Mirror is the host's copy of the store.
	Mirror *mirror.Mirror
	// Lease is the host's lease, under which the key is locked.
	Lease *lease.Lease
	// Clock is monotonic and includes the time in which the host is suspended.
	Clock coltsfootloft.Clock
	// Log receives a line when the duty is acquired.
	Log logr.Logger

	mu      sync.Mutex
	session string
	fence   uint64
	since   time.Duration
	begins  time.Duration // when this host may perform the duty, on Clock
}

// Holds reports whether this host holds the duty now, and returns its fencing token.
func (d *Duty) Holds() (fence uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.owns() || d.Clock.Elapsed() < d.begins {
		return 0, false
	}
	return d.fence, true
}

// owns reports whether the key is this host's; mu is held.
func (d *Duty) owns() bool {
	return d.fence > 0 && d.Mirror.View().Duties[d.Name].Revision == d.fence && d.Lease.ID() == d.session && d.Lease.Valid()
}

// Since returns when this host last acquired the duty, on Clock.
func (d *Duty) Since() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since
}

// Holder returns the name of the host that holds the duty according to this host's copy
// of the store.
func (d *Duty) Holder() (host string, ok bool) {
	h, ok := d.Mirror.View().Duties[d.Name]
	return h.Host, ok
}

// Run tries to acquire the duty whenever it is free, until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.Mirror.Changed()
		if _, free := d.isFree(); !free || !d.Lease.Valid() {
			pause.Until(ctx, changed, d.untilCheck())
			continue
		}
		if !d.awaitTurn(ctx) || !d.awaitPredecessor(ctx) {
			continue
		}
		if err := d.acquire(ctx); err != nil {
			d.Log.V(1).Info("duty not taken", "duty", d.Name, "reason", err.Error())
			pause.For(ctx, retryDelay)
		}
	}
}

// untilCheck returns how long until the duty is checked again without a change of the view.
func (d *Duty) untilCheck() time.Duration {
	if _, held := d.Mirror.View().Duties[d.Name]; held {
		return checkPeriod
	}
	return repairPause
}

// isFree reports whether this host may acquire the duty: it has no holder, or its key names
// this host, which does not hold it. Such a key was written late, after the answer to the
// attempt was lost, or came back with a backup of the store. Version is that of the key.
func (d *Duty) isFree() (version uint64, ok bool) {
	v := d.Mirror.View()
	if h, held := v.Duties[d.Name]; held {
		d.mu.Lock()
		defer d.mu.Unlock()
		return h.Revision, h.Host == d.Self && !d.owns()
	}
	now := d.Clock.Elapsed()
	odd, isOdd := v.OddDuties[d.Name]
	former, known := v.FormerHolders[d.Name]
	switch {
	case known && former.Host != d.Self && v.HasLease(former):
		return odd.Revision, now-former.FirstSeen >= repairDelay
	case !known && isOdd:
		return odd.Revision, now-odd.FirstSeen >= unknownDelay
	}
	return odd.Revision, true
}

// awaitTurn waits for the delay of this host's rank. It returns false if the duty was
// acquired by another host meanwhile, or if this host can no longer hold it.
func (d *Duty) awaitTurn(ctx context.Context) bool {
	v := d.Mirror.View()
	if v.FormerHolders[d.Name].Host == d.Self {
		return true
	}
	order := rank.Weighted("duty/"+d.Name, v.HostNames(), func(host string) float64 {
		return math.Pow(v.SizeOf(host), sizeExponent)
	})
	pos := slices.Index(order, d.Self)
	if pos < 0 {
		pos = maxRankDelays
	}
	pause.For(ctx, time.Duration(min(pos, maxRankDelays))*rankDelay)
	_, free := d.isFree()
	return free && d.Lease.Valid() && ctx.Err() == nil
}

// awaitPredecessor waits until the holder of an earlier era of the store has no rights left.
// It returns false if the duty was acquired by another host meanwhile, or if ctx ended.
func (d *Duty) awaitPredecessor(ctx context.Context) bool {
	for d.Mirror.EraAge() < lease.TTL {
		if _, free := d.isFree(); !free {
			return false
		}
		host, known := d.Mirror.View().Past.Duties[d.Name]
		if known && (host == d.Self || d.recall(ctx, host)) {
			return true
		}
		if !pause.Until(ctx, d.Mirror.Changed(), recallPause) {
			return false
		}
	}
	return true
}

// recall reports whether a host has answered that it knows the era of the store.
func (d *Duty) recall(ctx context.Context, host string) bool {
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	_, err := d.Mirror.Recall(ctx, host)
	return err == nil
}

func (d *Duty) acquire(ctx context.Context) error {
	version, free := d.isFree()
	if !free {
		return coltsfootloft.ErrConflict
	}
	former, mayAct := d.predecessor()
	session := d.Lease.ID()
	revision, err := d.Store.Apply(ctx, []coltsfootloft.Change{
		coltsfootloft.Put(mirror.DutyKey(d.Name), []byte(d.Self), version).WithLock(session),
	})
	if errors.Is(err, coltsfootloft.ErrOutcomeUnknown) {
		revision, err = d.verify(ctx, version)
	}
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.session = session
	d.fence = revision
	d.since = d.Clock.Elapsed()
	d.begins = 0
	if mayAct {
		d.begins = neverBegins
	}
	d.mu.Unlock()
	d.Log.Info("duty taken", "duty", d.Name, "fence", revision, "replaced", version)
	err = errors.Wrap(d.Mirror.Await(ctx, revision), "wait for the duty key in the view")
	if mayAct {
		d.endPredecessor(ctx, former, session)
	}
	return err
}

// predecessor returns the host whose key was overwritten or removed, if it may still act as the holder.
func (d *Duty) predecessor() (former mirror.FormerHolder, mayAct bool) {
	v := d.Mirror.View()
	_, isOdd := v.OddDuties[d.Name]
	former, known := v.FormerHolders[d.Name]
	return former, known && former.Host != d.Self && (isOdd || v.HasLease(former))
}

// endPredecessor ends the lease of a former holder in the store while this host has the key, and sets
// when its own rights begin. The store renews no lease after its end, so each renewal that the former
// holder counts its lease from was sent before that.
func (d *Duty) endPredecessor(ctx context.Context, former mirror.FormerHolder, session string) {
	for ctx.Err() == nil && d.Lease.ID() == session {
		err := d.Store.CloseSession(ctx, former.Session)
		if err == nil || errors.Is(err, coltsfootloft.ErrNoSession) {
			d.Log.Info("lease of the former holder ended", "duty", d.Name, "host", former.Host, "lease", former.Session)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.begins = d.Clock.Elapsed() + lease.TTL
			return
		}
		d.Log.Info("lease of the former holder not ended", "duty", d.Name, "host", former.Host, "reason", err.Error())
		pause.For(ctx, retryDelay)
	}
}

// verify reads whether an attempt whose answer was lost has succeeded: the key then names this
// host, at another version than the one that it was to replace.
func (d *Duty) verify(ctx context.Context, replaced uint64) (uint64, error) {
	e, err := d.Store.Read(ctx, mirror.DutyKey(d.Name))
	if err != nil {
		return 0, err
	}
	if string(e.Value()) != d.Self || e.Version() == replaced {
		return 0, coltsfootloft.ErrConflict
	}
	return e.Version(), nil
}
