package mirror

import (
	"context"
	"time"
)

const (
	// noAge stands for settings that were never confirmed.
	noAge = time.Hour
	// deafAfter is how long this host may lag behind what another has seen of
	// the store before its own watch counts as deaf.
	deafAfter = 400 * time.Millisecond
)

// Hearsay is what another host knows of the store, as it said in answer to a call.
type Hearsay struct {
	// Sent is when this host sent the call, by its own clock.
	Sent time.Duration
	// SettingsRevision is the revision of the other's settings.
	SettingsRevision uint64
	// SettingsAge is how long before the answer they were confirmed.
	SettingsAge time.Duration
	// Revision is the newest revision that the other has seen.
	Revision uint64
}

// Known is what this host knows, for another.
func (m *Mirror) Known() Hearsay {
	v := m.View()
	h := Hearsay{
		Revision:    v.Revision,
		SettingsAge: noAge,
	}
	if age, ok := m.horizon.Age(m.Clock.Elapsed()); ok && v.Catalog != nil {
		h.SettingsRevision = v.Catalog.Revision
		h.SettingsAge = age
	}
	return h
}

// Heard takes what another host knows. The answer was made after the call was sent,
// so what was confirmed an age before it was confirmed after Sent less that age. It
// says something of this host's settings only if they are as new.
func (m *Mirror) Heard(h Hearsay) {
	v := m.View()
	if h.SettingsAge < noAge && v.Catalog != nil && v.Catalog.Revision >= h.SettingsRevision {
		m.horizon.Advance(h.Sent - h.SettingsAge)
	}
	if v.Revision < h.Revision && m.doubting.CompareAndSwap(false, true) {
		time.AfterFunc(deafAfter, func() { m.doubt(h.Revision) })
	}
}

// doubt lists the store if the watch has not told what another host knows.
func (m *Mirror) doubt(revision uint64) {
	defer m.doubting.Store(false)
	if m.View().Revision >= revision {
		return
	}
	m.Log.Info("watch of the store is deaf", "revision", m.View().Revision, "others", revision)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := m.Refresh(ctx); err != nil {
		m.Log.Info("store not answering", "call", "list", "reason", err.Error())
	}
}
