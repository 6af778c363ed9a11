package grant_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/bucket"
	"coltsfootloft/core/grant"
	"coltsfootloft/core/lender"
)

const (
	calmFor      = 3 * second // before the fault, in which messages are counted
	reportEvery  = 800 * time.Millisecond
	lentFor      = 500 * time.Millisecond
	leaseFor     = 2 * second
	aheadSeconds = 0.3
)

// parts is a simulated fleet in which calls take no time.
type parts struct {
	trouble     trouble
	hasDeputies bool
	random      *rand.Rand
	now         time.Duration
	accounts    []*partAccount
	limits      map[string]coltsfootloft.Account
	hosts       []*partHost
	keepers     []*partKeeper
	waits       []waiting
	registered  []string
	known       map[string]string // deputies by shard and domain
	toKeepers   int
	toDeputies  int
}

// partKeeper is the keeper of one shard, and its former one while both act.
type partKeeper struct {
	host      int
	allocator *grant.Allocator
	lost      time.Duration // when it ends to act; 0 if it does not
	next      time.Duration // when another begins
}

// partHost is a host as package quota runs it.
type partHost struct {
	name     string
	number   int
	domain   int
	ended    bool
	accounts map[*partAccount]*partUse
	keeper   [partShards]*grant.Allocator // to which it reported last
	reports  time.Duration
}

type partUse struct {
	usage     lender.Usage
	bucket    bucket.Bucket
	rate      float64
	until     time.Duration
	lent      float64
	lentUntil time.Duration
	askAt     time.Duration
}

func newParts(c trouble, seed uint64, hasDeputies bool) *parts {
	f := &parts{
		trouble:     c,
		hasDeputies: hasDeputies,
		random:      rand.New(rand.NewPCG(seed, 7)),
		now:         partStart,
		known:       make(map[string]string),
	}
	f.accounts, f.limits = newPartAccounts(f.random)
	for i := range partHosts {
		f.hosts = append(f.hosts, &partHost{
			name:     fmt.Sprintf("h%03d", i),
			number:   i,
			domain:   i % partDomains,
			accounts: make(map[*partAccount]*partUse),
			reports:  partStart + time.Duration(f.random.Int64N(int64(reportEvery))),
		})
		f.registered = append(f.registered, f.hosts[i].name)
	}
	for i := range partShards {
		// Domain 2 has no keeper, and no keeper is a deputy.
		host := i%2 + partDomains*i
		for f.isDeputy(f.hosts[host].name) {
			host += partDomains * partShards
		}
		f.keepers = append(f.keepers, &partKeeper{
			host:      host,
			allocator: &grant.Allocator{Deputies: f.deputies(i)},
		})
	}
	return f
}

// deputies returns the deputies of a shard, by domain; of a domain without a registered host none.
func (f *parts) deputies(shard int) []string {
	var r []string
	for d := range partDomains {
		if name := f.deputy(shard, d); name != "" {
			r = append(r, name)
		}
	}
	return r
}

func (f *parts) isDeputy(name string) bool {
	for i := range partShards {
		if slices.Contains(f.deputies(i), name) {
			return true
		}
	}
	return false
}

func (f *parts) deputy(shard, domain int) string {
	if !f.hasDeputies {
		return ""
	}
	key := fmt.Sprint(shard, " ", domain)
	if name, ok := f.known[key]; ok {
		return name
	}
	var names []string
	for _, h := range f.hosts {
		if h.domain == domain && slices.Contains(f.registered, h.name) {
			names = append(names, h.name)
		}
	}
	f.known[key] = lender.Deputy(fmt.Sprint(shard), names, func(string) float64 { return 1 })
	return f.known[key]
}

// reaches reports whether the two hosts reach each other.
func (f *parts) reaches(a, b *partHost) bool {
	isCut := f.trouble.cut >= 0 && f.now >= partFault && f.now < partFault+f.trouble.cutFor
	return !a.ended && !b.ended && (!isCut || (a.domain == f.trouble.cut) == (b.domain == f.trouble.cut))
}

func (f *parts) run() {
	for ; f.now < partEnd; f.now += partStep {
		if f.now == partFault {
			f.fail()
		}
		f.changeKeepers()
		for _, h := range f.hosts {
			if f.now >= h.reports && !h.ended {
				h.reports += reportEvery
				f.reportAll(h)
			}
		}
		f.arrive()
		f.retry()
	}
}

// fail begins the trouble.
func (f *parts) fail() {
	c := f.trouble
	for i, k := range f.keepers {
		switch {
		case slices.Contains(c.keepers, i) && c.crash:
			f.hosts[k.host].ended = true
			k.lost = f.now
			k.next = f.now + leaseFor + election
		case slices.Contains(c.keepers, i), c.cut >= 0 && c.cutFor > leaseFor && f.hosts[k.host].domain == c.cut:
			k.lost = f.now + leaseFor
			k.next = f.now + leaseFor + election
		}
	}
	for i := range partShards {
		for _, h := range f.hosts {
			ends := c.deputies && h.domain == 2 || c.allDeputies
			h.ended = h.ended || ends && slices.Contains(f.deputies(i), h.name)
		}
	}
	if c.lower {
		for _, a := range f.accounts {
			a.rate /= 4
			a.burst /= 4
			f.limits[a.name] = coltsfootloft.NewAccount(a.name, a.rate, a.burst)
			a.single.Resize(bucket.At(f.now), a.rate, a.burst)
		}
	}
}

// changeKeepers ends keepers and begins others. Hosts that are lost are not registered any more
// once their lease has ended.
func (f *parts) changeKeepers() {
	if f.now == partFault+leaseFor {
		f.registered = nil
		maps.DeleteFunc(f.known, func(key string, _ string) bool {
			return !strings.HasSuffix(key, fmt.Sprint(" ", f.trouble.cut)) // its hosts receive no changes
		})
		for _, h := range f.hosts {
			if !h.ended && (f.trouble.cut != h.domain || f.trouble.cutFor <= leaseFor) {
				f.registered = append(f.registered, h.name)
			}
		}
	}
	for i, k := range f.keepers {
		if k.next == 0 || f.now < k.next {
			continue
		}
		recent := k.allocator.Deputies
		for k.next = 0; ; {
			k.host = f.random.IntN(partHosts)
			if slices.Contains(f.registered, f.hosts[k.host].name) && !f.hosts[k.host].ended {
				break
			}
		}
		k.lost = 0
		k.allocator = &grant.Allocator{
			Started:  f.now,
			Deputies: append(recent, f.deputies(i)...),
		}
		for _, h := range f.hosts { // all report to a new keeper at once
			f.report(h, i, true, nil)
		}
	}
}
