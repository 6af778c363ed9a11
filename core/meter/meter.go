// Package meter measures how busy the statements of one owner keep a database.
//
// The mean number of statements that run is the sum of the times that they took in a
// period, divided by the period (Little's law). While that is above the owner's part of
// the slots, statements wait in the database, and the rate at which they end shows how
// long the database works for one. Statements that hosts of other failure domains sent are
// counted apart: what the domain's own statements leave of the owner's part of the database
// is free for others.
package meter

import (
	"math"
	"time"
)

const (
	// period is the time in which an observation loses most of its weight. A database with
	// three slots ends some hundred statements in it.
	period = time.Second
	// minSeen is the number of statements in a period from which their mean is used.
	minSeen = 5
	// workPeriod is the time in which the work of a statement follows an increase. It follows
	// a decrease within the period: a mean that includes waits in the database is too long.
	workPeriod = 10 * time.Second
	// crowded is the mean number of waiting statements above which an owner with statements
	// of other domains reports less and less free capacity, none after closeTime. Below calm
	// it reports more and more again, all after openTime. The times are some times that in
	// which other domains follow, so that they settle below what crowds the queue.
	crowded   = 1.0
	calm      = 0.25
	closeTime = 4 * time.Second
	openTime  = 10 * time.Second
	// waitPeriod is the time in which the mean number of waiting statements follows a change.
	waitPeriod = period / 2
	// foreignPart is the part of the statements that other domains must send for a queue to
	// be theirs too. Single reads of theirs only bring a report.
	foreignPart = 0.05
)

// Meter measures the statements of one gate. It is not safe for concurrent use.
type Meter struct {
	// Slots is the owner's part of the slots of the database.
	Slots float64

	own, foreign     float64 // statements answered per second
	running, waiting float64 // mean numbers
	work             float64 // of one statement, in seconds; 0 if unknown
	at               time.Duration
	closed           float64 // part of the free capacity that is not reported
}

// Answered records a statement that had its permit for took, while the given number waited.
// foreign is set if a host of another failure domain sent it.
func (m *Meter) Answered(now, took time.Duration, foreign bool, waiting int) {
	m.Advance(now, waiting)
	m.running += took.Seconds() / period.Seconds()
	if foreign {
		m.foreign += 1 / period.Seconds()
	} else {
		m.own += 1 / period.Seconds()
	}
}

// Advance lets the means follow the time; the given number of statements waits.
func (m *Meter) Advance(now time.Duration, waiting int) {
	if now > m.at {
		passed := now - m.at
		rest := math.Exp(-float64(passed) / float64(period))
		m.own *= rest
		m.foreign *= rest
		m.running *= rest
		m.waiting = float64(waiting) + (m.waiting-float64(waiting))*math.Exp(-float64(passed)/float64(waitPeriod))
		m.learnWork(passed)
		m.close(passed)
		m.at = now
	}
}

// close follows the queue with the part of the free capacity that is not reported.
func (m *Meter) close(passed time.Duration) {
	switch {
	case m.waiting < calm:
		in := openTime
		if !m.hasForeign() {
			in = period // it was the domain's own load
		}
		m.closed = math.Max(m.closed-float64(passed)/float64(in), 0)
	case m.waiting > crowded && m.hasForeign():
		m.closed = math.Min(m.closed+float64(passed)/float64(closeTime), 1)
	}
}

func (m *Meter) hasForeign() bool { return m.foreign > foreignPart*(m.own+m.foreign) }

// learnWork follows the time for which the database works for a statement.
func (m *Meter) learnWork(passed time.Duration) {
	rate := m.own + m.foreign
	if rate*period.Seconds() < minSeen {
		return
	}
	work := math.Min(m.running, m.Slots) / rate
	if m.work == 0 {
		m.work = work
		return
	}
	in := period
	if work > m.work {
		in = workPeriod
	}
	m.work += (work - m.work) * math.Min(float64(passed)/float64(in), 1)
}

// Work returns the part of the mean service time in which the database does not make a
// statement wait.
func (m *Meter) Work(service time.Duration) time.Duration {
	if m.work == 0 {
		return service
	}
	return min(service, time.Duration(m.work*float64(time.Second)))
}

// Free returns how many statements per second of other domains the owner could serve in its
// part of the slots, including those that it serves. service is the mean service time. It
// decreases to 0 while statements queue although some are of other domains, so that domains don't send work
// back and forth.
func (m *Meter) Free(service time.Duration) float64 {
	work := m.Work(service).Seconds()
	if work <= 0 {
		return 0
	}
	return math.Max(m.Slots/work-m.own, 0) * (1 - m.closed)
}
