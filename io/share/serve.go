package share

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft/core/loan"
	"coltsfootloft/core/seat"
	"coltsfootloft/io/decode"
	"coltsfootloft/io/share/sharepb"
)

const (
	// reclaimTimeout bounds the recall of rights from borrowers for another host.
	reclaimTimeout = 200 * time.Millisecond
	// RevokeAhead is how long before rights end OnRevoke's function is called to
	// close their connections.
	RevokeAhead = 150 * time.Millisecond
	// closeEvery is the time between checks for rights that are about to end.
	closeEvery = seat.TickEvery / 2
)

// handle answers the requests of other hosts.
func (l *Limiter) handle(ctx context.Context, from string, body []byte) ([]byte, error) {
	q := &sharepb.Request{}
	if err := decode.Message(body, q); err != nil {
		return nil, errors.Wrap(err, "share: request from "+from)
	}
	r := &sharepb.Response{}
	switch {
	case q.GetLoan() != nil:
		r.Loan = l.handleLoan(ctx, from, q.GetLoan())
	case q.GetRecall() != nil:
		r.Recall = l.handleRecall(from, q.GetRecall())
	case q.GetConfirm() != nil:
		r.Confirm = l.seats.handleConfirm(ctx, q.GetConfirm())
	}
	return proto.Marshal(r)
}

func (l *Limiter) handleLoan(ctx context.Context, from string, q *sharepb.LoanRequest) *sharepb.LoanResponse {
	ctx, cancel := context.WithTimeout(ctx, reclaimTimeout)
	defer cancel()
	borrower := from + "/" + q.GetRun()
	r := &sharepb.LoanResponse{}
	for _, a := range q.GetAccounts() {
		var g loan.Grant
		if e, ok := load(&l.accounts)[a.GetName()]; ok {
			g = e.lend(borrower, decodeAsk(a))
		}
		r.Accounts = append(r.Accounts, encodeGrant(g))
	}
	for _, a := range q.GetDatabases() {
		var g loan.Grant
		if d, ok := load(&l.databases)[a.GetName()]; ok {
			g = d.lend(ctx, borrower, decodeAsk(a), a.GetUrgent())
		}
		r.Databases = append(r.Databases, encodeGrant(g))
	}
	return r
}

// recall tells all borrowers but one to return up to n unused rights each, and up to
// shed rights in use if they have more than an equal share.
func (d *database) recall(ctx context.Context, except string, n, shed int) {
	d.mutex.Lock()
	now := d.limiter.Clock.Now()
	borrowers := d.rights.Book().Borrowers(now)
	d.mutex.Unlock()
	equal := float64(d.owned()) / float64(len(borrowers)+1)
	var all sync.WaitGroup
	for b, part := range borrowers {
		if b == except || part.Burst() == 0 {
			continue
		}
		more := min(shed, max(int(part.Burst()-equal), 0))
		all.Go(func() { d.recallFrom(ctx, b, n, more) })
	}
	all.Wait()
}

func (d *database) owned() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.rights.Owned(d.limiter.Clock.Now())
}

func (d *database) recallFrom(ctx context.Context, borrower string, n, shed int) {
	host := borrower[:strings.LastIndex(borrower, "/")]
	r, err := d.limiter.call(ctx, host, &sharepb.Request{Recall: &sharepb.RecallRequest{
		Database: d.name,
		Count:    int64(n),
		Shed:     int64(shed),
	}})
	if err != nil || r.GetRecall().GetSequence() == 0 {
		return
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	kept := loan.NewPart(0, float64(r.GetRecall().GetKept()))
	d.rights.Book().Recalled(d.limiter.Clock.Now(), borrower, r.GetRecall().GetSequence(), kept)
}

// handleRecall returns rights that this host doesn't use to their lender.
func (l *Limiter) handleRecall(lender string, q *sharepb.RecallRequest) *sharepb.RecallResponse {
	d, ok := load(&l.databases)[q.GetDatabase()]
	if !ok {
		return &sharepb.RecallResponse{}
	}
	n := int(q.GetCount())
	d.mutex.Lock()
	free := d.rights.Free(l.Clock.Now())
	d.reserve(l.Clock.Now(), 1)
	d.mutex.Unlock()
	d.reclaim(n - max(free, 0))
	l.requestShed(d.name, int(q.GetShed()))
	d.mutex.Lock()
	defer d.mutex.Unlock()
	sequence, kept, ok := d.rights.Yield(l.Clock.Now(), lender, n)
	if !ok {
		return &sharepb.RecallResponse{}
	}
	return &sharepb.RecallResponse{
		Sequence: sequence,
		Kept:     int64(kept),
	}
}

// closeLoop has connections closed whose rights are about to end, and ticks the seat
// table.
func (l *Limiter) closeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		l.sleep(ctx, closeEvery)
		l.seats.tick()
		for _, d := range load(&l.databases) {
			d.closeExcess()
		}
	}
}

func (d *database) closeExcess() {
	n := d.excess()
	if n == 0 {
		return
	}
	d.reclaim(n)
	f := d.limiter.revoke.Load()
	if n = d.excess(); n > 0 && f != nil {
		(*f)(d.name, n)
	}
}

func (d *database) excess() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := d.limiter.Clock.Now()
	return d.rights.Excess(now, now.Add(RevokeAhead))
}
