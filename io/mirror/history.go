package mirror

import (
	"slices"

	"coltsfootloft"
)

// historyLength is the maximum number of changes kept for other hosts. A host that is
// further behind gets all keys.
const historyLength = 512

// history holds the data with which polls of other hosts are answered: all keys with
// their values, and the latest changes.
type history struct {
	items   map[string]coltsfootloft.Event
	changes []coltsfootloft.Event
	start   uint64 // changes holds all changes after this revision
	// settings is the event of the settings in force. The store may hold older ones, or
	// some that can't be decoded.
	settings coltsfootloft.Event
}

// add appends changes and drops the oldest beyond historyLength. Of the settings, only those
// in force are kept.
func (h *history) add(events []coltsfootloft.Event, inForce *coltsfootloft.Settings) {
	for _, e := range events {
		if e.Kind == coltsfootloft.EventSettings {
			if e.Settings == nil || e.Settings != inForce {
				continue
			}
			h.settings = e
			h.changes = slices.DeleteFunc(h.changes, func(c coltsfootloft.Event) bool {
				return c.Kind == coltsfootloft.EventSettings
			})
		}
		if e.Deleted {
			delete(h.items, e.StoreKey)
		} else {
			h.items[e.StoreKey] = e
		}
		h.changes = append(h.changes, e)
	}
	if over := len(h.changes) - historyLength; over > 0 {
		h.start = h.changes[over-1].Revision
		h.changes = append(h.changes[:0], h.changes[over:]...)
	}
}

// replace takes over a listing. The changes that led to it are not known, so the list of
// changes starts anew.
func (h *history) replace(events []coltsfootloft.Event, revision uint64, inForce *coltsfootloft.Settings) {
	h.items = make(map[string]coltsfootloft.Event, len(events))
	for _, e := range events {
		if e.Kind == coltsfootloft.EventSettings && e.Settings != nil && e.Settings == inForce {
			h.settings = e
		}
		h.items[e.StoreKey] = e
	}
	if h.settings.Settings != nil {
		h.items[h.settings.StoreKey] = h.settings
	}
	h.changes = nil
	h.start = revision
}

// since returns the changes after a revision, or all keys if those changes are no longer
// kept.
func (h *history) since(after uint64) (events []coltsfootloft.Event, snapshot bool) {
	if after < h.start {
		for _, e := range h.items {
			events = append(events, e)
		}
		return events, true
	}
	for _, e := range h.changes {
		if e.Revision > after {
			events = append(events, e)
		}
	}
	return events, false
}
