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
	// evacuations are the latest events that evacuate domains, by domain. The store may have lost
	// one that is in force, or hold what can't be read.
	evacuations map[string]coltsfootloft.Event
}

// add appends changes and drops the oldest beyond historyLength. Of the settings, only those
// in force are kept.
func (h *history) add(events []coltsfootloft.Event, inForce *coltsfootloft.Settings) {
	for _, e := range events {
		if e.Kind == coltsfootloft.EventEvacuation && !h.noteEvacuation(e) {
			continue
		}
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
func (h *history) replace(events []coltsfootloft.Event, revision uint64, v *View) {
	inForce := v.Settings
	h.items = make(map[string]coltsfootloft.Event, len(events))
	for _, e := range events {
		if e.Kind == coltsfootloft.EventSettings && e.Settings != nil && e.Settings == inForce {
			h.settings = e
		}
		if e.Kind == coltsfootloft.EventEvacuation && !h.noteEvacuation(e) {
			continue
		}
		h.items[e.StoreKey] = e
	}
	for _, domain := range v.Evacuations.Domains() {
		if e, ok := h.evacuations[domain]; ok {
			h.items[e.StoreKey] = e
		}
	}
	if h.settings.Settings != nil {
		h.items[h.settings.StoreKey] = h.settings
	}
	h.changes = nil
	h.start = revision
}

// noteEvacuation keeps the event of an evacuation. It reports false for one that can't be read, which
// other hosts need not get.
func (h *history) noteEvacuation(e coltsfootloft.Event) bool {
	if h.evacuations == nil {
		h.evacuations = make(map[string]coltsfootloft.Event)
	}
	switch {
	case e.Deleted:
		delete(h.evacuations, e.Key)
	case e.Err != nil:
		return false
	default:
		h.evacuations[e.Key] = e
	}
	return true
}

// dropEnded removes the keys of evacuations that have ended between two views, as another call than
// the watch may have shown first.
func (h *history) dropEnded(before, after *View) {
	for _, domain := range before.Evacuations.Domains() {
		e, ok := h.evacuations[domain]
		if _, active := after.Evacuations.Get(domain); ok && !active {
			delete(h.items, e.StoreKey)
			delete(h.evacuations, domain)
		}
	}
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
