package prep

import "maps"

// Values returns a copy of the session values.
func (w *Wishes) Values() map[string]string { return maps.Clone(w.values) }

// NewSessionState returns wishes of these session values and no prepared names.
func NewSessionState(values map[string]string) *Wishes { return &Wishes{values: values} }
