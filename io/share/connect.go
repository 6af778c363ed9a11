package share

import (
	"context"
	"slices"
	"sync"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/loan"
)

// reserveTime is how long rights are withheld from this host's own callers for a host
// that has less than its share.
const reserveTime = 500 * time.Millisecond

// database is this host's part of the connections of one database.
type database struct {
	limiter *Limiter
	name    string

	mutex         sync.Mutex
	limit         int
	owners        []owningSeats
	rights        loan.Rights
	waiters       []chan struct{}
	rounds        rounds
	reserved      int
	reservedUntil time.Time
}

func (d *database) connect(ctx context.Context) (func(), error) {
	now := d.limiter.Clock.Now()
	d.mutex.Lock()
	if len(d.waiters) == 0 && d.canTake(now) && d.rights.Take(now) {
		d.mutex.Unlock()
		return d.newRelease(), nil
	}
	if len(d.waiters) >= d.limiter.waiters() {
		d.mutex.Unlock()
		return nil, d.refusal("too many wait for one")
	}
	ready := make(chan struct{})
	d.waiters = append(d.waiters, ready)
	d.trigger(now)
	d.mutex.Unlock()
	select {
	case <-ready:
		return d.newRelease(), nil
	case <-ctx.Done():
	}
	if d.removeWaiter(ready) {
		return nil, d.refusal("none came free in time")
	}
	return d.newRelease(), nil
}

func (d *database) removeWaiter(w chan struct{}) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	i := slices.Index(d.waiters, w)
	if i < 0 {
		return false
	}
	d.waiters = slices.Delete(d.waiters, i, i+1)
	return true
}

// newRelease returns a release function that takes effect once.
func (d *database) newRelease() func() {
	return sync.OnceFunc(func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.rights.Release()
		d.serveWaitersLocked(d.limiter.Clock.Now())
	})
}

// canTake reports whether a free right may go to this host's own callers. One that ends before its
// connection can be closed may not.
func (d *database) canTake(now time.Time) bool {
	reserved := d.reserved
	if !now.Before(d.reservedUntil) {
		reserved = 0
	}
	return d.rights.FreeUntil(now, now.Add(RevokeAhead)) > reserved
}

// reserve reserves n rights that come free for hosts with less than their share.
func (d *database) reserve(now time.Time, n int) {
	d.reserved = n
	d.reservedUntil = now.Add(reserveTime)
}

// serveWaitersLocked gives free rights to waiters in order. The mutex is held.
func (d *database) serveWaitersLocked(now time.Time) {
	for len(d.waiters) > 0 && d.canTake(now) && d.rights.Take(now) {
		close(d.waiters[0])
		d.waiters = d.waiters[1:]
	}
}

// own sets the number of rights that this host owns.
func (d *database) own(n int, until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.rights.Own(n, until)
	d.serveWaitersLocked(d.limiter.Clock.Now())
}

// reclaim has up to n unused connections closed, which frees their rights.
func (d *database) reclaim(n int) {
	f := d.limiter.reclaim.Load()
	for range n {
		if f == nil || !(*f)(d.name) {
			return
		}
	}
}

func (d *database) refusal(reason string) error {
	return coltsfootloft.Refuse(
		coltsfootloft.CodeConnections,
		"no connection of database "+d.name+" is free: "+reason,
	)
}

func isOwner(owners []owningSeats, domain string, n int) bool {
	for _, h := range owners {
		if h.domain == domain {
			return slices.Contains(h.seats, n)
		}
	}
	return false
}
