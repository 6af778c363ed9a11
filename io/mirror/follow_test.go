package mirror

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// manualClock is a clock that tests advance by hand.
type manualClock struct{ now time.Duration }

func (m *manualClock) Elapsed() time.Duration { return m.now }

// newRankedMirror returns the mirror of one of ten registered hosts of a failure domain:
// the one at the given position among the watch candidates.
func newRankedMirror(t *testing.T, pos int) (*Mirror, *manualClock) {
	t.Helper()
	c := &manualClock{now: time.Hour}
	m := &Mirror{
		Clock:  c,
		Log:    logr.Discard(),
		Domain: "a",

		RecentlyReached: func() bool { return true },
	}
	m.lazyInit()
	v := emptyView()
	for i := range 10 {
		v.Hosts[fmt.Sprintf("h%d", i)] = Registration{
			Domain: "a",
			Size:   1,
		}
	}
	v.HostsVersion = 1
	m.view.Store(v)
	order := m.watchCandidates(v)
	if pos < len(order) {
		m.Self = order[pos]
		return m, c
	}
	for _, h := range v.HostNames() {
		m.Self = h
		if !slices.Contains(order, h) {
			break
		}
	}
	return m, c
}

func TestFirstTwoHostsWatch(t *testing.T) {
	for pos := range primaryWatchers {
		m, _ := newRankedMirror(t, pos)
		assert.Equal(t, m.chooseSource(), source{direct: true})
	}
	m, _ := newRankedMirror(t, primaryWatchers)
	assert.Equal(t, m.chooseSource(), source{host: m.candidates[0]})
}

// TestSpareWatchesIfNoHostBeforeItDoes guards against a domain without a watching host
// when the first candidates have lost the store: the next candidate has to watch.
func TestSpareWatchesIfNoHostBeforeItDoes(t *testing.T) {
	m, c := newRankedMirror(t, 3)
	for i := range 3 {
		assert.Equal(t, m.chooseSource(), source{host: m.candidates[i]})
		m.avoid(m.candidates[i], errNotWatching)
	}
	assert.Equal(t, m.chooseSource(), source{direct: true})
	c.now += notWatchingAvoidance
	assert.Equal(t, m.chooseSource(), source{host: m.candidates[0]})
}

// TestNonCandidateWaitsBeforeItWatches guards against all hosts calling the store at once
// in an outage: a host that is no candidate watches only after a time without a source.
// It also covers a host that is cut off from the others for longer than that.
func TestNonCandidateWaitsBeforeItWatches(t *testing.T) {
	m, c := newRankedMirror(t, maxWatchers)
	for range maxWatchers {
		s := m.chooseSource()
		assert.Assert(t, s.host != "")
		m.avoid(s.host, errors.New("no answer"))
	}
	assert.Equal(t, m.chooseSource(), source{})
	c.now += noSourceTimeout
	assert.Equal(t, m.chooseSource(), source{direct: true})
	c.now += unreachableAvoidance
	assert.Equal(t, m.chooseSource(), source{host: m.candidates[0]})
	assert.Equal(t, m.noSourceSince, time.Duration(0))
}

// TestUnregisteredHostWatches covers a host that no other host ranks yet.
func TestUnregisteredHostWatches(t *testing.T) {
	m, _ := newRankedMirror(t, 3)
	m.Self = "new"
	assert.Equal(t, m.chooseSource(), source{direct: true})
}

// TestHostWithoutTheStorePolls guards against a host that the store turns away and that goes on to call it: it
// does not learn of changes, such as a new quota keeper, though other hosts of its failure domain do. A host
// whose registration has ended is one of them, and so is one that should watch the store.
func TestHostWithoutTheStorePolls(t *testing.T) {
	for _, pos := range []int{0, 1, maxWatchers} {
		m, c := newRankedMirror(t, pos)
		self := m.Self
		m.RecentlyReached = func() bool { return false }
		for _, registered := range []bool{true, false} {
			m.Self = self
			if !registered {
				m.Self = "unregistered"
			}
			for range m.candidates {
				if s := m.chooseSource(); s.host != "" {
					assert.Assert(t, s.host != m.Self && !s.direct)
					m.avoid(s.host, errNotWatching)
				}
			}
			c.now += noSourceTimeout
			assert.Assert(t, m.chooseSource().host != "", "those that were avoided are asked again")
			for range m.candidates {
				if s := m.chooseSource(); s.host != "" {
					m.avoid(s.host, errors.New("no answer"))
				}
			}
			m.chooseSource()
			c.now += noSourceTimeout
			assert.Equal(t, m.chooseSource(), source{direct: true}, "nobody to poll")
			c.now += unreachableAvoidance
		}
	}
}

func TestMaxRetryDelayGrowsWithFleet(t *testing.T) {
	m, _ := newRankedMirror(t, 0)
	assert.Equal(t, m.MaxRetryDelay(time.Second), time.Second)
	v := emptyView()
	for i := range 140 {
		v.Hosts[fmt.Sprintf("h%d", i)] = Registration{}
	}
	m.view.Store(v)
	assert.Equal(t, m.MaxRetryDelay(time.Second), 1400*time.Millisecond)
	for i := range 730 {
		v.Hosts[fmt.Sprintf("h%d", i)] = Registration{}
	}
	assert.Equal(t, m.MaxRetryDelay(time.Second), maxFleetRetryDelay)
}
