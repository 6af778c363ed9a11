package share

import (
	"coltsfootloft/core/loan"
	"coltsfootloft/core/seat"
)

// Standing is an account's part on this host, for status reports.
type Standing struct {
	part    loan.Part
	tokens  float64
	waiting int
}

// Rate is this host's present part of the rate, in statements per second.
func (s Standing) Rate() float64 { return s.part.Rate() }

// Tokens is how many statements may run at once now.
func (s Standing) Tokens() float64 { return s.tokens }

// Waiting is the number of statements that wait for tokens.
func (s Standing) Waiting() int { return s.waiting }

// Standing returns an account's part on this host, for status reports.
func (l *Ledger) Standing(name string) Standing {
	e, ok := load(&l.accounts)[name]
	if !ok {
		return Standing{}
	}
	now := l.Clock.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return Standing{
		part:    e.rate.Held(now),
		tokens:  e.rate.Available(now),
		waiting: len(e.waiters),
	}
}

// Rights returns how many connections of a database this host may hold now, for
// status reports.
func (l *Ledger) Rights(name string) int {
	d, ok := load(&l.databases)[name]
	if !ok {
		return 0
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.rights.Held(l.Clock.Now())
}

// Holder names the host that holds a seat of a domain, as far as is known here;
// empty if none is known.
func (l *Ledger) Holder(domain string, number int) string {
	if l.Store == nil {
		return ""
	}
	return l.seating.holder(domain, number)
}

// StoreReachable reports whether the store's newest answer to this host is a good
// one and younger than a lease.
func (l *Ledger) StoreReachable() bool {
	if l.Store == nil {
		return false
	}
	s := &l.seating
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reached.After(s.failed) && l.Clock.Since(s.reached) < seat.LeaseTime
}
