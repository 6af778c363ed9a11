// Package spill decides which share of a group's reads a host sends to another failure
// domain because the databases of its own are overloaded.
//
// The share follows the expected waits in small steps. It grows while the wait at home
// exceeds that elsewhere plus the cost of going there by a margin and a quarter of the
// target latency. It shrinks once the wait at home is under an eighth of the target and the
// databases at home have room for what comes back, so that it does not swing with their
// queue. It does not grow towards a domain that makes reads wait itself, and never exceeds
// what that domain reports as free, divided by the hosts that could send there. Without
// reports nothing is sent, except single reads that bring one.
package spill

import (
	"math"
	"time"
)

const (
	// step is the time between two changes of the share: some times the way between
	// domains, so that a change shows in the reports before the next.
	step = 100 * time.Millisecond
	// growth and shrinkage are the changes of the share in a step. Within a second the
	// share reaches what a domain at 1.5 times its capacity must send away.
	growth    = 0.04
	shrinkage = 0.02
	// margin is how much longer the wait at home must be than elsewhere.
	margin = 5 * time.Millisecond
	// growAbove and shrinkBelow are the waits at home as parts of the target latency.
	growAbove   = 0.25
	shrinkBelow = 0.125
	// fill is the part of what may leave up to which the share grows. What is free varies
	// by a fifth between reports, and the share must not follow that.
	fill = 0.7
	// room is what must be free at home, in times of what a step back brings.
	room = 6
	// inputWeight is the weight of one step in the means that decide.
	inputWeight = 0.3
	// rateTime is the time in which the rate of the reads follows a change.
	rateTime = time.Second
	// holdTime is how long the share is kept without reports. Hosts with few reads have none
	// between two of those that leave.
	holdTime = 3 * time.Second
	// probeWait is the time between single reads that bring a report of another domain
	// while there is none and the wait at home is long. It doubles up to probeWaitMax while
	// the reports show that the share can't grow.
	probeWait    = time.Second
	probeWaitMax = 4 * time.Second
	// lostWaitMax bounds it instead after a read that brought no report. The domain may be
	// cut off, and the reads are lost.
	lostWaitMax = 16 * time.Second
)

// View is what the host knows for one read.
type View struct {
	// Home is the least wait expected at a database of the host's domain, Away that at one
	// of the other domain, and Cost what going there costs besides.
	Home, Away, Cost time.Duration
	// Target is the target latency of the read.
	Target time.Duration
	// AwayKnown is set if there are reports of the other domain that are trusted.
	AwayKnown bool
	// Free is how many reads per second the other domain has free for others by its
	// reports, and Senders the number of hosts that could send some.
	Free    float64
	Senders int
	// Room is how many reads per second the databases of the host's domain have free, and
	// Peers the number of hosts in it.
	Room  float64
	Peers int
}

// Spill decides for the reads of one group on one host. The zero value is ready to use. It is
// not safe for concurrent use.
type Spill struct {
	share     float64
	steppedAt time.Duration
	rate      float64 // reads per second
	step      sums    // over the reads since steppedAt
	mean      inputs
	probeAt   time.Duration
	probeWait time.Duration
	probedAt  time.Duration // when a single read was sent last
	knownAt   time.Duration // when there was a report last
}

// inputs are what decides on a change of the share.
type inputs struct {
	pressure float64 // wait at home, as part of the target latency
	gain     float64 // wait at home less wait and cost elsewhere, in seconds
	away     float64 // wait elsewhere, as part of the target latency
	limit    float64 // reads per second that may leave
	room     float64 // reads per second that each host may take back
}

// sums adds inputs over reads. Those with a report of the other domain are counted in known.
type sums struct {
	inputs
	reads, known float64
}

// Share returns the part of the reads that is sent to another domain.
func (s *Spill) Share() float64 { return s.share }

// Leaves reports whether a read is sent to another domain. random is drawn from 0 to 1.
func (s *Spill) Leaves(now time.Duration, v View, random float64) bool {
	if s.steppedAt == 0 {
		s.steppedAt = now
	}
	if passed := now - s.steppedAt; passed >= step && s.step.reads > 0 {
		s.change(now, passed)
		s.steppedAt = now
		s.step = sums{}
	}
	s.step.add(v)
	if !v.AwayKnown {
		return s.probes(now, v, random)
	}
	return random < s.share
}

// probes reports whether a read is to bring a report of the other domain.
func (s *Spill) probes(now time.Duration, v View, random float64) bool {
	if v.Senders == 0 || float64(v.Home) <= growAbove*float64(v.Target) || now < s.probeAt {
		return false
	}
	longest := probeWaitMax
	if s.probedAt > s.knownAt {
		longest = lostWaitMax
	}
	s.probeWait = min(max(s.probeWait, probeWait), longest)
	s.probeAt = now + time.Duration((0.5+random)*float64(s.probeWait))
	s.probedAt = now
	s.probeWait *= 2
	return true
}

func (n *sums) add(v View) {
	target := math.Max(v.Target.Seconds(), time.Millisecond.Seconds())
	n.reads++
	n.pressure += v.Home.Seconds() / target
	n.room += v.Room / float64(max(v.Peers, 1))
	if v.AwayKnown {
		n.known++
		n.gain += (v.Home - v.Away - v.Cost).Seconds()
		n.away += v.Away.Seconds() / target
		n.limit += v.Free / float64(max(v.Senders, 1))
	}
}

// mayGrow reports whether the share may grow by the reads of the last step alone. The means lag
// behind a load that has ended.
func (n *sums) mayGrow() bool {
	return n.pressure/n.reads > growAbove && n.gain/n.known > margin.Seconds()
}

// change takes a step, after the reads of the time that has passed since the last one.
func (s *Spill) change(now, passed time.Duration) {
	n := s.step
	s.rate += (1 - math.Exp(-float64(passed)/float64(rateTime))) * (n.reads/passed.Seconds() - s.rate)
	blend(&s.mean.pressure, n.pressure/n.reads)
	blend(&s.mean.room, n.room/n.reads)
	m := &s.mean
	if m.pressure < shrinkBelow {
		s.probeWait = probeWait
	}
	if n.known == 0 {
		if now-s.knownAt > holdTime {
			s.shrink()
		}
		return
	}
	s.knownAt = now
	blend(&s.mean.gain, n.gain/n.known)
	blend(&s.mean.away, n.away/n.known)
	blend(&s.mean.limit, n.limit/n.known)
	limit := s.mean.limit / math.Max(s.rate, 1)
	switch {
	case n.mayGrow() && m.pressure > growAbove && m.gain > margin.Seconds() && m.away < shrinkBelow:
		// A part of a step is taken only if it doubles the share, which else would follow the
		// limit.
		if more := math.Min(fill*limit-s.share, growth); more == growth || more > s.share {
			s.share += more
			s.probeWait = probeWait
		}
	case m.pressure < shrinkBelow && m.room > room*shrinkage*s.rate, m.gain < 0 && m.away > shrinkBelow:
		s.shrink()
	}
	s.share = math.Min(s.share, math.Min(limit, 1))
}

func (s *Spill) shrink() { s.share = math.Max(s.share-shrinkage, 0) }

// blend moves a mean towards the value of a step.
func blend(mean *float64, value float64) { *mean += inputWeight * (value - *mean) }
