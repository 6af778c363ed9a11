package grant_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"coltsfootloft/core/bucket"
	"coltsfootloft/core/grant"
	"coltsfootloft/core/lender"
)

func (f *parts) reportAll(h *partHost) {
	for a := range h.accounts {
		h.accounts[a].usage.Average(reportEvery.Seconds())
	}
	for i, k := range f.keepers {
		lines := f.lines(h, i, nil)
		if f.hasDeputies && i > 0 && len(lines) == 0 && h.keeper[i] == k.allocator {
			continue
		}
		f.report(h, i, true, nil)
	}
}

func (f *parts) lines(h *partHost, shard int, only *partAccount) []grant.Line {
	var lines []grant.Line
	for _, a := range f.accounts {
		u := h.accounts[a]
		if u == nil || a.shard != shard || only != nil && only != a {
			continue
		}
		l := grant.Line{
			Account: a.name,
			Demand:  u.usage.Demand(),
		}
		if f.hasDeputies {
			l.Demand = u.usage.Reported()
		}
		if f.now < u.until {
			l.Held = u.rate
			l.HeldBurst = u.bucket.Burst()
			l.HeldFor = u.until - f.now
		}
		if f.hasDeputies && only == nil && l.Demand == 0 && l.Held == 0 {
			continue
		}
		if only != nil {
			l.Want = 1 + math.Floor(u.usage.Demand()*aheadSeconds)
		}
		lines = append(lines, l)
	}
	return lines
}

// report reports to the keeper of a shard: all accounts, or only one that is short of operations. It returns
// whether the keeper answered.
func (f *parts) report(h *partHost, shard int, all bool, only *partAccount) bool {
	k := f.keepers[shard]
	if f.now >= partFault-calmFor && f.now < partFault {
		f.toKeepers++
	}
	if k.lost != 0 && f.now >= k.lost || !f.reaches(h, f.hosts[k.host]) {
		return false
	}
	send := k.allocator.ReportSome
	if all {
		send = k.allocator.Report
		h.keeper[shard] = k.allocator
	}
	for _, g := range send(f.now, h.name, f.lines(h, shard, only), f.registered, f.limits) {
		u := h.use(f.account(g.Account), f.now)
		u.bucket.Resize(bucket.At(f.now), g.Rate, g.Burst)
		u.rate = g.Rate
		u.until = f.now + grant.Validity
		u.lend(f.now, g.Lent)
	}
	return true
}

func (f *parts) account(name string) *partAccount {
	i := slices.IndexFunc(f.accounts, func(a *partAccount) bool { return a.name == name })
	return f.accounts[i]
}

func (h *partHost) use(a *partAccount, now time.Duration) *partUse {
	u := h.accounts[a]
	if u == nil {
		u = &partUse{bucket: bucket.New(0, 0, bucket.At(now))}
		h.accounts[a] = u
	}
	return u
}

func (u *partUse) lend(now time.Duration, n float64) {
	if now >= u.lentUntil {
		u.lent = 0
	}
	if n > 0 {
		u.lent += n
		u.lentUntil = now + lentFor
	}
}

// take takes an operation that was lent, or one of the host's own bucket.
func (u *partUse) take(now time.Duration) (fromBucket, ok bool) {
	if now < u.lentUntil && u.lent >= 1 {
		u.lent--
		return false, true
	}
	if now < u.until && u.bucket.Take(bucket.At(now), 1) {
		return true, true
	}
	return false, false
}

// borrow asks the deputy, and the keeper if that lends nothing.
func (f *parts) borrow(h *partHost, a *partAccount, u *partUse) {
	if f.now < u.askAt {
		return
	}
	if f.borrowOfDeputy(h, a, u) {
		return
	}
	u.askAt = f.now + askPause
	f.report(h, a.shard, false, a)
	if u.lent >= 1 {
		u.askAt = 0
	}
}

// borrowOfDeputy reports whether the deputy of the host's domain lent operations.
func (f *parts) borrowOfDeputy(h *partHost, a *partAccount, u *partUse) bool {
	name := f.deputy(a.shard, h.domain)
	if name == "" || name == h.name {
		return false
	}
	if f.now < partFault {
		f.toDeputies++
	}
	d := f.hosts[slices.IndexFunc(f.hosts, func(x *partHost) bool { return x.name == name })]
	if !f.reaches(h, d) {
		return false
	}
	du := d.use(a, f.now)
	du.usage.AddOf(u.usage.Attribute())
	available := 0.0
	if f.now < du.until {
		available = du.bucket.Available(bucket.At(f.now))
	}
	lent := lender.Lend(1+math.Floor(u.usage.Demand()*aheadSeconds), available, 0)
	du.bucket.Debit(bucket.At(f.now), lent)
	u.lend(f.now, lent)
	return lent > 0
}

// arrive has operations begin at random hosts.
func (f *parts) arrive() {
	for _, a := range f.accounts {
		demand := a.rate / 1.6
		if f.trouble.lower && f.now >= partFault {
			demand *= 4
		}
		for range poisson(f.random, demand*partStep.Seconds()) {
			h := f.hosts[f.random.IntN(partHosts)]
			for h.ended || f.trouble.move && (h.domain == 1 && f.now < partFault || h.domain == 0 && f.now >= partFault) {
				h = f.hosts[f.random.IntN(partHosts)]
			}
			f.admit(a, h)
		}
	}
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for p := random.Float64(); p > math.Exp(-mean); p *= random.Float64() {
		n++
	}
	return n
}

func (f *parts) admit(a *partAccount, h *partHost) {
	w := waiting{
		account: a,
		host:    h.number,
		until:   f.now + maxWait,
		within:  a.single.Take(bucket.At(f.now), 1),
		counted: f.now >= partFault && f.now < partFault+partWatch,
	}
	if w.counted {
		a.total++
	}
	u := h.use(a, f.now)
	fromBucket, ok := u.take(f.now)
	u.usage.Add(fromBucket)
	if ok {
		a.taken = append(a.taken, f.now)
		return
	}
	f.waits = append(f.waits, w)
}

// retry asks for the operations that wait, and gives up on those that waited long enough.
func (f *parts) retry() {
	f.waits = slices.DeleteFunc(f.waits, func(w waiting) bool {
		h := f.hosts[w.host]
		u := h.use(w.account, f.now)
		if _, ok := u.take(f.now); !ok {
			f.borrow(h, w.account, u)
			if _, ok := u.take(f.now); !ok {
				return f.refuse(w)
			}
		}
		w.account.taken = append(w.account.taken, f.now)
		return true
	})
}

// refuse reports whether the operation has waited long enough.
func (f *parts) refuse(w waiting) bool {
	if f.now < w.until {
		return false
	}
	if w.counted {
		w.account.refused++
		if w.within {
			w.account.within++
		}
	}
	return true
}
