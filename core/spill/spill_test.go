package spill

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxProbes is the most single reads of the hosts of a domain that only bring a report in a time of
// up to 15 s of long waits: one at once, after 1 s and 2 s, and every 4 s, each shortened by half at most.
const maxProbes = 9 * hosts

// TestOverloadedDomainUsesAnother guards against reads that are refused in one domain while another
// has capacity, and against more sent there than it has. Load: 1.5 times the capacity in one domain,
// half in the other, which must serve half of what it has free at least and refuse nothing of its own.
func TestOverloadedDomainUsesAnother(t *testing.T) {
	const seconds = 8
	off := newSim()
	off.off = true
	off.run(1.5, 0.5, 3*time.Second)
	off.run(1.5, 0.5, seconds*time.Second)
	s := newSim()
	s.run(1.5, 0.5, 3*time.Second)
	s.run(1.5, 0.5, seconds*time.Second)
	t.Logf("served %v, refused %v, sent %d, share %.2f, turns %d; off: served %v, refused %v",
		s.served, s.refused, s.sent(0), s.share(0), s.shares[0].turns, off.served, off.refused)
	assert.Assert(t, s.served[0]-off.served[0] >= capacity/4*seconds)
	assert.Assert(t, s.sent(0) <= capacity/2*seconds, "more is sent than is free")
	assert.Assert(t, s.refused[1]*100 <= s.served[1])
	assert.Assert(t, s.shares[0].turns <= 1, "%d changes of direction", s.shares[0].turns)
	assert.Assert(t, s.sent(1) <= maxProbes)
}

// TestFullDomainsKeepTheirReads guards against domains that send each other what neither can serve.
// Load: 1.5 times the capacity in both.
func TestFullDomainsKeepTheirReads(t *testing.T) {
	s := newSim()
	s.run(1.5, 1.5, 15*time.Second)
	t.Logf("served %v, refused %v, sent %d and %d", s.served, s.refused, s.sent(0), s.sent(1))
	assert.Assert(t, s.sent(0) <= maxProbes)
	assert.Assert(t, s.sent(1) <= maxProbes)
}

// TestCalmDomainsKeepTheirReads guards against traffic between domains that no load calls for. Load:
// 0.6 times the capacity in both.
func TestCalmDomainsKeepTheirReads(t *testing.T) {
	s := newSim()
	s.run(0.6, 0.6, 10*time.Second)
	assert.Equal(t, s.sent(0)+s.sent(1), 0)
}

// TestLoadThatMovesDoesNotSwing guards against a share that swings with the queue. Load: 1.3 times the
// capacity in one domain and 0.3 times in the other, in turn for 8 s each.
func TestLoadThatMovesDoesNotSwing(t *testing.T) {
	s := newSim()
	for i, demand := range [][2]float64{{1.3, 0.3}, {0.3, 1.3}, {1.3, 0.3}, {0.3, 1.3}} {
		s.changeLoad()
		s.run(demand[0], demand[1], 8*time.Second)
		t.Logf("%v: served %v, refused %v, sent %d and %d, shares %.2f and %.2f, turns %d and %d", demand, s.served, s.refused,
			s.sent(0), s.sent(1), s.share(0), s.share(1), s.shares[0].turns, s.shares[1].turns)
		assert.Check(t, s.shares[0].turns <= 1 && s.shares[1].turns <= 1)
		assert.Check(t, s.share(1-i%2) < 0.02, "the calm domain still sends")
		assert.Check(t, s.share(i%2) > 0.1)
	}
}

// TestNothingLeavesWithoutReports guards against reads sent on reports that have stopped. Load: 1.3 times
// the capacity in one domain, 0.3 times in the other; after 5 s nothing passes between them.
func TestNothingLeavesWithoutReports(t *testing.T) {
	s := newSim()
	s.run(1.3, 0.3, 5*time.Second)
	assert.Assert(t, s.sent(0) > 5*capacity/20, "the load sends nothing, so that the test shows nothing")
	s.cut = true
	s.run(1.3, 0.3, time.Second) // reports are trusted for a second
	s.run(1.3, 0.3, 10*time.Second)
	t.Logf("sent %d, share %.2f", s.sent(0), s.share(0))
	// Each host may lose a read at once, after 1, 2, 4 and 8 s, each shortened by half at most.
	assert.Assert(t, s.sent(0) <= 5*hosts)
	assert.Equal(t, s.share(0), 0.0)
	s.cut = false
	s.run(1.3, 0.3, 30*time.Second) // the single reads come after 24 s at most
	assert.Assert(t, s.share(0) > 0.1, "nothing is sent after the domains are joined again")
}
