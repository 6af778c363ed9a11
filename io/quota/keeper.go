package quota

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/core/grant"
	"coltsfootloft/io/decode"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/quota/quotapb"
)

// handle answers a report, with grants if this host is the keeper.
func (l *Limiter) handle(_ context.Context, from string, body []byte) ([]byte, error) {
	var r quotapb.Report
	if err := decode.Message(body, &r); err != nil {
		return nil, errors.Wrap(err, "report")
	}
	l.Mirror.ObserveReport(mirror.Freshness{
		SettingsRevision: coltsfootloft.RevisionAt(r.GetSettingsEra(), r.GetSettingsRevision()),
		SettingsVersion:  r.GetSettingsVersion(),
		Revision:         coltsfootloft.RevisionAt(r.GetStoreEra(), r.GetStoreRevision()),
		Domains:          decodeEvacuations(r.GetEvacuations()),
	})
	answer := l.observeReporter(from, &r)
	if _, ok := l.Duty.Holds(); ok {
		answer.Keeper = true
		answer.Grants = l.grants(from, &r)
		fresh := l.Mirror.Freshness()
		answer.SettingsRevision = coltsfootloft.NumberOf(fresh.SettingsRevision)
		answer.SettingsEra = coltsfootloft.EraOf(fresh.SettingsRevision)
		answer.SettingsVersion = fresh.SettingsVersion
		answer.SettingsAgeMs = fresh.SettingsAge.Milliseconds() + 1
		answer.StoreRevision = coltsfootloft.NumberOf(fresh.Revision)
		answer.StoreEra = coltsfootloft.EraOf(fresh.Revision)
		answer.Evacuations = encodeEvacuations(fresh.Domains, true)
		if len(fresh.Domains) > 0 {
			answer.EvacuationsAgeMs = fresh.EvacuationAge.Milliseconds() + 2
		}
	}
	b, err := proto.Marshal(answer)
	return b, errors.Wrap(err, "grants")
}

// observeReporter records the report of a host as news of the store, and returns the answer that
// carries such news.
func (l *Limiter) observeReporter(from string, r *quotapb.Report) *quotapb.Grants {
	l.allocatorMu.Lock()
	defer l.allocatorMu.Unlock()
	now := l.Clock.Elapsed()
	if from != l.Duty.Self {
		l.reporters.observe(now, from, r, l.Mirror.View())
	}
	return &quotapb.Grants{
		StoreAgeMs: l.fleetStoreAge(now).Milliseconds(),
		Heard:      uint32(l.reporters.count(now)) + 1,
	}
}

// maxAmount is the greatest rate, depth or number of operations that is taken from another host.
const maxAmount = 1e12

// amount returns a number that another host has sent, or 0 if it is none from 0 to maxAmount.
// Numbers that are not finite would stay in the allocator's buckets.
func amount(f float64) float64 {
	if !(f >= 0 && f <= maxAmount) {
		return 0
	}
	return f
}

// limits returns the limits of the operators' accounts and of the internal accounts in a report.
func (l *Limiter) limits(accounts map[string]coltsfootloft.Account, lines []grant.Line) map[string]coltsfootloft.Account {
	if l.Internal == nil {
		return accounts
	}
	all := accounts
	for _, n := range lines {
		limit, ok := l.Internal(n.Account)
		if !ok {
			continue
		}
		if len(all) == len(accounts) {
			all = maps.Clone(accounts)
		}
		all[n.Account] = limit
	}
	return all
}

func (l *Limiter) grants(from string, r *quotapb.Report) []*quotapb.Grant {
	l.allocatorMu.Lock()
	defer l.allocatorMu.Unlock()
	v := l.Mirror.View()
	if v.Settings == nil {
		return nil
	}
	if since := l.Duty.Since(); since != l.allocatorSince {
		l.allocatorSince = since
		l.allocator = grant.Allocator{Started: since}
	}
	l.allocator.Deputies = l.recentDeputies()
	if !l.allocator.Accept(from, r.GetRun(), r.GetNumber()) {
		l.Log.Info("report is late", "host", from, "run", r.GetRun(), "number", r.GetNumber())
		return nil
	}
	lines := make([]grant.Line, 0, len(r.GetLines()))
	for _, n := range r.GetLines() {
		lines = append(lines, grant.Line{
			Account:   n.GetAccount(),
			Demand:    amount(n.GetDemand()),
			Held:      amount(n.GetHeld()),
			HeldBurst: amount(n.GetHeldBurst()),
			HeldFor:   time.Duration(min(max(n.GetHeldMs(), 0), grant.Validity.Milliseconds())) * time.Millisecond,
			Want:      amount(n.GetWant()),
			Unused:    amount(n.GetUnused()),
		})
	}
	report := l.allocator.Report
	if r.GetSome() {
		report = l.allocator.ReportSome
	}
	granted := report(l.Clock.Elapsed(), from, lines, v.HostNames(), l.limits(v.Settings.Accounts, lines))
	grants := make([]*quotapb.Grant, 0, len(granted))
	for _, x := range granted {
		grants = append(grants, &quotapb.Grant{
			Account: x.Account,
			Rate:    x.Rate,
			Burst:   x.Burst,
			Lent:    x.Lent,
		})
	}
	return grants
}
