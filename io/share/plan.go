package share

import (
	"slices"
	"strconv"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/loan"
)

// Plan is the part of the settings that the ledger needs.
type Plan struct {
	// Accounts have a rate and burst each.
	Accounts []coltsfootloft.Account
	// Groups name the databases and their connection limits.
	Groups []coltsfootloft.Group
	// Domains are the failure domains that have entry hosts.
	Domains []Domain
	// Queue bounds the waiting for tokens; nil leaves it to the ledger's fields.
	Queue *Queue
}

// Queue bounds the waiting for tokens of a rate.
type Queue struct {
	// Wait is the longest wait of a statement; zero refuses at once.
	Wait time.Duration
	// Waiters is the most waiters of one account or database.
	Waiters int
}

// Domain is a failure domain. Every domain owns an equal part of each limit.
type Domain struct {
	// Name is the failure domain.
	Name string
	// Seats is the number of seats its part is divided between, at least 1:
	// usually the number of its entry hosts.
	Seats int
}

// Configure takes new settings into force. It may be called at any time.
//
// Hosts take new settings at different times. A host's own part of a limit is at
// most the larger of the old and the new, and loans made under the old limit
// count against the new part, so the parts of all hosts never sum to more than
// the larger limit. A change that also moves the home seats of an account takes
// effect at a seat in two steps: first the smaller of the two parts, and the new
// one after 6 s, when all hosts have the settings.
func (l *Ledger) Configure(p Plan) {
	l.register.Do(l.start)
	l.configure.Lock()
	l.plan = p
	l.queue.Store(p.Queue)
	l.configureAccounts(p.Accounts)
	l.configureDatabases(p.Groups)
	l.configure.Unlock()
	if l.Store == nil {
		l.ownAll()
		return
	}
	l.seating.configure(p.Domains)
	l.apply()
	l.Clock.AfterFunc(changeTime, l.apply)
}

// start prepares what needs the exported fields.
func (l *Ledger) start() {
	l.kicks = make(chan borrower, maxKicks)
	l.lenders.ledger = l
	l.seating.ledger = l
	if l.Store != nil {
		l.seating.start()
		l.Peers.Register(Duty, l.handle)
	}
}

func (l *Ledger) configureAccounts(all []coltsfootloft.Account) {
	old := load(&l.accounts)
	fresh := make(map[string]*account, len(all))
	for _, a := range all {
		e, known := old[a.Name()]
		if !known {
			e = &account{
				ledger: l,
				first:  old == nil,
			}
		}
		e.mutex.Lock()
		e.configure(l.Clock.Now(), a, l.homesOf("account/"+a.Name(), a.Burst()))
		e.mutex.Unlock()
		fresh[a.Name()] = e
	}
	l.accounts.Store(&fresh)
}

func (l *Ledger) configureDatabases(groups []coltsfootloft.Group) {
	old := load(&l.databases)
	fresh := make(map[string]*database)
	for _, g := range groups {
		for _, u := range g.Upstreams() {
			d, known := old[u.Name()]
			if !known {
				d = &database{
					ledger: l,
					name:   u.Name(),
				}
			}
			d.mutex.Lock()
			d.limit = g.Connections()
			d.homes = l.homesOf("database/"+u.Name(), float64(g.Connections()))
			d.mutex.Unlock()
			fresh[u.Name()] = d
		}
	}
	l.databases.Store(&fresh)
}

// home is the seats of one domain that own a limit's part of the domain.
type home struct {
	domain string
	seats  []int
}

// homesOf returns the home seats of a limit. A small burst has fewer, so that each
// can gather a few whole tokens.
func (l *Ledger) homesOf(name string, burst float64) []home {
	r := make([]home, 0, len(l.plan.Domains))
	n := int(burst / float64(leastAtHome*len(l.plan.Domains)))
	n = max(min(n, l.homes()), 1)
	for _, d := range l.plan.Domains {
		r = append(r, home{
			domain: d.Name,
			seats:  loan.OwningSeats(name, d.Name, d.Seats, n),
		})
	}
	return r
}

// ownRate is the part of an account that a seat owns.
func ownRate(a coltsfootloft.Account, homes []home, domain string, n int) loan.Part {
	for _, h := range homes {
		if h.domain == domain && slices.Contains(h.seats, n) {
			whole := loan.NewPart(a.Rate(), a.Burst())
			return whole.Scale(1 / float64(len(homes)*len(h.seats)))
		}
	}
	return loan.Part{}
}

// ownRights is the number of a database's connections that these seats own.
func ownRights(name string, limit int, homes []home, domain string, held []int) int {
	domains := make([]string, len(homes))
	for i, h := range homes {
		domains[i] = h.domain
	}
	i := slices.Index(domains, domain)
	if i < 0 {
		return 0
	}
	seats := make([]string, len(homes[i].seats))
	for j, n := range homes[i].seats {
		seats[j] = strconv.Itoa(n)
	}
	part := loan.Split(name, limit, domains)[domain]
	shares := loan.Split(name+"/"+domain, part, seats)
	sum := 0
	for _, n := range held {
		sum += shares[strconv.Itoa(n)]
	}
	return sum
}

// ownAll gives all limits to this host, which is the only one.
func (l *Ledger) ownAll() {
	now := l.Clock.Now()
	end := now.Add(forever)
	for _, e := range load(&l.accounts) {
		e.ownWhole(now, end)
	}
	for _, d := range load(&l.databases) {
		d.own(d.limit, end)
	}
}

// apply gives the parts of the seats that this host may use now to all limits.
func (l *Ledger) apply() {
	l.configure.Lock()
	defer l.configure.Unlock()
	now := l.Clock.Now()
	u := l.seating.use(now)
	for _, e := range load(&l.accounts) {
		e.own(now, u)
	}
	for _, d := range load(&l.databases) {
		d.own(ownRights(d.name, d.limit, d.homes, u.domain, u.seats), u.until)
	}
}
