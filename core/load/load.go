// Package load keeps what the owners of connections report of the load of databases.
//
// A report comes with each response of an owner and describes the queue of that owner.
// It is trusted for a second. The time for the way to an owner is measured by each
// response, and kept for longer.
package load

import (
	"time"

	"coltsfootloft/core/gate"
)

const (
	// trusted is the age up to which a report is used.
	trusted = time.Second
	// kept is how long the round trip to an owner is kept without responses.
	kept = time.Minute
	// spread is the part by which estimates are varied in the choice of a database. With
	// 0.6, a database with four times the expected time of another is still never chosen.
	spread = 0.6
	// tripWeight is the weight of a new observation in the mean round trip.
	tripWeight = 0.2
)

// Report is the load of a database as one owner of connections sees it.
type Report struct {
	// Waiting and Running count the statements at the owner's gate, Capacity its permits.
	Waiting, Running, Capacity int
	// Service is the mean time for which a statement has its permit, Work the part of it in
	// which the database does not make it wait.
	Service, Work time.Duration
	// Waits holds the expected wait for a permit, by level of priority.
	Waits [gate.Levels]time.Duration
	// Free is how many statements per second of other failure domains the database could
	// serve, including those that it serves already, if its other owners have as much free.
	Free float64
}

// Wait returns the expected wait of a statement with a priority, for a permit and in the
// database.
func (r *Report) Wait(priority int) time.Duration {
	return r.Waits[min(max(priority, 0), gate.Levels-1)] + max(r.Service-r.Work, 0)
}

// turn returns the time between two statements that the owner begins under load.
func (r *Report) turn() time.Duration {
	if r.Running < r.Capacity {
		return 0
	}
	return r.Service / time.Duration(max(r.Capacity, 1))
}

// Estimate is what a statement at a database is expected to take.
type Estimate struct {
	// Wait is the time before it runs, Work the time for which it runs, and RoundTrip the
	// time for the way to the owner of the connection and back.
	Wait, Work, RoundTrip time.Duration
	// Free is that of the report.
	Free float64
}

// EstimateOf returns the estimate from a report of the host itself.
func EstimateOf(r Report, priority int) Estimate {
	return Estimate{
		Wait: r.Wait(priority),
		Work: r.Work,
		Free: r.Free,
	}
}

// Total returns the expected time until the answer.
func (e Estimate) Total() time.Duration { return e.Wait + e.Work + e.RoundTrip }

// Spread returns Total with the wait and the work varied by spread to either side. random is drawn
// from 0 to 1. Hosts that decide by the same reports thus don't all choose the same database.
func (e Estimate) Spread(random float64) time.Duration {
	return e.RoundTrip + time.Duration(float64(e.Wait+e.Work)*(1+spread*(2*random-1)))
}

// Table holds the reports that one host has received. The zero value is ready to use. It is
// not safe for concurrent use.
type Table struct {
	entries map[string]map[string]*entry // by database and owner
	sweepAt time.Duration
}

type entry struct {
	report    Report
	at        time.Duration
	sent      int // statements sent since the report
	roundTrip time.Duration
	tripKnown bool
}

// Sent counts a statement that was sent to an owner. Reports of the owner that are already
// on the way don't count it.
func (t *Table) Sent(database, owner string) {
	if e := t.entries[database][owner]; e != nil {
		e.sent++
	}
}

// Add records a report that arrived at now, with the measured time for the way to the owner
// and back.
func (t *Table) Add(now time.Duration, database, owner string, r Report, roundTrip time.Duration) {
	t.sweep(now)
	if t.entries == nil {
		t.entries = make(map[string]map[string]*entry)
	}
	if t.entries[database] == nil {
		t.entries[database] = make(map[string]*entry)
	}
	e := t.entries[database][owner]
	if e == nil {
		e = &entry{}
		t.entries[database][owner] = e
	}
	e.report = r
	e.at = now
	e.sent = 0
	roundTrip = max(roundTrip, 0)
	if !e.tripKnown {
		e.tripKnown = true
		e.roundTrip = roundTrip
	}
	e.roundTrip += time.Duration(tripWeight * float64(roundTrip-e.roundTrip))
}

// Estimate returns what a statement with a priority is expected to take at a database, through
// an owner. If there is no report of that owner, the latest of another one takes its place, since
// the owners of a database share its slots evenly. ok is false if there is no report that is
// trusted at now.
func (t *Table) Estimate(now time.Duration, database, owner string, priority int) (_ Estimate, ok bool) {
	e := t.entries[database][owner]
	if e == nil || now-e.at > trusted {
		if e = t.latest(database); e == nil || now-e.at > trusted {
			return Estimate{}, false
		}
	}
	return Estimate{
		Wait:      e.report.Wait(priority) + time.Duration(e.sent)*e.report.turn(),
		Work:      e.report.Work,
		RoundTrip: e.roundTrip,
		Free:      e.report.Free,
	}, true
}

// sweep removes entries of owners that have not reported for long.
func (t *Table) sweep(now time.Duration) {
	if now < t.sweepAt {
		return
	}
	t.sweepAt = now + kept
	for database, owners := range t.entries {
		for owner, e := range owners {
			if now-e.at > kept {
				delete(owners, owner)
			}
		}
		if len(owners) == 0 {
			delete(t.entries, database)
		}
	}
}

// latest returns the entry of the owner of a database that has reported last, or nil.
func (t *Table) latest(database string) (last *entry) {
	for _, e := range t.entries[database] {
		if last == nil || e.at > last.at {
			last = e
		}
	}
	return last
}
