package mirror

import (
	"coltsfootloft"
)

// recordLength bounds the changes that are kept for other hosts; one that lags
// further behind gets all keys.
const recordLength = 512

// record keeps what other hosts may ask for: all keys as the store has them, and the
// newest changes.
type record struct {
	items   map[string]coltsfootloft.Event
	changes []coltsfootloft.Event
	floor   uint64 // changes hold all that came after this revision
}

// add keeps changes.
func (r *record) add(events []coltsfootloft.Event) {
	for _, e := range events {
		if e.Gone {
			delete(r.items, e.StoreKey)
		} else {
			r.items[e.StoreKey] = e
		}
		r.changes = append(r.changes, e)
	}
	if over := len(r.changes) - recordLength; over > 0 {
		r.floor = r.changes[over-1].Revision
		r.changes = append(r.changes[:0], r.changes[over:]...)
	}
}

// replace keeps a listing; how it came about is not known.
func (r *record) replace(all []coltsfootloft.Event, revision uint64) {
	r.items = make(map[string]coltsfootloft.Event, len(all))
	for _, e := range all {
		r.items[e.StoreKey] = e
	}
	r.changes = nil
	r.floor = revision
}

// since returns the changes after a revision, or all keys if those are not known.
func (r *record) since(after uint64) (events []coltsfootloft.Event, whole bool) {
	if after < r.floor {
		for _, e := range r.items {
			events = append(events, e)
		}
		return events, true
	}
	for _, e := range r.changes {
		if e.Revision > after {
			events = append(events, e)
		}
	}
	return events, false
}
