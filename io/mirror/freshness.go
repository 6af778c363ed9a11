package mirror

import (
	"context"
	"time"
)

const (
	// unconfirmedAge is the age reported for settings that were never confirmed.
	unconfirmedAge = time.Hour
	// lagTolerance is how long this host may be behind a revision that another host has
	// seen before it lists the store, as its own watch no longer delivers changes.
	lagTolerance = 400 * time.Millisecond
)

// Freshness is how current a host's copy of the store is. Hosts receive that of the quota
// keeper with the answers to their reports.
type Freshness struct {
	// Sent is when this host sent the call whose answer carried the rest, on its own
	// clock. It is not set in a host's own Freshness.
	Sent time.Duration
	// SettingsRevision is the revision of the settings that the answering host holds.
	SettingsRevision uint64
	// SettingsAge is how long before the answer these settings were confirmed.
	SettingsAge time.Duration
	// Revision is the newest revision of the store that the answering host has seen.
	Revision uint64
}

// Freshness returns how current this host's own copy is, for an answer to another host.
func (m *Mirror) Freshness() Freshness {
	v := m.View()
	f := Freshness{
		Revision:    v.Revision,
		SettingsAge: unconfirmedAge,
	}
	if age, ok := m.horizon.Age(m.Clock.Elapsed()); ok && v.Settings != nil {
		f.SettingsRevision = v.Settings.Revision
		f.SettingsAge = age
	}
	return f
}

// ObservePeer uses the Freshness of another host. The other host answered after the call
// was sent, so its settings were confirmed no earlier than Sent less SettingsAge. This
// advances the horizon only if this host's settings are at least as new.
func (m *Mirror) ObservePeer(f Freshness) {
	v := m.View()
	if f.SettingsAge < unconfirmedAge && v.Settings != nil && v.Settings.Revision >= f.SettingsRevision {
		m.horizon.Advance(f.Sent - f.SettingsAge)
	}
	if v.Revision < f.Revision && m.checkingLag.CompareAndSwap(false, true) {
		time.AfterFunc(lagTolerance, func() { m.checkLag(f.Revision) })
	}
}

// checkLag lists the store if the watch has not delivered a revision that another host
// has seen.
func (m *Mirror) checkLag(revision uint64) {
	defer m.checkingLag.Store(false)
	if m.View().Revision >= revision {
		return
	}
	m.Log.Info("store watch is behind another host", "revision", m.View().Revision, "others", revision)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := m.Refresh(ctx); err != nil {
		m.Log.Info("store not answering", "call", "list", "reason", err.Error())
	}
}
