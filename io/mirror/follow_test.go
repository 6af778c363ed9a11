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

// manual is a clock that tests set.
type manual struct{ now time.Duration }

func (m *manual) Elapsed() time.Duration { return m.now }

// host returns the mirror of one of ten registered hosts of a failure domain, by
// its place in the order of those that may watch.
func host(t *testing.T, place int) (*Mirror, *manual) {
	t.Helper()
	c := &manual{now: time.Hour}
	m := &Mirror{
		Clock:  c,
		Log:    logr.Discard(),
		Domain: "a",
	}
	m.prepare()
	v := emptyView()
	for i := range 10 {
		v.Hosts[fmt.Sprintf("h%d", i)] = Presence{
			Domain: "a",
			Size:   1,
		}
	}
	v.HostsVersion = 1
	m.view.Store(v)
	order := m.watching(v)
	if place < len(order) {
		m.Self = order[place]
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

func TestTheFirstTwoWatch(t *testing.T) {
	for place := range watchers {
		m, _ := host(t, place)
		assert.Equal(t, m.source(), source{itself: true})
	}
	m, _ := host(t, watchers)
	assert.Equal(t, m.source(), source{host: m.order[0]})
}

// TestStandInsWatchIfNoneBeforeDoes has every host before a stand-in say that it
// does not watch.
func TestStandInsWatchIfNoneBeforeDoes(t *testing.T) {
	m, c := host(t, 3)
	for i := range 3 {
		assert.Equal(t, m.source(), source{host: m.order[i]})
		m.avoid(m.order[i], errNotWatching)
	}
	assert.Equal(t, m.source(), source{itself: true})
	c.now += idleFor
	assert.Equal(t, m.source(), source{host: m.order[0]})
}

// TestOthersWaitBeforeTheyWatch leaves a host that is no stand-in without a source,
// as in an outage of the store, and then as one that is cut off from the others.
func TestOthersWaitBeforeTheyWatch(t *testing.T) {
	m, c := host(t, standIns)
	for range standIns {
		s := m.source()
		assert.Assert(t, s.host != "")
		m.avoid(s.host, errors.New("no answer"))
	}
	assert.Equal(t, m.source(), source{})
	c.now += patience
	assert.Equal(t, m.source(), source{itself: true})
	c.now += avoidFor
	assert.Equal(t, m.source(), source{host: m.order[0]})
	assert.Equal(t, m.alone, time.Duration(0))
}

// TestUnregisteredHostWatches: nobody's order counts it in yet.
func TestUnregisteredHostWatches(t *testing.T) {
	m, _ := host(t, 3)
	m.Self = "new"
	assert.Equal(t, m.source(), source{itself: true})
}

func TestLongestWaitsGrowWithTheFleet(t *testing.T) {
	m, _ := host(t, 0)
	assert.Equal(t, m.Spread(time.Second), time.Second)
	v := emptyView()
	for i := range 140 {
		v.Hosts[fmt.Sprintf("h%d", i)] = Presence{}
	}
	m.view.Store(v)
	assert.Equal(t, m.Spread(time.Second), 1400*time.Millisecond)
	for i := range 730 {
		v.Hosts[fmt.Sprintf("h%d", i)] = Presence{}
	}
	assert.Equal(t, m.Spread(time.Second), spreadMost)
}
