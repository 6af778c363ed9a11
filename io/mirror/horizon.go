package mirror

import (
	"time"

	"coltsfootloft"
)

// advanceHorizon advances the horizon to the moment at which a call was sent whose answer
// carried the store's settings, if the settings in force cover these. It reports whether
// they do.
func (m *Mirror) advanceHorizon(sent time.Duration, stored coltsfootloft.Event) bool {
	held := m.View().Settings
	if held == nil || m.isBehindPeer(held) || m.mayLackSettings() {
		return false
	}
	if stored.Settings == nil { // can't be decoded; the last good ones stay in force
		if coltsfootloft.EraOf(stored.Revision) != coltsfootloft.EraOf(held.Revision) {
			return false
		}
	} else if !held.Covers(stored.Settings) {
		return false
	}
	m.horizon.Advance(sent)
	return true
}

// mayLackSettings reports whether this host can't tell yet whether the store lost settings when
// it was restored: the host has started since, and no other host has sent it its own.
func (m *Mirror) mayLackSettings() bool {
	return m.newestAtPeer.Load() == nil && m.startedInEra() && m.EraAge() < m.LeaseTTL
}

// isBehindPeer reports whether another host holds later settings than held, which the store
// lost when it was restored.
func (m *Mirror) isBehindPeer(held *coltsfootloft.Settings) bool {
	p := m.newestAtPeer.Load()
	return p != nil && p.Version > held.Version && coltsfootloft.EraOf(p.Revision) != coltsfootloft.EraOf(held.Revision)
}

// IsConfirmed reports whether keys may be checked against the settings in force: the store held
// them less than HorizonLimit ago, and no other host is known to hold later ones.
func (m *Mirror) IsConfirmed() bool {
	held := m.View().Settings
	return held != nil && !m.isBehindPeer(held) && m.horizon.Covers(m.Clock.Elapsed(), m.HorizonLimit)
}

// IsOutdated reports whether another host has been known for outdatedAfter to hold a later version
// of the settings than that in force.
func (m *Mirror) IsOutdated() bool {
	since := m.behindSince.Load()
	if since == 0 || m.Clock.Elapsed()-time.Duration(since) <= outdatedAfter {
		return false
	}
	held := m.View().Settings
	return held != nil && held.Version < m.LatestVersion()
}

// LatestVersion returns the highest version of the settings that this host or another one is
// known to hold; 0 if none is.
func (m *Mirror) LatestVersion() uint64 {
	version := uint64(0)
	if held := m.View().Settings; held != nil {
		version = held.Version
	}
	if p := m.newestAtPeer.Load(); p != nil {
		version = max(version, p.Version)
	}
	return version
}
