package quota

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"coltsfootloft/core/bucket"
	"coltsfootloft/core/grant"
	"coltsfootloft/core/lender"
	"coltsfootloft/io/decode"
	"coltsfootloft/io/lease"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
	"coltsfootloft/io/quota/quotapb"
)

const (
	// loanTimeout bounds a call to the deputy, which is in the same failure domain: operations
	// wait for 29 ms at least, and the keeper has to be asked after a deputy that is lost.
	loanTimeout = 50 * time.Millisecond
	// deputySilence is how long a deputy that did not answer is not asked again.
	deputySilence = 500 * time.Millisecond
	// maxUnstated bounds how many operations more than it asks for a host attributes to the deputy
	// at a time; what was lent ahead and used is attributed with the next request.
	maxUnstated = 1000
	// deputyMemory is how long a former deputy may still hold grants: until its registration ended
	// with its lease, and for the validity of a grant.
	deputyMemory = lease.TTL + grant.Validity
)

// deputy is what a host knows of the deputies of one shard.
type deputy struct {
	name        string // of this host's domain; empty if there is none or it is the host itself
	isSelf      bool
	silentUntil time.Duration
	version     uint64                   // of the hosts in the view from which the deputies follow
	current     []string                 // of all domains
	recent      map[string]time.Duration // when each was last current
	retired     bool                     // the host was a deputy, and has not reported since
	wake        chan struct{}
}

// exists reports whether the host's domain has a deputy.
func (d *deputy) exists() bool { return d.name != "" || d.isSelf }

// isAsked reports whether the deputy is asked before the keeper.
func (d *deputy) isAsked(now time.Duration) bool { return d.name != "" && now >= d.silentUntil }

func (l *Limiter) loanDuty() string { return l.Duty.Name + "-deputy" }

// updateDeputies follows the hosts of the view.
func (l *Limiter) updateDeputies() {
	v := l.Mirror.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	d := &l.deputy
	if d.recent == nil || v.HostsVersion != d.version {
		d.version = v.HostsVersion
		wasSelf := d.isSelf
		d.name, d.current = deputies(v, l.Duty.Name, l.Duty.Self)
		d.isSelf = d.name == l.Duty.Self && d.name != ""
		if d.isSelf {
			d.name = ""
		}
		if wasSelf && !d.isSelf {
			l.retire()
		}
		d.silentUntil = 0
		if d.recent == nil {
			d.recent = make(map[string]time.Duration)
		}
	}
	for _, name := range d.current {
		d.recent[name] = now
	}
	maps.DeleteFunc(d.recent, func(_ string, at time.Duration) bool { return now-at > deputyMemory })
}

// retire gives up the grants of a host that is no deputy any more: nobody borrows of them, and the keeper
// counts them as in use until they expire, unless the next report says that they are not. mu is held.
func (l *Limiter) retire() {
	l.deputy.retired = true
	for _, a := range l.accounts {
		if a.rate > 0 {
			a.isGivenUp = true
		}
		a.rate = 0
		a.validUntil = 0
	}
}

// hasRetired reports whether the host has to report that it has given up its grants.
func (l *Limiter) hasRetired() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	retired := l.deputy.retired
	l.deputy.retired = false
	return retired
}

// deputies returns the deputy for a shard in the domain of a host, and those in all domains.
func deputies(v *mirror.View, shard, self string) (mine string, all []string) {
	domains := make(map[string][]string)
	for _, name := range v.HostNames() {
		domain := v.Hosts[name].Domain
		domains[domain] = append(domains[domain], name)
	}
	for domain, hosts := range domains {
		name := lender.Deputy(shard, hosts, v.SizeOf)
		if name == "" {
			continue
		}
		all = append(all, name)
		if h, ok := v.Hosts[self]; ok && h.Domain == domain {
			mine = name
		}
	}
	return mine, all
}

// recentDeputies returns the hosts that are or were lately deputies.
func (l *Limiter) recentDeputies() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.deputy.recent))
}

// runBorrower asks the deputy for operations until ctx ends. It is apart from the reports to
// the keeper, as these wait while the keeper does not answer.
func (l *Limiter) runBorrower(ctx context.Context) {
	for ctx.Err() == nil {
		pause.Until(ctx, l.deputy.wake, l.untilLoan())
		l.borrow(ctx)
	}
}

// untilLoan returns how long until the deputy is to be asked, at most maxBucketWait.
func (l *Limiter) untilLoan() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	wait := maxBucketWait
	if l.deputy.name == "" {
		return wait
	}
	for _, a := range l.accounts {
		if a.wanted(now) > 0 {
			wait = min(wait, max(a.deputyAt-now, l.deputy.silentUntil-now, minBucketWait))
		}
	}
	return wait
}

// borrow asks the deputy for the accounts that are short of operations, and has the keeper asked for
// those of which the deputy has none.
func (l *Limiter) borrow(ctx context.Context) {
	sent := l.Clock.Elapsed()
	name, request := l.buildLoanRequest(sent)
	if len(request.GetLines()) == 0 {
		return
	}
	loans, err := l.callDeputy(ctx, name, request)
	l.mu.Lock()
	if err != nil {
		l.deputy.silentUntil = l.Clock.Elapsed() + deputySilence
		l.Log.V(1).Info("deputy does not answer", "deputy", name, "reason", err.Error())
		for _, x := range request.GetLines() {
			if a := l.accounts[x.GetAccount()]; a != nil {
				a.usage.Restore(x.GetOperations())
			}
		}
	} else {
		l.applyLoans(sent, request, loans)
	}
	l.mu.Unlock()
	if l.untilShort() == 0 {
		select {
		case l.urgent <- struct{}{}:
		default:
		}
	}
}

// buildLoanRequest returns the request to the deputy, without lines if there is nothing to ask or nobody.
func (l *Limiter) buildLoanRequest(now time.Duration) (deputy string, r *quotapb.LoanRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r = &quotapb.LoanRequest{}
	if !l.deputy.isAsked(now) {
		return "", r
	}
	for name, a := range l.accounts {
		want := a.wanted(now)
		if want == 0 || now < a.deputyAt {
			continue
		}
		r.Lines = append(r.Lines, &quotapb.LoanLine{
			Account:    name,
			Want:       want,
			Operations: a.usage.Attribute(),
		})
	}
	return l.deputy.name, r
}

func (l *Limiter) callDeputy(ctx context.Context, name string, r *quotapb.LoanRequest) (*quotapb.Loans, error) {
	b, err := proto.Marshal(r)
	if err != nil { // the name of an account is not UTF-8
		return nil, errors.Wrap(err, "loan request")
	}
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	b, err = l.Peers.Call(ctx, name, l.loanDuty(), b)
	if err != nil {
		return nil, err
	}
	var loans quotapb.Loans
	return &loans, errors.Wrap(decode.Message(b, &loans), "loans")
}

// applyLoans adds what the deputy lent; mu is held.
func (l *Limiter) applyLoans(sent time.Duration, r *quotapb.LoanRequest, loans *quotapb.Loans) {
	now := l.Clock.Elapsed()
	for _, x := range r.GetLines() {
		if a := l.accounts[x.GetAccount()]; a != nil {
			a.deputyAt = now + minUrgentPeriod
		}
	}
	for _, x := range loans.GetLoans() {
		a := l.accounts[x.GetAccount()]
		if a == nil {
			continue
		}
		l.addLent(a, sent, amount(x.GetLent()), byDeputy)
		if a.wanted(now) == 0 {
			a.deputyAt = 0
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// addLent adds operations that were asked for at the time sent, and lent; mu is held.
func (l *Limiter) addLent(a *account, sent time.Duration, lent float64, by string) {
	if lent <= 0 {
		return
	}
	a.lent.Add(lent, sent+admitLifetime)
	a.wasLent = true
	l.countLent(by, lent)
}

// handleLoan lends operations of this host's own grants to another host of its failure domain.
func (l *Limiter) handleLoan(_ context.Context, from string, body []byte) ([]byte, error) {
	var r quotapb.LoanRequest
	if err := decode.Message(body, &r); err != nil {
		return nil, errors.Wrap(err, "loan request")
	}
	b, err := proto.Marshal(l.lend(from, &r))
	return b, errors.Wrap(err, "loans")
}

func (l *Limiter) lend(from string, r *quotapb.LoanRequest) *quotapb.Loans {
	loans := &quotapb.Loans{}
	v := l.Mirror.View()
	borrower, ok := v.Hosts[from]
	if !ok || v.Settings == nil || borrower.Domain != v.Hosts[l.Duty.Self].Domain {
		return loans
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Elapsed()
	for _, x := range r.GetLines() {
		if _, ok := v.Settings.Accounts[x.GetAccount()]; !ok {
			continue
		}
		a := l.account(x.GetAccount())
		a.usage.AddOf(min(amount(x.GetOperations()), amount(x.GetWant())+maxUnstated))
		if now >= a.validUntil {
			continue
		}
		a.expire(now)
		lent := lender.Lend(amount(x.GetWant()), a.bucket.Available(bucket.At(now)), float64(a.waiting))
		loans.Loans = append(loans.Loans, &quotapb.Loan{
			Account: x.GetAccount(),
			Lent:    a.bucket.Debit(bucket.At(now), lent),
		})
	}
	return loans
}
