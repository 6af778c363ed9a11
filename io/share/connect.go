package share

import (
	"context"
	"sync"

	"coltsfootloft"
	"coltsfootloft/core/loan"
)

// database is this host's part of the connections of one database.
type database struct {
	ledger *Ledger
	name   string

	mutex   sync.Mutex
	limit   int
	rights  loan.Rights
	waiters []chan struct{}
}

func (d *database) connect(ctx context.Context) (func(), error) {
	d.mutex.Lock()
	if len(d.waiters) == 0 && d.rights.Take(d.ledger.Clock.Now()) {
		d.mutex.Unlock()
		return d.releaser(), nil
	}
	if len(d.waiters) >= d.ledger.waiters() {
		d.mutex.Unlock()
		return nil, d.refusal("too many wait for one")
	}
	ready := make(chan struct{})
	d.waiters = append(d.waiters, ready)
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
	for i, o := range d.waiters {
		if o == w {
			d.waiters = append(d.waiters[:i], d.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// releaser returns a release that counts once.
func (d *database) releaser() func() {
	return sync.OnceFunc(func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		d.rights.Release()
		d.serve()
	})
}

// serve hands free rights to waiters in their order. The mutex is held.
func (d *database) serve() {
	now := d.ledger.Clock.Now()
	for len(d.waiters) > 0 && d.rights.Take(now) {
		close(d.waiters[0])
		d.waiters = d.waiters[1:]
	}
}

func (d *database) refusal(why string) error {
	return coltsfootloft.Refuse(
		coltsfootloft.CodeConnections,
		"no connection of database "+d.name+" is free: "+why,
	)
}
