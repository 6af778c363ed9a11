package host

import (
	"context"
	"strings"
	"sync"
	"time"

	"coltsfootloft"

	"github.com/jonboulle/clockwork"
)

// watchWait is how long one waiting watch lasts.
const watchWait = 30 * time.Second

// direct is a Source that watches the store from this host alone.
type direct struct {
	store coltsfootloft.Store
	clock clockwork.Clock

	mu       sync.Mutex
	revision uint64
	entries  map[string][]byte
	changed  chan struct{}
}

func provideSource(s coltsfootloft.Store, clock clockwork.Clock) Source {
	return &direct{
		store:   s,
		clock:   clock,
		changed: make(chan struct{}),
	}
}

// Run watches the store until ctx ends.
func (d *direct) Run(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
		list, index, err := d.store.Watch(ctx, SettingsPrefix, after, watchWait)
		if err != nil {
			d.clock.Sleep(200 * time.Millisecond)
			continue
		}
		if index > after {
			after = index
			d.take(list, index)
		}
	}
	return nil
}

func (d *direct) take(list []coltsfootloft.Entry, index uint64) {
	entries := make(map[string][]byte, len(list))
	for _, e := range list {
		entries[strings.TrimPrefix(e.Key(), SettingsPrefix)] = e.Value()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision = index
	d.entries = entries
	close(d.changed)
	d.changed = make(chan struct{})
}

// Snapshot returns the newest revision and its entries.
func (d *direct) Snapshot() (uint64, map[string][]byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision, d.entries
}

// Changed returns a channel that is closed at the next revision.
func (d *direct) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// alone is a view of the fleet that holds this host only.
type alone struct{ self coltsfootloft.HostRecord }

func provideMembers(self coltsfootloft.HostRecord) coltsfootloft.Members { return alone{self: self} }

// Self is this host.
func (a alone) Self() coltsfootloft.HostRecord { return a.self }

// Alive is this host.
func (a alone) Alive() []coltsfootloft.HostRecord { return []coltsfootloft.HostRecord{a.self} }

// Leaving is never known.
func (alone) Leaving(string) bool { return false }
