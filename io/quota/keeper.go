package quota

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft/core/grant"
	"coltsfootloft/io/quota/quotapb"
)

// handle answers a report, if this host keeps the book.
func (q *Quota) handle(_ context.Context, from string, body []byte) ([]byte, error) {
	var r quotapb.Report
	if err := proto.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "report")
	}
	answer := &quotapb.Grants{StoreAgeMs: q.StoreAge().Milliseconds()}
	if _, ok := q.Duty.Holds(); ok {
		answer.Keeper = true
		answer.Grants = q.grants(from, &r)
		known := q.Mirror.Known()
		answer.SettingsRevision = known.SettingsRevision
		answer.SettingsAgeMs = known.SettingsAge.Milliseconds() + 1
		answer.StoreRevision = known.Revision
	}
	b, err := proto.Marshal(answer)
	return b, errors.Wrap(err, "grants")
}

func (q *Quota) grants(from string, r *quotapb.Report) []*quotapb.Grant {
	q.bookMutex.Lock()
	defer q.bookMutex.Unlock()
	v := q.Mirror.View()
	if v.Catalog == nil {
		return nil
	}
	if since := q.Duty.Since(); since != q.bookSince {
		q.bookSince = since
		q.book = grant.Allocator{Started: since}
	}
	lines := make([]grant.Line, 0, len(r.GetLines()))
	for _, l := range r.GetLines() {
		lines = append(lines, grant.Line{
			Account: l.GetAccount(),
			Demand:  l.GetDemand(),
			Held:    l.GetHeld(),
			HeldFor: time.Duration(l.GetHeldMs()) * time.Millisecond,
			Want:    l.GetWant(),
		})
	}
	granted := q.book.Report(q.Clock.Elapsed(), from, lines, v.HostNames(), v.Catalog.Accounts)
	grants := make([]*quotapb.Grant, 0, len(granted))
	for _, l := range granted {
		grants = append(grants, &quotapb.Grant{
			Account: l.Account,
			Rate:    l.Rate,
			Burst:   l.Burst,
			Lent:    l.Lent,
		})
	}
	return grants
}
