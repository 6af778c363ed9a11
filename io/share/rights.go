package share

import (
	"context"
	"slices"
	"time"

	"coltsfootloft/core/loan"
)

// rightsPeriod is the longest loan of connection rights.
const rightsPeriod = 6 * time.Second

func (d *database) kick(now time.Time) { d.ledger.kick(now, d, &d.rounds) }

// begin is called by the scan.
func (d *database) begin(now time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	due := len(d.waiters) > 0
	for _, h := range d.rights.Book().Lenders(now) {
		due = due || d.rights.Book().Due(now, h)
	}
	return due && d.rounds.start(now)
}

// round renews the loans that are needed, gives back those that are not, and asks
// for what is missing: first for free rights, then for rights whose connections
// have to be closed.
func (d *database) round(ctx context.Context) {
	near, far := d.ledger.lendersOf(d.name, d.seats())
	all := slices.Concat(near, far)
	for _, urgent := range []bool{false, true} {
		for _, h := range all {
			d.borrow(ctx, h, urgent)
		}
	}
	now := d.ledger.Clock.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	short := len(d.waiters) > 0
	if p := d.rounds.finish(now, short); p > 0 {
		d.ledger.Clock.AfterFunc(p, d.retry)
	}
}

func (d *database) seats() []home {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.homes
}

func (d *database) retry() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.waiters) > 0 {
		d.kick(d.ledger.Clock.Now())
	}
}

// borrow asks one lender for what is still missing besides the loan from it.
func (d *database) borrow(ctx context.Context, host string, urgent bool) {
	if ctx.Err() != nil {
		return
	}
	q := d.open(ctx, host, urgent)
	if q == nil {
		return
	}
	g, ok := <-q.answer
	now := d.ledger.Clock.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !ok || !d.rights.Accept(now, host, q.ask, g) {
		d.rights.Abandon(now, host, q.ask)
	}
	d.serve(now)
}

func (d *database) open(ctx context.Context, host string, urgent bool) *errand {
	now := d.ledger.Clock.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	have, _ := d.rights.Book().Loan(now, host)
	loan := int(have.Burst())
	missing := d.rights.Used() + len(d.waiters) - d.rights.Held(now)
	want := max(loan+missing, 0)
	if urgent && missing <= 0 {
		return nil
	}
	renew := loan > 0 && d.rights.Book().Due(now, host)
	if want <= loan && !renew {
		return nil
	}
	q := &errand{
		name:     d.name,
		database: true,
		urgent:   urgent,
		ask:      d.rights.Request(now, host, want),
	}
	d.ledger.lenders.send(ctx, host, q)
	return q
}

// lend answers the ask of another host. For an urgent one, unused connections of
// this host and of its borrowers are closed first.
func (d *database) lend(ctx context.Context, borrower string, a loan.Request, urgent bool) loan.Grant {
	if urgent {
		if n := d.missing(a); n > 0 {
			d.reclaim(n)
		}
		if n := d.missing(a); n > 0 {
			d.recall(ctx, borrower, n, d.due(borrower, a))
		}
		d.shedOwn(borrower, a)
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.ledger.Clock.Now()
	waiting := len(d.waiters)
	entitled := d.entitled(now, borrower, a)
	kept := int(a.Kept.Burst())
	waiting = min(waiting, max(d.rights.Free(now)-(entitled-kept), 0))
	g := d.rights.Lend(now, borrower, a, waiting, rightsPeriod)
	if urgent {
		d.owe(now, max(entitled-int(g.Part.Burst()), 0))
	}
	return g
}

// missing is how many rights an ask still lacks.
func (d *database) missing(a loan.Request) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return int(a.Want.Burst()-a.Kept.Burst()) - max(d.rights.Free(d.ledger.Clock.Now()), 0)
}

// entitled is the borrower's share of what this host owns, in proportion to what
// it wants, and at least one.
func (d *database) entitled(now time.Time, borrower string, a loan.Request) int {
	return d.share(now, a.Want.Burst(), d.allWanted(now, borrower, a))
}

// allWanted sums what this host and all borrowers want.
func (d *database) allWanted(now time.Time, borrower string, a loan.Request) float64 {
	all := a.Want.Burst() + d.rights.Book().Wanted(now, borrower).Burst()
	return all + float64(d.rights.Used()+len(d.waiters))
}

// share is what a wish gets of the rights owned when all wishes sum to this.
func (d *database) share(now time.Time, want, all float64) int {
	own := float64(d.rights.Owned(now))
	if all <= own {
		return int(want)
	}
	return min(max(int(own*want/all), 1), int(want))
}

// due is how many rights a borrower is entitled to besides those that it keeps.
func (d *database) due(borrower string, a loan.Request) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	n := d.entitled(d.ledger.Clock.Now(), borrower, a)
	return max(n-int(a.Kept.Burst()), 0)
}

// shedOwn has this host's own callers give up rights that a borrower is entitled
// to, as far as they hold more than their share.
func (d *database) shedOwn(borrower string, a loan.Request) {
	n := d.due(borrower, a)
	d.mutex.Lock()
	now := d.ledger.Clock.Now()
	n -= max(d.rights.Free(now), 0)
	mine := d.share(now, float64(d.rights.Used()+len(d.waiters)), d.allWanted(now, borrower, a))
	lent := 0
	for _, p := range d.rights.Book().Borrowers(now) {
		lent += int(p.Burst())
	}
	n = min(n, d.rights.Owned(now)-lent-mine)
	d.mutex.Unlock()
	d.ledger.shedding(d.name, n)
}

func (l *Ledger) shedding(name string, n int) {
	if f := l.shed.Load(); f != nil && n > 0 {
		(*f)(name, n)
	}
}
