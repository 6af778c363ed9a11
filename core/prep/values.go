package prep

import "maps"

// Values returns a copy of the session values.
func (w *Wishes) Values() map[string]string { return maps.Clone(w.values) }

// WithValues returns the expected state of a session with these values and no
// prepared statements. The map is not copied.
func WithValues(values map[string]string) *Wishes { return &Wishes{values: values} }
