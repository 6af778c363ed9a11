package share

import (
	"context"
	"slices"
	"sync"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/loan"
)

// owedFor is how long a right is held back from this host's own callers for a
// host that has less than its share.
const owedFor = 500 * time.Millisecond

// database is this host's part of the connections of one database.
type database struct {
	ledger *Ledger
	name   string

	mutex     sync.Mutex
	limit     int
	homes     []home
	rights    loan.Rights
	waiters   []chan struct{}
	rounds    rounds
	owed      int
	owedUntil time.Time
}

func (d *database) connect(ctx context.Context) (func(), error) {
	now := d.ledger.Clock.Now()
	d.mutex.Lock()
	if len(d.waiters) == 0 && d.takeable(now) && d.rights.Take(now) {
		d.mutex.Unlock()
		return d.releaser(), nil
	}
	if len(d.waiters) >= d.ledger.waiters() {
		d.mutex.Unlock()
		return nil, d.refusal("too many wait for one")
	}
	ready := make(chan struct{})
	d.waiters = append(d.waiters, ready)
	d.kick(now)
	d.mutex.Unlock()
	select {
	case <-ready:
		return d.releaser(), nil
	case <-ctx.Done():
	}
	if d.withdraw(ready) {
		return nil, d.refusal("none came free in time")
	}
	return d.releaser(), nil
}

func (d *database) withdraw(w chan struct{}) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	i := slices.Index(d.waiters, w)
	if i < 0 {
		return false
	}
	d.waiters = slices.Delete(d.waiters, i, i+1)
	return true
}

// releaser returns a release that counts once.
func (d *database) releaser() func() {
	return sync.OnceFunc(func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.rights.Release()
		d.serve(d.ledger.Clock.Now())
	})
}

// takeable reports whether a free right may go to this host's own callers.
func (d *database) takeable(now time.Time) bool {
	owed := d.owed
	if !now.Before(d.owedUntil) {
		owed = 0
	}
	return d.rights.Free(now) > owed
}

// owe holds back rights that come free for hosts with less than their share.
func (d *database) owe(now time.Time, n int) {
	d.owed = n
	d.owedUntil = now.Add(owedFor)
}

// serve hands free rights to waiters in their order. The mutex is held.
func (d *database) serve(now time.Time) {
	for len(d.waiters) > 0 && d.takeable(now) && d.rights.Take(now) {
		close(d.waiters[0])
		d.waiters = d.waiters[1:]
	}
}

// own sets the number of rights that this host owns.
func (d *database) own(n int, until time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.rights.Own(n, until)
	d.serve(d.ledger.Clock.Now())
}

// reclaim has up to n unused connections closed, whose rights then come free.
func (d *database) reclaim(n int) {
	f := d.ledger.reclaim.Load()
	for range n {
		if f == nil || !(*f)(d.name) {
			return
		}
	}
}

func (d *database) refusal(why string) error {
	return coltsfootloft.Refuse(
		coltsfootloft.CodeConnections,
		"no connection of database "+d.name+" is free: "+why,
	)
}

func isHome(homes []home, domain string, n int) bool {
	for _, h := range homes {
		if h.domain == domain {
			return slices.Contains(h.seats, n)
		}
	}
	return false
}
