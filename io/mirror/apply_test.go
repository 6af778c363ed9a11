package mirror

import (
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/io/mirror/mirrorpb"
)

// newMirror returns a mirror that is fed by hand.
func newMirror(t *testing.T) *Mirror {
	t.Helper()
	m := &Mirror{
		Clock: &manualClock{now: time.Hour},
		Log:   logr.Discard(),
	}
	m.lazyInit()
	return m
}

func registered(host string, revision uint64) coltsfootloft.Event {
	return coltsfootloft.Event{
		Kind:     coltsfootloft.EventProxyKey,
		Key:      HostKey(host),
		StoreKey: HostKey(host),
		Revision: revision,
		Value:    []byte(`{"address":"127.0.0.1:1","domain":"a","lease":"1.` + host + `","size":1}`),
	}
}

// TestEventsBeforeListingAreIgnored guards against a host that is gone and stays in the view: the
// answer of a watch arrives after a later listing, and the watch goes on from that listing.
func TestEventsBeforeListingAreIgnored(t *testing.T) {
	m := newMirror(t)
	m.replaceAll([]coltsfootloft.Event{registered("new", 9)}, 10)
	m.applyAll([]coltsfootloft.Event{registered("gone", 8)}, 8)
	assert.DeepEqual(t, m.View().HostNames(), []string{"new"})
	m.applyAll([]coltsfootloft.Event{registered("next", 11)}, 11)
	assert.DeepEqual(t, m.View().HostNames(), []string{"new", "next"})
}

// TestKeyOfAnotherKindIsNoDatabase guards against a database that is gone and stays in use, because another
// writer's key has its id as a name.
func TestKeyOfAnotherKindIsNoDatabase(t *testing.T) {
	m := newMirror(t)
	database := coltsfootloft.Event{
		Kind:     coltsfootloft.EventUpstream,
		Key:      "i-1",
		StoreKey: "servers/i-1",
		Revision: 7,
		Announcement: coltsfootloft.Announcement{
			Upstream: coltsfootloft.NewUpstream("i-1", "d1", "127.0.0.1:1"),
			Group:    "g1",
		},
	}
	m.replaceAll([]coltsfootloft.Event{database}, 7)
	assert.Assert(t, !m.View().Upstreams["i-1"].Removed)
	other := coltsfootloft.Event{
		Kind:     coltsfootloft.EventOther,
		Key:      "i-1",
		StoreKey: "i-1",
		Revision: 8,
	}
	m.replaceAll([]coltsfootloft.Event{other}, 9)
	assert.Assert(t, m.View().Upstreams["i-1"].Removed)
}

func settingsOf(version, era, number uint64) coltsfootloft.Event {
	r := coltsfootloft.RevisionAt(era, number)
	return coltsfootloft.Event{
		Kind:     coltsfootloft.EventSettings,
		Key:      "settings",
		StoreKey: "settings",
		Revision: r,
		Settings: &coltsfootloft.Settings{
			Version:  version,
			Revision: r,
		},
	}
}

// TestFollowersGetSettingsInForce guards against a host that gets older settings from one that
// lists a store which came back without the settings in force.
func TestFollowersGetSettingsInForce(t *testing.T) {
	m := newMirror(t)
	inForce := settingsOf(12, 1, 36)
	m.replaceAll([]coltsfootloft.Event{inForce}, inForce.Revision)
	m.replaceAll([]coltsfootloft.Event{settingsOf(9, 2, 34)}, coltsfootloft.RevisionAt(2, 34))
	assert.Equal(t, m.View().Settings, inForce.Settings)
	m.applyAll([]coltsfootloft.Event{settingsOf(10, 2, 35)}, coltsfootloft.RevisionAt(2, 35))
	events, whole := m.history.since(inForce.Revision)
	assert.Assert(t, whole)
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Settings, inForce.Settings)
	events, _ = m.history.since(coltsfootloft.RevisionAt(2, 34))
	assert.Equal(t, len(events), 0)
	again := settingsOf(12, 2, 36)
	m.applyAll([]coltsfootloft.Event{again}, again.Revision)
	assert.Equal(t, m.View().Settings, again.Settings)
}

// TestHorizonWaitsForSettingsOfPeer guards against serving a withdrawn key on a host that has
// only the restored settings, while another host holds later ones that the store lost.
func TestHorizonWaitsForSettingsOfPeer(t *testing.T) {
	m := newMirror(t)
	m.Store = eraStore{era: 2}
	restored := settingsOf(9, 2, 34)
	m.replaceAll([]coltsfootloft.Event{restored}, restored.Revision)
	assert.Assert(t, m.advanceHorizon(time.Minute, restored))
	m.ObservePeer(Freshness{
		Sent:             2 * time.Minute,
		SettingsRevision: coltsfootloft.RevisionAt(1, 36),
		SettingsVersion:  12,
		Revision:         restored.Revision,
	})
	assert.Assert(t, !m.advanceHorizon(3*time.Minute, restored))
	age, _ := m.horizon.Age(time.Hour)
	assert.Equal(t, age, time.Hour-time.Minute)
	again := settingsOf(12, 2, 36)
	m.applyAll([]coltsfootloft.Event{again}, again.Revision)
	assert.Assert(t, m.advanceHorizon(3*time.Minute, again))
}

// TestLaterSettingsArePassedOn guards against hosts that serve a withdrawn key because the keeper, which
// knows from a report that the store lost later settings, sends them only its own.
func TestLaterSettingsArePassedOn(t *testing.T) {
	m := newMirror(t)
	m.Store = eraStore{era: 2}
	m.HorizonLimit = time.Second
	restored := settingsOf(9, 2, 34)
	m.replaceAll([]coltsfootloft.Event{restored}, restored.Revision)
	assert.Assert(t, m.advanceHorizon(time.Hour, restored))
	assert.Assert(t, m.IsConfirmed())
	assert.Equal(t, m.Freshness().SettingsVersion, uint64(9))
	lost := coltsfootloft.RevisionAt(1, 36)
	m.ObserveReport(Freshness{
		SettingsRevision: lost,
		SettingsVersion:  12,
		Revision:         restored.Revision,
	})
	assert.Assert(t, !m.IsConfirmed())
	f := m.Freshness()
	assert.Equal(t, f.SettingsVersion, uint64(12))
	assert.Equal(t, f.SettingsRevision, lost)
	assert.Equal(t, f.SettingsAge, unconfirmedAge)
}

// TestSettingsAreOutdatedOnceLaterOnesAreKnown guards against a host that uses settings for as long as
// its watch is behind, although it knows that the other hosts have later ones.
func TestSettingsAreOutdatedOnceLaterOnesAreKnown(t *testing.T) {
	clock := &manualClock{now: time.Hour}
	m := newMirror(t)
	m.Clock = clock
	m.Store = eraStore{era: 1}
	held, later := settingsOf(4, 1, 34), settingsOf(8, 1, 36)
	m.replaceAll([]coltsfootloft.Event{held}, held.Revision)
	report := func(e coltsfootloft.Event) {
		m.ObserveReport(Freshness{
			SettingsRevision: e.Revision,
			SettingsVersion:  e.Settings.Version,
			Revision:         e.Revision,
		})
	}
	report(held)
	clock.now += 2 * outdatedAfter
	assert.Assert(t, !m.IsOutdated())
	report(later)
	clock.now += outdatedAfter
	assert.Assert(t, !m.IsOutdated())
	report(settingsOf(9, 1, 37)) // doesn't begin anew
	clock.now += time.Millisecond
	assert.Assert(t, m.IsOutdated())
	m.applyAll([]coltsfootloft.Event{later}, later.Revision)
	assert.Assert(t, m.IsOutdated())
	last := settingsOf(9, 1, 37)
	m.applyAll([]coltsfootloft.Event{last}, last.Revision)
	assert.Assert(t, !m.IsOutdated())
	report(held) // by a host that is behind itself
	clock.now += 2 * outdatedAfter
	assert.Assert(t, !m.IsOutdated())
}

// eraStore is a store that answers no calls; only its era is known.
type eraStore struct {
	coltsfootloft.EventStore
	era uint64
}

func (s eraStore) Era() uint64 { return s.era }

// listed returns the listing of a store in an era, with settings and the settled era; 0 for none.
func listed(era, settled uint64) []coltsfootloft.Event {
	events := []coltsfootloft.Event{settingsOf(9, era, 34)}
	if settled > 0 {
		events = append(events, coltsfootloft.Event{
			Kind:     coltsfootloft.EventProxyKey,
			Key:      SettledKey,
			StoreKey: SettledKey,
			Revision: coltsfootloft.RevisionAt(era, 35),
			Value:    []byte(strconv.FormatUint(settled, 10)),
		})
	}
	return events
}

// TestUnsettledErasAreWaitedFor guards against a host that starts after a restore which lost the records
// of groups, or after these were written again, and does not wait for leases of before.
func TestUnsettledErasAreWaitedFor(t *testing.T) {
	for _, c := range []struct {
		era, named uint64
		settled    bool
	}{
		{era: 1, named: 0, settled: true}, // a store that was never restored
		{era: 2, named: 0, settled: false},
		{era: 3, named: 2, settled: false}, // came back with the backup
		{era: 3, named: 3, settled: true},
	} {
		m := newMirror(t)
		m.Store = eraStore{era: c.era}
		m.Era()
		m.replaceAll(listed(c.era, c.named), coltsfootloft.RevisionAt(c.era, 35))
		assert.Equal(t, m.EraAge() >= settledAge, c.settled, "era %d, %d named", c.era, c.named)
	}
}

// TestNewHostWaitsForSettingsOfOthers guards against serving a withdrawn key on a host that started
// after a restore: the records of groups have been written again, the later settings not yet.
func TestNewHostWaitsForSettingsOfOthers(t *testing.T) {
	events := listed(2, 0)
	restored := events[0]
	for _, sent := range []bool{false, true} {
		clock := &manualClock{now: time.Hour}
		m := &Mirror{
			Store:    eraStore{era: 2},
			Clock:    clock,
			Log:      logr.Discard(),
			LeaseTTL: 2 * time.Second,
		}
		m.lazyInit()
		m.Era()
		m.replaceAll(events, coltsfootloft.RevisionAt(2, 35))
		assert.Assert(t, !m.advanceHorizon(clock.now, restored))
		if sent {
			m.ObservePeer(Freshness{
				Sent:             clock.now,
				SettingsRevision: restored.Revision,
				SettingsVersion:  restored.Settings.Version,
				Revision:         restored.Revision,
			})
		} else {
			clock.now += m.LeaseTTL
		}
		assert.Assert(t, m.advanceHorizon(clock.now, restored), "settings sent by another host: %t", sent)
	}
}

// TestPollCarriesEra guards against a host that goes on in an earlier era of the store because its own
// path there is cut, though the hosts that poll it know the new one.
func TestPollCarriesEra(t *testing.T) {
	m := newMirror(t)
	m.Store = eraStore{era: 1}
	assert.Equal(t, m.Era(), uint64(1))
	body, err := proto.Marshal(&mirrorpb.Poll{
		After: 36,
		Era:   2,
	})
	assert.NilError(t, err)
	_, err = m.handle(t.Context(), "other", body)
	assert.NilError(t, err)
	assert.Equal(t, m.Era(), uint64(2))
}
