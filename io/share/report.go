package share

import (
	"coltsfootloft/core/loan"
	"coltsfootloft/core/seat"
)

// AccountStatus is the state of an account on this host, for status reports.
type AccountStatus struct {
	part    loan.Part
	tokens  float64
	waiting int
}

// Rate is this host's present part of the rate, in statements per second.
func (s AccountStatus) Rate() float64 { return s.part.Rate() }

// Tokens is the number of tokens that can be taken now.
func (s AccountStatus) Tokens() float64 { return s.tokens }

// Waiting is the number of statements that wait for tokens.
func (s AccountStatus) Waiting() int { return s.waiting }

// AccountStatus returns the state of an account on this host, for status reports. It is
// zero for an unknown account.
func (l *Limiter) AccountStatus(name string) AccountStatus {
	e, ok := load(&l.accounts)[name]
	if !ok {
		return AccountStatus{}
	}
	now := l.Clock.Now()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return AccountStatus{
		part:    e.rate.Held(now),
		tokens:  e.rate.Available(now),
		waiting: len(e.waiters),
	}
}

// HeldConnections returns how many connections of a database this host may hold now, for
// status reports. It is zero for an unknown database.
func (l *Limiter) HeldConnections(name string) int {
	d, ok := load(&l.databases)[name]
	if !ok {
		return 0
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.rights.Held(l.Clock.Now())
}

// SeatHolder returns the name of the host that holds a seat of a failure domain, or ""
// if this host knows of none.
func (l *Limiter) SeatHolder(domain string, number int) string {
	if l.Store == nil {
		return ""
	}
	return l.seats.holder(domain, number)
}

// StoreReachable reports whether this host's latest call of the store was answered,
// less than [seat.LeaseTime] ago.
func (l *Limiter) StoreReachable() bool {
	if l.Store == nil {
		return false
	}
	s := &l.seats
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reached.After(s.failed) && l.Clock.Since(s.reached) < seat.LeaseTime
}
