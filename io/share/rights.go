package share

import (
	"context"
	"slices"
	"time"

	"coltsfootloft/core/loan"
)

// rightsPeriod is the longest loan of connection rights.
const rightsPeriod = 6 * time.Second

func (d *database) trigger(now time.Time) { d.limiter.trigger(now, d, &d.rounds) }

// beginIfDue implements borrower. A round is due when callers wait or a loan is due for
// renewal.
func (d *database) beginIfDue(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	due := len(d.waiters) > 0
	for _, h := range d.rights.Book().Lenders(now) {
		due = due || d.rights.Book().Due(now, h)
	}
	return due && d.rounds.tryBegin(now)
}

// round renews the loans that are needed, returns those that are not, and requests
// what is missing: first free rights, then urgently, for which lenders have
// connections closed.
func (d *database) round(ctx context.Context) {
	local, remote := d.limiter.lendersOf(d.name, d.ownerSeats())
	all := slices.Concat(local, remote)
	for _, urgent := range []bool{false, true} {
		for _, h := range all {
			d.borrow(ctx, h, urgent)
		}
	}
	now := d.limiter.Clock.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	short := len(d.waiters) > 0
	if p := d.rounds.finish(now, short); p > 0 {
		d.limiter.Clock.AfterFunc(p, d.retry)
	}
}

func (d *database) ownerSeats() []owningSeats {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.owners
}

func (d *database) retry() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.waiters) > 0 {
		d.trigger(d.limiter.Clock.Now())
	}
}

// borrow requests what is still missing from one lender, in addition to its loan.
func (d *database) borrow(ctx context.Context, host string, urgent bool) {
	if ctx.Err() != nil {
		return
	}
	q := d.sendRequest(ctx, host, urgent)
	if q == nil {
		return
	}
	g, ok := <-q.answer
	now := d.limiter.Clock.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !ok || !d.rights.Accept(now, host, q.request, g) {
		d.rights.Abandon(now, host, q.request)
	}
	d.serveWaitersLocked(now)
}

func (d *database) sendRequest(ctx context.Context, host string, urgent bool) *pendingRequest {
	now := d.limiter.Clock.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	have, _ := d.rights.Book().Loan(now, host)
	borrowed := int(have.Burst())
	missing := d.rights.Used() + len(d.waiters) - d.rights.Held(now)
	want := max(borrowed+missing, 0)
	if urgent && missing <= 0 {
		return nil
	}
	renew := borrowed > 0 && d.rights.Book().Due(now, host)
	if want <= borrowed && !renew {
		return nil
	}
	q := &pendingRequest{
		name:     d.name,
		database: true,
		urgent:   urgent,
		request:  d.rights.Request(now, host, want),
	}
	d.limiter.batcher.enqueue(ctx, host, q)
	return q
}

// lend answers the request of another host. If it is urgent, unused connections of
// this host and of its borrowers are closed first.
func (d *database) lend(ctx context.Context, borrower string, a loan.Request, urgent bool) loan.Grant {
	if urgent {
		if n := d.shortfall(a); n > 0 {
			d.reclaim(n)
		}
		if n := d.shortfall(a); n > 0 {
			d.recall(ctx, borrower, n, d.unmetEntitlement(borrower, a))
		}
		d.shedOwn(borrower, a)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.limiter.Clock.Now()
	waiting := len(d.waiters)
	entitlement := d.entitlement(now, borrower, a)
	kept := int(a.Kept.Burst())
	waiting = min(waiting, max(d.rights.Free(now)-(entitlement-kept), 0))
	g := d.rights.Lend(now, borrower, a, waiting, rightsPeriod)
	if urgent {
		d.reserve(now, max(entitlement-int(g.Part.Burst()), 0))
	}
	return g
}

// shortfall returns how many of the requested rights are not free.
func (d *database) shortfall(a loan.Request) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return int(a.Want.Burst()-a.Kept.Burst()) - max(d.rights.Free(d.limiter.Clock.Now()), 0)
}

// entitlement returns the borrower's share of the rights that this host owns, in
// proportion to what it wants, and at least one.
func (d *database) entitlement(now time.Time, borrower string, a loan.Request) int {
	return d.proportion(now, a.Want.Burst(), d.totalDemand(now, borrower, a))
}

// totalDemand returns the sum of the rights that this host and all borrowers want.
func (d *database) totalDemand(now time.Time, borrower string, a loan.Request) float64 {
	all := a.Want.Burst() + d.rights.Book().Wanted(now, borrower).Burst()
	return all + float64(d.rights.Used()+len(d.waiters))
}

// proportion returns the share of the owned rights for a demand of want, if all demands
// sum to all.
func (d *database) proportion(now time.Time, want, all float64) int {
	own := float64(d.rights.Owned(now))
	if all <= own {
		return int(want)
	}
	return min(max(int(own*want/all), 1), int(want))
}

// unmetEntitlement returns how many rights a borrower is entitled to in addition to
// those that it keeps.
func (d *database) unmetEntitlement(borrower string, a loan.Request) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	n := d.entitlement(d.limiter.Clock.Now(), borrower, a)
	return max(n-int(a.Kept.Burst()), 0)
}

// shedOwn has this host's own callers give up the rights that a borrower is entitled
// to, but only those beyond this host's own share.
func (d *database) shedOwn(borrower string, a loan.Request) {
	n := d.unmetEntitlement(borrower, a)
	d.mutex.Lock()
	now := d.limiter.Clock.Now()
	n -= max(d.rights.Free(now), 0)
	ownShare := d.proportion(now, float64(d.rights.Used()+len(d.waiters)), d.totalDemand(now, borrower, a))
	lent := 0
	for _, p := range d.rights.Book().Borrowers(now) {
		lent += int(p.Burst())
	}
	n = min(n, d.rights.Owned(now)-lent-ownShare)
	d.mutex.Unlock()
	d.limiter.requestShed(d.name, n)
}

func (l *Limiter) requestShed(name string, n int) {
	if f := l.shed.Load(); f != nil && n > 0 {
		(*f)(name, n)
	}
}
