package quota

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/quota/quotapb"
)

// report reports the demand to the keeper and applies its grants; onlyShort leaves out
// the accounts that are not short of operations.
func (l *Limiter) report(ctx context.Context, onlyShort bool) {
	sent := l.Clock.Elapsed()
	r := l.buildReport(sent, onlyShort)
	l.describe(r)
	duty := l.Mirror.View().Duties[l.Duty.Name]
	keeper, ok := l.Duty.Holder()
	if ok && !onlyShort && l.mayLeaveOut(r, duty) {
		return
	}
	if !ok {
		l.noteKeeperSilent("no host holds the quota duty")
		return
	}
	b, err := proto.Marshal(r)
	if err != nil { // the name of an account is not UTF-8
		l.noteKeeperSilent(err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err = l.Peers.Call(ctx, keeper, l.Duty.Name, b)
	var g quotapb.Grants
	if err == nil {
		err = proto.Unmarshal(b, &g)
	}
	if err == nil {
		l.mu.Lock()
		l.observeNews(sent, &g)
		l.mu.Unlock()
	}
	if err == nil && !g.GetKeeper() {
		err = errors.Errorf("%s is not the quota keeper", keeper)
	}
	if err != nil {
		l.noteKeeperSilent(err.Error())
		return
	}
	l.applyGrants(sent, &g)
	if !onlyShort {
		l.lastKeeper = duty
	}
}

// describe adds to a report what it says of this host.
func (l *Limiter) describe(r *quotapb.Report) {
	fresh := l.Mirror.Freshness()
	l.reports++
	r.Run = l.run
	r.Number = l.reports
	if l.StoreAge != nil {
		r.StoreAgeMs = proto.Int64(l.StoreAge().Milliseconds())
	}
	r.StoreEra = coltsfootloft.EraOf(fresh.Revision)
	r.StoreRevision = coltsfootloft.NumberOf(fresh.Revision)
	r.SettingsEra = coltsfootloft.EraOf(fresh.SettingsRevision)
	r.SettingsRevision = coltsfootloft.NumberOf(fresh.SettingsRevision)
	r.SettingsVersion = fresh.SettingsVersion
	r.Evacuations = encodeEvacuations(fresh.Domains, false)
}

// mayLeaveOut reports whether a report of all accounts would tell the keeper nothing: it holds
// none, as the deputy reports them, and the keeper has had one.
func (l *Limiter) mayLeaveOut(r *quotapb.Report, keeper mirror.Duty) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deputy.exists() && !l.ReportsAlways && len(r.GetLines()) == 0 && l.lastKeeper == keeper
}

// buildReport returns the report for the accounts used recently, and updates their
// demand.
func (l *Limiter) buildReport(now time.Duration, onlyShort bool) *quotapb.Report {
	pause := urgentPause(l.Mirror.View(), l.Duty.Name)
	l.mu.Lock()
	defer l.mu.Unlock()
	period := max((now - l.lastReport).Seconds(), minUrgentPeriod.Seconds())
	fullPeriod := !onlyShort && now-l.lastReport >= reportPeriod/2
	r := &quotapb.Report{Some: onlyShort}
	for name, a := range l.accounts {
		if now-a.lastUsed > accountRetention && now >= a.validUntil {
			delete(l.accounts, name)
			continue
		}
		if fullPeriod {
			a.usage.Average(period)
		}
		isShort := a.isShort(now, l.deputy.isAsked(now))
		if onlyShort && !isShort {
			continue
		}
		line := a.line(name, now, l.deputy.exists())
		if isShort {
			line.Want = a.wanted(now)
			a.askAt = now + pause
		}
		isGivenUp := a.isGivenUp
		a.isGivenUp = false
		if l.deputy.exists() && !isGivenUp && line.GetDemand() == 0 && line.GetHeld() == 0 && line.GetWant() == 0 {
			continue
		}
		a.expire(now)
		line.Unused = a.unused
		a.unused = 0
		r.Lines = append(r.Lines, line)
	}
	if fullPeriod {
		l.lastReport = now
	}
	return r
}

// line returns the account's line of a report. If the domain has a deputy, that reports the
// demand which is attributed to it.
func (a *account) line(name string, now time.Duration, hasDeputy bool) *quotapb.Line {
	line := &quotapb.Line{
		Account: name,
		Demand:  a.usage.Demand(),
	}
	if hasDeputy {
		line.Demand = a.usage.Reported()
	}
	if now < a.validUntil {
		line.Held = a.rate
		line.HeldBurst = a.bucket.Burst()
		line.HeldMs = (a.validUntil - now).Milliseconds() + 1
	}
	return line
}
