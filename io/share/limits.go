package share

import (
	"slices"
	"strconv"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/loan"
)

// Limits holds the settings that the limiter needs: limits, failure domains and queue.
type Limits struct {
	// Accounts have a rate and burst each.
	Accounts []coltsfootloft.Account
	// Groups name the databases and their connection limits.
	Groups []coltsfootloft.Group
	// Domains are the failure domains with hosts that accept callers.
	Domains []Domain
	// Queue bounds the wait for tokens; nil means the limiter's Wait and Waiters.
	Queue *Queue
}

// Queue bounds the wait for tokens of a rate.
type Queue struct {
	// Wait is the longest wait of a statement; with zero it is refused at once.
	Wait time.Duration
	// Waiters bounds the callers that wait for one account or database.
	Waiters int
}

// Domain is a failure domain. Every domain owns an equal part of each limit.
type Domain struct {
	// Name is the name of the failure domain.
	Name string
	// Seats is the number of seats between which its part is divided, at least 1;
	// usually the number of its hosts that accept callers.
	Seats int
}

// Configure applies new settings. It may be called at any time.
//
// Hosts take new settings at different times. A host's own part of a limit is at
// most the larger of the old and the new, and loans made under the old limit
// count against the new part, so the parts of all hosts never sum to more than
// the larger limit. A change that also moves an account to other owning seats takes
// effect in two steps: a seat owns the smaller of the two parts first, and the new
// part after 6 s, when all hosts have the settings.
func (l *Limiter) Configure(p Limits) {
	l.setup.Do(l.prepare)
	l.configure.Lock()
	l.limits = p
	l.queue.Store(p.Queue)
	l.configureAccounts(p.Accounts)
	l.configureDatabases(p.Groups)
	l.configure.Unlock()
	if l.Store == nil {
		l.ownAll()
		return
	}
	l.seats.configure(p.Domains)
	l.apply()
	l.Clock.AfterFunc(propagationTime, l.apply)
}

// prepare initializes the state that depends on the exported fields.
func (l *Limiter) prepare() {
	l.triggers = make(chan borrower, maxTriggers)
	l.batcher.limiter = l
	l.seats.limiter = l
	if l.Store != nil {
		l.seats.identify()
		l.Peers.Register(Duty, l.handle)
	}
}

func (l *Limiter) configureAccounts(all []coltsfootloft.Account) {
	old := load(&l.accounts)
	updated := make(map[string]*account, len(all))
	for _, a := range all {
		e, known := old[a.Name()]
		if !known {
			e = &account{
				limiter:    l,
				name:       a.Name(),
				startsFull: old == nil,
			}
		}
		e.mutex.Lock()
		e.configure(l.Clock.Now(), a, l.ownersOf("account/"+a.Name(), a.Burst()))
		e.mutex.Unlock()
		updated[a.Name()] = e
	}
	l.accounts.Store(&updated)
}

func (l *Limiter) configureDatabases(groups []coltsfootloft.Group) {
	old := load(&l.databases)
	updated := make(map[string]*database)
	for _, g := range groups {
		for _, u := range g.Upstreams() {
			d, known := old[u.Name()]
			if !known {
				d = &database{
					limiter: l,
					name:    u.Name(),
				}
			}
			d.mutex.Lock()
			d.limit = g.Connections()
			d.owners = l.ownersOf("database/"+u.Name(), float64(g.Connections()))
			d.mutex.Unlock()
			updated[u.Name()] = d
		}
	}
	l.databases.Store(&updated)
}

// owningSeats lists the seats of one failure domain that own the domain's part of a
// limit.
type owningSeats struct {
	domain string
	seats  []int
}

// ownersOf returns the owning seats of a limit in every failure domain. A small
// burst is divided between fewer seats, so that each can accumulate a few whole
// tokens.
func (l *Limiter) ownersOf(name string, burst float64) []owningSeats {
	r := make([]owningSeats, 0, len(l.limits.Domains))
	n := int(burst / float64(minPerSeat*len(l.limits.Domains)))
	n = max(min(n, l.maxOwners()), 1)
	for _, d := range l.limits.Domains {
		r = append(r, owningSeats{
			domain: d.Name,
			seats:  loan.OwningSeats(name, d.Name, d.Seats, n),
		})
	}
	return r
}

// ownedRate returns the part of an account that a seat owns.
func ownedRate(a coltsfootloft.Account, owners []owningSeats, domain string, n int) loan.Part {
	for _, h := range owners {
		if h.domain == domain && slices.Contains(h.seats, n) {
			whole := loan.NewPart(a.Rate(), a.Burst())
			return whole.Scale(1 / float64(len(owners)*len(h.seats)))
		}
	}
	return loan.Part{}
}

// ownedRights returns how many of a database's connections the held seats own.
func ownedRights(name string, limit int, owners []owningSeats, domain string, held []int) int {
	domains := make([]string, len(owners))
	for i, h := range owners {
		domains[i] = h.domain
	}
	i := slices.Index(domains, domain)
	if i < 0 {
		return 0
	}
	seats := make([]string, len(owners[i].seats))
	for j, n := range owners[i].seats {
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

// ownAll assigns all limits entirely to this host, which is the only one.
func (l *Limiter) ownAll() {
	now := l.Clock.Now()
	end := now.Add(forever)
	for _, e := range load(&l.accounts) {
		e.ownWhole(now, end)
	}
	for _, d := range load(&l.databases) {
		d.own(d.limit, end)
	}
}

// apply updates what this host owns of every limit from the seats that it may use now.
func (l *Limiter) apply() {
	l.configure.Lock()
	defer l.configure.Unlock()
	now := l.Clock.Now()
	u := l.seats.activate(now)
	for _, e := range load(&l.accounts) {
		e.own(now, u)
	}
	for _, d := range load(&l.databases) {
		d.own(ownedRights(d.name, d.limit, d.owners, u.domain, u.seats), u.until)
	}
}
