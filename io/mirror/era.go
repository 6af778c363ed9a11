package mirror

import (
	"sync"
	"sync/atomic"
	"time"

	"coltsfootloft"
)

// settledAge is the age reported for an era in which no rights of an earlier one are left.
const settledAge = time.Hour

// eraState is what the host knows of the era of the store.
type eraState struct {
	era     atomic.Uint64
	mu      sync.Mutex // guards changes of era, and what follows
	first   uint64     // the era in which the host started
	since   time.Duration
	changed chan struct{}
}

// Era returns the latest era of the store that this host knows of, from the store or from
// another host. It may be later than that of the view.
func (m *Mirror) Era() uint64 {
	m.ObserveEra(m.Store.Era())
	return m.era.era.Load()
}

// startedInEra reports whether this host has started after the store last came back from a
// backup, or has not seen it do so.
func (m *Mirror) startedInEra() bool {
	era := m.Era()
	m.era.mu.Lock()
	defer m.era.mu.Unlock()
	return m.era.first == era
}

// EraAge returns how long ago this host learned of the era. Leases of earlier eras have ended
// once it exceeds LeaseTTL. It is long if the era is settled.
func (m *Mirror) EraAge() time.Duration {
	era := m.Era()
	if era <= coltsfootloft.FirstEra || m.View().Settled.Era == era {
		return settledAge
	}
	m.era.mu.Lock()
	defer m.era.mu.Unlock()
	return m.Clock.Elapsed() - m.era.since
}

// EraChanged returns a channel that is closed when the host learns of the next era.
func (m *Mirror) EraChanged() <-chan struct{} {
	m.era.mu.Lock()
	defer m.era.mu.Unlock()
	if m.era.changed == nil {
		m.era.changed = make(chan struct{})
	}
	return m.era.changed
}

// ObserveEra records that the store is in an era, or was. One that no revision can hold is ignored: the
// host could not leave it, and would pass it on.
func (m *Mirror) ObserveEra(era uint64) {
	if era <= m.era.era.Load() || era > coltsfootloft.MaxEra {
		return
	}
	m.era.mu.Lock()
	defer m.era.mu.Unlock()
	before := m.era.era.Load()
	if era <= before {
		return
	}
	if before > 0 {
		m.Log.Info("store was restored from a backup", "era", era, "before", before)
	} else {
		m.era.first = era
	}
	m.era.era.Store(era)
	m.era.since = m.Clock.Elapsed()
	if m.era.changed != nil {
		close(m.era.changed)
	}
	m.era.changed = make(chan struct{})
	m.wakeWatch()
}
