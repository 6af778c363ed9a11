package mirror

import (
	"context"
	"time"

	"coltsfootloft"
)

const (
	// unconfirmedAge is the age reported for settings that were never confirmed.
	unconfirmedAge = time.Hour
	// lagTolerance is how long this host may be behind a revision that another host has
	// seen before it lists the store, as its own watch no longer delivers changes.
	lagTolerance = 400 * time.Millisecond
	// outdatedAfter is how long a host uses settings after it has learned of later ones, which
	// are on their way to it. Operators expect a change to be in force within three times that.
	outdatedAfter = time.Second
)

// Freshness is how current a host's copy of the store is. Hosts send theirs to the quota keeper
// with their reports, and receive that of the keeper with the answers.
type Freshness struct {
	// Sent is when this host sent the call whose answer carried the rest, on its own
	// clock. It is not set in a host's own Freshness.
	Sent time.Duration
	// SettingsRevision is the revision of the latest settings that the answering host knows
	// of, and SettingsVersion the operators' version of them; 0 if it has confirmed none.
	SettingsRevision, SettingsVersion uint64
	// SettingsAge is how long before the answer these settings were confirmed;
	// unconfirmedAge if another host holds them.
	SettingsAge time.Duration
	// Revision is the newest revision of the store that the answering host has seen, or
	// the first of an era of which it has no listing yet.
	Revision uint64
	// Domains is what the host knows of evacuated failure domains, and EvacuationAge how long
	// before the answer it knew all of it; unconfirmedAge or more if it never did.
	Domains       []DomainState
	EvacuationAge time.Duration
}

// Freshness returns how current this host's own copy is, for an answer to another host.
func (m *Mirror) Freshness() Freshness {
	v := m.View()
	f := Freshness{
		Revision:    max(v.Revision, coltsfootloft.RevisionAt(m.Era(), 0)),
		SettingsAge: unconfirmedAge,
		Domains:     m.domainStates(v),
	}
	f.EvacuationAge = unconfirmedAge
	if age, ok := m.evacuationAge(m.Clock.Elapsed()); ok {
		f.EvacuationAge = age
	}
	if v.Settings == nil {
		return f
	}
	if m.isBehindPeer(v.Settings) {
		later := m.newestAtPeer.Load()
		f.SettingsRevision = later.Revision
		f.SettingsVersion = later.Version
		return f
	}
	if age, ok := m.horizon.Age(m.Clock.Elapsed()); ok {
		f.SettingsRevision = v.Settings.Revision
		f.SettingsVersion = v.Settings.Version
		f.SettingsAge = age
	}
	return f
}

// ObservePeer uses the Freshness of another host. The other host answered after the call
// was sent, so its settings were confirmed no earlier than Sent less SettingsAge. This
// advances the horizon only if this host's settings are at least as new.
func (m *Mirror) ObservePeer(f Freshness) {
	m.observeReport(f.Sent, f)
	if f.SettingsVersion > 0 && f.SettingsRevision > 0 && f.SettingsAge < unconfirmedAge {
		m.advanceHorizon(f.Sent-f.SettingsAge, coltsfootloft.Event{Settings: f.settings()})
	}
}

// ObserveReport uses the Freshness that another host has sent of its own accord. Without Sent, it
// shows what the store lost when it was restored and what this host's watch has missed, but confirms nothing.
func (m *Mirror) ObserveReport(f Freshness) { m.observeReport(0, f) }

func (m *Mirror) observeReport(sent time.Duration, f Freshness) {
	m.observeEvacuations(sent, f)
	m.ObserveEra(coltsfootloft.EraOf(f.Revision))
	if m.View().Revision < f.Revision && m.checkingLag.CompareAndSwap(false, true) {
		time.AfterFunc(lagTolerance, func() { m.checkLag(f.Revision) })
	}
	if f.SettingsVersion > 0 && f.SettingsRevision > 0 {
		m.noteNewestAtPeer(f.settings())
	}
}

// settings returns the version and revision of the other host's settings.
func (f Freshness) settings() *coltsfootloft.Settings {
	return &coltsfootloft.Settings{
		Version:  f.SettingsVersion,
		Revision: f.SettingsRevision,
	}
}

func (m *Mirror) noteNewestAtPeer(s *coltsfootloft.Settings) {
	if held := m.View().Settings; held != nil && s.Version > held.Version {
		m.behindSince.CompareAndSwap(0, int64(m.Clock.Elapsed()))
	}
	for {
		known := m.newestAtPeer.Load()
		if known != nil && !s.Supersedes(known) || m.newestAtPeer.CompareAndSwap(known, s) {
			return
		}
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
